"""Another node: the stream to it, its state as last told, and calls sent to it."""

import asyncio
import random
import time
from typing import Protocol

from ..addresses import parse_address
from ..observe.events import Journal, PEER_CONNECTED, PEER_LOST, PEER_UNREACHABLE
from ..verdicts import may_have_run, not_run, Reason, Refusal
from .backend import BackendRefusal
from .clock import read_age_clock
from .frames import (
    Call,
    CallAnswer,
    CallRefused,
    Cancel,
    DrainNote,
    DrainNoted,
    Frame,
    Hello,
    Ping,
    PolicyAnswer,
    PolicyRequest,
    Pong,
)
from .model import NodeEntry, NodeState
from .streams import FrameStream

# A heartbeat tells load to all who choose by it, and the configuration's age. Twice a
# second keeps both younger than what they decide, for some 0.1 ms of processor each.
HEARTBEAT_SECONDS = 0.5
# With more nodes each is asked less often, so that a node's cost stays level.
HEARTBEAT_PEERS = 40
# A heartbeat that is unanswered for so long makes others be chosen: an answer takes
# some milliseconds, and up to a few tenths on a starved machine.
SUSPECT_SECONDS = 0.8
# A stream on which nothing came for so long is given up. Below the time-outs of most
# callers; above a lost packet's second retransmission.
SILENT_SECONDS = 2.5
CONNECT_SECONDS = 1.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 2.0
# A node that could not be reached for so long is forgotten. Longer than restarts and
# cuts last; one that comes back introduces itself.
FORGET_SECONDS = 120.0


class Host(Protocol):
    """What a peer needs of the node that it belongs to."""

    @property
    def entry(self) -> NodeEntry:
        """How this node is found."""

    def build_state(self) -> NodeState:
        """Return what this node tells of itself now."""

    def learn_drains(self, drains: dict[str, int]) -> None:
        """Take in which backend servers leave, as a peer remembers."""

    def note_state(self, peer: "Peer", asked_at: float) -> None:
        """Take in what a peer told of itself, in answer to a question."""


class Peer:
    """Another node.

    Args:
        entry: How it is found.
        host: The node that this belongs to.
        journal: Where lost and regained streams are told.
    """

    def __init__(self, entry: NodeEntry, host: Host, journal: Journal):
        self.entry = entry
        self.state = NodeState()
        self._loop = asyncio.get_running_loop()
        self.occupied = 0.0
        self._host = host
        self._journal = journal
        self._stream: FrameStream | None = None
        self._pending: dict[int, asyncio.Future[Frame]] = {}
        self._last_id = 0
        self._ping_sent_at = 0.0
        self._ping_asked_at = 0.0
        self._ping_open = False
        self._ping_id = 0
        self._greeted = False
        self._unreachable_told = False

    @property
    def connected(self) -> bool:
        """Whether calls can be sent to it."""
        return self._greeted and self._stream is not None and not self._stream.closed

    @property
    def suspect(self) -> bool:
        """Whether its last heartbeat is unanswered for longer than usual."""
        if not self._ping_open:
            return False
        now = time.monotonic()
        return now - self._ping_sent_at > SUSPECT_SECONDS

    async def run(self) -> None:
        """Keep a stream to the node, until it is unreachable for long."""
        delay = FIRST_RETRY_SECONDS
        reached_at = time.monotonic()
        while time.monotonic() - reached_at < FORGET_SECONDS:
            try:
                await self._connect()
                await self._keep_alive()
            except (TimeoutError, OSError) as error:
                self._tell_unreachable(error)
            finally:
                self._drop("given up")
            if self._greeted:
                self._greeted = False
                self._unreachable_told = False
                delay = FIRST_RETRY_SECONDS
                reached_at = time.monotonic()
            await asyncio.sleep(random.uniform(delay / 2, delay))
            delay = min(LONGEST_RETRY_SECONDS, delay * 2)

    def note_load(self, occupied: float) -> None:
        """Take in how busy its backend server is."""
        self.occupied = occupied

    async def call(self, call: Call) -> CallAnswer:
        """Have the node run a call on its backend server.

        Raises:
            Refusal: With the verdict that holds for it.
        """
        if not self.connected:
            raise not_run(Reason.CONNECTION_LOST, "no stream to the node")
        self.occupied += 1
        try:
            reply = await self._ask(call)
        except asyncio.CancelledError:
            self._send(Cancel(call.id))
            raise
        except ConnectionError as error:
            raise may_have_run(Reason.CONNECTION_LOST, str(error)) from error
        if isinstance(reply, CallAnswer):
            self.note_load(reply.occupied)
            return reply
        assert isinstance(reply, CallRefused)
        self.note_load(reply.occupied)
        raise self._build_refusal(reply)

    async def fetch_policy(self, timeout: float) -> PolicyAnswer:
        """Ask for the configuration in force there.

        Raises:
            ConnectionError: The stream was lost.
            TimeoutError: No answer in time.
        """
        async with asyncio.timeout(timeout):
            reply = await self._ask(PolicyRequest(0))
        assert isinstance(reply, PolicyAnswer)
        return reply

    async def note_drain(self, instance: str, born: int, timeout: float) -> None:
        """Have the node remember that a backend server leaves.

        Raises:
            ConnectionError: The stream was lost.
            TimeoutError: No answer in time.
        """
        async with asyncio.timeout(timeout):
            await self._ask(DrainNote(0, instance, born))

    def push_state(self) -> None:
        """Tell the node what changed here, ahead of the next heartbeat."""
        self._ping(self._host.build_state())

    def take_pushed(self, state: NodeState) -> None:
        """Take in a state that the node told without being asked."""
        self._take_state(state, 0.0)

    def _build_refusal(self, reply: CallRefused) -> Refusal:
        reason = Reason.from_code(reply.reason) or Reason.OVERLOADED
        if reply.ran:
            return may_have_run(reason, reply.detail)
        if reply.arrived:
            return BackendRefusal(reason, detail=reply.detail)
        return not_run(reason, reply.detail)

    async def _ask(self, frame: Call | PolicyRequest | DrainNote) -> Frame:
        if self._stream is None:
            raise ConnectionError("no stream to the node")
        self._last_id += 1
        frame.id = self._last_id
        future: asyncio.Future[Frame] = self._loop.create_future()
        self._pending[frame.id] = future
        self._stream.send(frame)
        try:
            return await future
        finally:
            self._pending.pop(frame.id, None)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self.entry.address)
        async with asyncio.timeout(CONNECT_SECONDS):
            _, stream = await loop.create_connection(
                lambda: FrameStream(self._receive, self._note_lost), host, port
            )
        self._stream = stream
        self._ping_open = False
        stream.send(Hello(self._host.entry, self._host.build_state()))
        self._ping()

    async def _keep_alive(self) -> None:
        while self._stream is not None and not self._stream.closed:
            await asyncio.sleep(self._choose_period())
            stream = self._stream
            if stream is None:
                return
            if self._ping_open:
                if time.monotonic() - max(stream.heard_at, self._ping_sent_at) > (
                    SILENT_SECONDS
                ):
                    # The other end, or a link that lost track of the connection,
                    # takes what is sent and answers nothing. New streams may work.
                    stream.close()
                    return
                continue
            self._ping()

    def _tell_unreachable(self, error: Exception) -> None:
        if not self._unreachable_told:
            self._unreachable_told = True
            reason = str(error) or "timed out"
            self._journal.emit(PEER_UNREACHABLE, peer=self.entry.name, reason=reason)

    def _choose_period(self) -> float:
        return HEARTBEAT_SECONDS * random.uniform(0.8, 1.2)

    def _ping(self, state: NodeState | None = None) -> None:
        self._last_id += 1
        self._ping_id = self._last_id
        self._ping_sent_at = time.monotonic()
        self._ping_asked_at = read_age_clock()
        self._ping_open = True
        self._send(Ping(self._ping_id, state))

    def _send(self, frame: Frame) -> None:
        if self._stream is not None:
            self._stream.send(frame)

    def _receive(self, stream: FrameStream, frame: Frame) -> None:
        if isinstance(frame, CallAnswer | CallRefused | PolicyAnswer | DrainNoted):
            future = self._pending.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame)
        elif isinstance(frame, Pong):
            if frame.id != self._ping_id:
                return
            self._ping_open = False
            self._take_state(frame.state, self._ping_asked_at)
        elif isinstance(frame, Hello):
            self._greet(frame)

    def _greet(self, hello: Hello) -> None:
        if hello.entry.name != self.entry.name:
            # Its address belongs to another node by now.
            self._drop("another node answers there")
            return
        self.entry = hello.entry
        self._greeted = True
        self._journal.emit(PEER_CONNECTED, peer=self.entry.name)
        self._host.learn_drains(hello.drains)
        self._take_state(hello.state, 0.0)

    def _take_state(self, state: NodeState, asked_at: float) -> None:
        self.state = state
        self.note_load(state.occupied)
        self._host.note_state(self, asked_at)

    def _note_lost(self, stream: FrameStream, reason: str) -> None:
        if stream is self._stream:
            self._drop(reason)

    def _drop(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
            if self._greeted:
                self._journal.emit(
                    PEER_LOST,
                    peer=self.entry.name,
                    reason=reason,
                    in_flight=len(self._pending),
                )
        self._ping_open = False
        error = ConnectionError(f"the stream to {self.entry.name} was lost: {reason}")
        for future in self._pending.values():
            if not future.done():
                future.set_exception(error)

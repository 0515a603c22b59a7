"""Server for streams of other nodes; runs their calls on the local backend server."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..addresses import parse_address
from ..observe.events import CALL_FAILED, Journal
from ..verdicts import may_have_run, Reason, Refusal
from .call_refusals import build_message
from .clock import read_age_clock
from .cross_zone_bytes import CrossZoneBytes
from .dispatch import Dispatcher
from .evacuations import Evacuations
from .frames import (
    Call,
    CallAnswer,
    Cancel,
    DrainNote,
    DrainNoted,
    encode_frame,
    Frame,
    Hello,
    Ping,
    PolicyAnswer,
    PolicyRequest,
    Pong,
    TokenGrant,
    TokenRequest,
)
from .model import NodeEntry, NodeState
from .one_way_delay import OneWayDelay
from .streams import FrameStream, StreamFullError


class ServerHost(Protocol):
    """What a peer server needs of the local node."""

    @property
    def entry(self) -> NodeEntry:
        """Name, address and location of this node."""

    @property
    def cross_zone_bytes(self) -> CrossZoneBytes:
        """Counter of the bytes sent to other availability zones."""

    @property
    def drains(self) -> dict[str, int]:
        """Draining backend servers of other nodes: start times (Unix ms) by id."""

    @property
    def backend_calls_in_flight(self) -> int:
        """Calls running and queued at the backend server."""

    @property
    def slowdown_percent(self) -> int:
        """How long work takes at the backend server, in percent of the average."""

    @property
    def evacuations(self) -> Evacuations:
        """The availability zones that operators have evacuated."""

    def build_full_state(self) -> NodeState:
        """Return this node's full state, as sent first on a stream."""

    def build_policy_answer(self, request_id: int) -> PolicyAnswer:
        """Return the configuration in force, as an answer to a request."""

    def record_drain(self, instance: str, start_time_ms: int) -> None:
        """Record that another node's backend server is draining."""

    def handle_hello(self, entry: NodeEntry) -> None:
        """Handle a node that opened a stream to this one."""

    def record_lease(self, lender: NodeEntry, lease_end_ms: int) -> None:
        """Record that a node lends its share of the rate limits to this node.

        Args:
            lender: The lending node.
            lease_end_ms: End of the lease on this node's ``read_age_clock``, in ms.
        """

    def answer_token_request(
        self, sender: str, request: TokenRequest, send: Callable[[TokenGrant], None]
    ) -> None:
        """Answer a node's request for tokens, immediately or later.

        Args:
            sender: Name of the requesting node.
            request: The request.
            send: Sends the answer to the requesting node.
        """


class PeerServer:
    """Accepts streams from other nodes and handles the frames received on them.

    Args:
        address: ``IP:PORT`` to listen on.
        host: The node that the server belongs to.
        dispatcher: Runs calls on the local backend server.
        journal: Logs calls that fail with an unexpected error.
    """

    def __init__(
        self,
        address: str,
        host: ServerHost,
        dispatcher: Dispatcher,
        journal: Journal,
    ):
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._host = host
        self._dispatcher = dispatcher
        self._journal = journal
        # Tasks of calls by stream, then by the id of the call.
        self._tasks_by_stream: dict[FrameStream, dict[int, asyncio.Task[None]]] = {}
        self._entries_by_stream: dict[FrameStream, NodeEntry] = {}
        self._delays_by_stream: dict[FrameStream, OneWayDelay] = {}

    @property
    def calls_in_flight(self) -> int:
        """Number of calls from other nodes in flight at this node."""
        return sum(len(tasks) for tasks in self._tasks_by_stream.values())

    @property
    def unsent_answers_stream_count(self) -> int:
        """Number of streams whose peers are slow to read the answers to their calls."""
        return sum(stream.has_unsent_answers for stream in self._tasks_by_stream)

    async def run(self) -> None:
        """Listen until cancelled."""
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._address)
        server = await loop.create_server(
            lambda: FrameStream(self._receive, self._handle_disconnect),
            host,
            port,
            reuse_address=True,
        )
        try:
            await asyncio.Event().wait()
        finally:
            server.close()

    def send(
        self, frame: Frame, is_recipient: Callable[[NodeEntry], bool] = lambda _: True
    ) -> None:
        """Send a frame to nodes that have opened a stream to this one.

        Args:
            frame: The frame, encoded once for all recipients in this node's zone.
            is_recipient: Returns whether to send the frame to a node.
        """
        data = encode_frame(frame)
        for stream, entry in self._entries_by_stream.items():
            if not is_recipient(entry):
                continue
            if stream.is_cross_zone:
                stream.send(frame)
            else:
                stream.send_encoded(data)

    def finish(self) -> None:
        """Close the streams after their write buffers are flushed."""
        for stream in list(self._tasks_by_stream):
            stream.finish()

    def abort(self) -> None:
        """Close all streams immediately."""
        for stream in list(self._tasks_by_stream):
            stream.close()

    def _receive(self, stream: FrameStream, frame: Frame) -> None:
        tasks = self._tasks_by_stream.setdefault(stream, {})
        if isinstance(frame, Call):
            # The time that the call was queued between the nodes counts against its
            # deadline.
            queueing_ms = self._measure_queueing_delay(stream, frame.sent_ms) * 1000
            frame.remaining_ms -= queueing_ms
            frame.latency_target_ms -= queueing_ms
            if frame.context is not None:
                frame.context.target_ms -= queueing_ms
            task = self._loop.create_task(self._serve(stream, frame))
            tasks[frame.id] = task
            task.add_done_callback(lambda _: tasks.pop(frame.id, None))
        elif isinstance(frame, Cancel):
            task = tasks.get(frame.id)
            if task is not None:
                task.cancel()
        elif isinstance(frame, Ping):
            # The first ping on a stream is the baseline for the first call's delay.
            self._measure_queueing_delay(stream, frame.sent_ms)
            self._answer_ping(stream, frame)
        elif isinstance(frame, Hello):
            if frame.entry.zone != self._host.entry.zone:
                stream.mark_cross_zone(self._host.cross_zone_bytes)
            state = self._host.build_full_state()
            stream.send(Hello(self._host.entry, state, self._host.drains))
            self._entries_by_stream[stream] = frame.entry
            self._host.handle_hello(frame.entry)
        elif isinstance(frame, PolicyRequest):
            stream.send(self._host.build_policy_answer(frame.id))
        elif isinstance(frame, TokenRequest):
            sender = self._entries_by_stream.get(stream)
            if sender is not None:
                self._host.answer_token_request(sender.name, frame, stream.send)
        elif isinstance(frame, DrainNote):
            self._host.record_drain(frame.instance, frame.start_time_ms)
            stream.send(DrainNoted(frame.id))

    def _measure_queueing_delay(self, stream: FrameStream, sent_ms: int) -> float:
        """Return for how many seconds a frame was queued between the nodes."""
        one_way_delay = self._delays_by_stream.get(stream)
        if one_way_delay is None:
            one_way_delay = self._delays_by_stream[stream] = OneWayDelay()
        return one_way_delay.measure_excess(sent_ms / 1000, read_age_clock())

    def _handle_disconnect(self, stream: FrameStream, reason: str) -> None:
        self._entries_by_stream.pop(stream, None)
        self._delays_by_stream.pop(stream, None)
        # The sender has failed or is unreachable, so nobody waits for these calls.
        for task in list(self._tasks_by_stream.pop(stream, {}).values()):
            task.cancel()

    def _answer_ping(self, stream: FrameStream, ping: Ping) -> None:
        lender = self._entries_by_stream.get(stream)
        if ping.lease_end_ms and lender is not None:
            self._host.record_lease(lender, ping.lease_end_ms)
        answer = self._host.build_policy_answer(ping.id)
        clock_ms = int(read_age_clock() * 1000)
        evacuations = self._host.evacuations
        stream.send(
            Pong(
                ping.id,
                answer.version,
                answer.age_ms,
                clock_ms,
                tuple(evacuations.zones),
                evacuations.offset,
            )
        )

    async def _serve(self, stream: FrameStream, call: Call) -> None:
        try:
            served = await self._dispatcher.serve(call)
            await stream.wait_for_room(len(served.body))
        except Refusal as refusal:
            self._send_refusal(stream, call, refusal)
            return
        except StreamFullError as error:
            refusal = may_have_run(Reason.ANSWER_BROKEN, str(error))
            self._send_refusal(stream, call, refusal)
            return
        except Exception as error:
            self._journal.emit(
                CALL_FAILED,
                request=call.request_id.decode("latin-1"),
                error=f"{type(error).__name__}: {error}",
            )
            refusal = may_have_run(Reason.ANSWER_BROKEN, "node failed")
            self._send_refusal(stream, call, refusal)
            return
        stream.send(
            CallAnswer(
                call.id,
                served.status,
                served.answer.head,
                served.body,
                served.answer.signed,
                self._host.backend_calls_in_flight,
                draining := served.answer.statements.draining,
                served.start_time_ms if draining else 0,
                self._host.slowdown_percent,
                served.ended_servers,
            ),
            call.route,
        )

    def _send_refusal(self, stream: FrameStream, call: Call, refusal: Refusal) -> None:
        in_flight = self._host.backend_calls_in_flight
        stream.send(build_message(call, refusal, in_flight))

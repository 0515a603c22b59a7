"""Another node: the stream to it, its last known state, and the calls sent to it."""

import asyncio
import random
import time

from ..addresses import parse_address
from ..observe.events import Journal, PEER_CONNECTED, PEER_LOST, PEER_UNREACHABLE
from ..verdicts import may_have_run, not_run, Reason
from .call_refusals import is_due_to_request, read_message
from .clock import read_age_clock
from .drained_lifetimes import DrainedLifetimes
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
    State,
    States,
    TokenGrant,
    TokenRequest,
)
from .http_messages import MIN_FAILURE_STATUS
from .model import NodeEntry, NodeState
from .peer_host import PeerHost
from .share_leases import RemoteClock
from .streams import FrameStream
from .token_broker import GrantHandler
from .token_requests import TokenRequests
from .work_pace import decay_slowdown

# A ping is sent if requests are pending and nothing was received for this long. While
# answers arrive, they show that the peer is alive.
IDLE_BEFORE_PING_SECONDS = 0.25
# A ping is answered within milliseconds, however busy the backend server is. After this
# long without an answer other nodes are preferred, so that calls to an unreachable zone
# do not wait for their timeouts.
SUSPECT_AFTER_SECONDS = 0.25
# If nothing is received for this long after a ping, the stream is closed and idempotent
# calls are retried elsewhere. Long enough to retransmit a packet that is lost twice.
PING_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Weight of a call in the moving average of failures. The average spans about 30 calls.
FAILURE_SMOOTHING = 1 / 32
# A node that is unreachable for this long is removed. Restarts and network partitions
# are shorter; a node that returns later announces itself with a Hello.
PEER_EXPIRY_SECONDS = 120.0
# One node has one backend server at a time; the drains of its last ones may be needed.
MAX_DRAINED_INSTANCES = 16


class Peer:
    """Another node, and the outgoing stream to it.

    Args:
        entry: Name, address and location of the other node.
        host: This node.
        journal: Logs established and lost streams.
    """

    def __init__(self, entry: NodeEntry, host: PeerHost, journal: Journal):
        self.entry = entry
        self.state = NodeState()
        self._loop = asyncio.get_running_loop()
        self.in_flight = 0.0
        self._slowdown = 1.0
        self._slowdown_at = 0.0
        self._cold_until = 0.0
        # Backend servers that stated in answers to this node that they will stop.
        self._drained = DrainedLifetimes(MAX_DRAINED_INSTANCES)
        #: Fraction of failed calls: as last reported, then updated by each call sent.
        self.failure_ratio = 0.0
        self._host = host
        self._journal = journal
        self._stream: FrameStream | None = None
        self._pending_replies: dict[int, asyncio.Future[Frame]] = {}
        self._token_requests = TokenRequests(self._loop)
        self._remote_clock = RemoteClock()
        self._last_request_id = 0
        self._ping_sent_on_age_clock = 0.0
        self._ping_sent_at = 0.0
        self._replies_pending_since = 0.0
        self._unanswered_ping_id = 0
        self._disconnected: asyncio.Event = asyncio.Event()
        self._hello_received = False
        self._unreachable_logged = False

    @property
    def connected(self) -> bool:
        """Whether the stream is open and the peer's Hello was received."""
        return (
            self._hello_received
            and self._stream is not None
            and not self._stream.closed
        )

    @property
    def usable(self) -> bool:
        """Whether calls can be sent to the peer's backend server."""
        return bool(self.state.instance) and self.connected and not self._is_drained

    @property
    def _is_drained(self) -> bool:
        """Whether the peer's backend server stated that it is about to stop.

        Its node does not know of that if it was killed just after it passed on the
        answer.
        """
        if not self._drained.start_times:
            return False
        return self._drained.covers(self.state.instance, self.state.start_time_ms)

    @property
    def start_rate(self) -> float:
        """Calls per second that may start at its backend server while that is cold.

        0 if starts are not limited.
        """
        rate = self.state.start_rate
        return rate if rate and self.cold_seconds > 0 else 0.0

    @property
    def cold_seconds(self) -> float:
        """Seconds for which its backend server is still cold."""
        return max(0.0, self._cold_until - time.monotonic())

    @property
    def slowdown(self) -> float:
        """How long work takes there at this moment, as a multiple of the average."""
        if self._slowdown == 1.0:
            return 1.0
        return decay_slowdown(self._slowdown, time.monotonic() - self._slowdown_at)

    @property
    def has_pending_requests(self) -> bool:
        """Whether requests await the peer's reply."""
        return bool(self._pending_replies)

    @property
    def is_suspect(self) -> bool:
        """Whether requests are pending and a ping has been unanswered for too long."""
        if not self._unanswered_ping_id or not self._pending_replies:
            return False
        stream = self._stream
        if stream is None or stream.last_received_at >= self._ping_sent_at:
            return False
        return time.monotonic() - self._ping_sent_at > SUSPECT_AFTER_SECONDS

    async def run(self) -> None:
        """Keep a stream open until the node has been unreachable for too long."""
        backoff = INITIAL_BACKOFF_SECONDS
        last_connected_at = time.monotonic()
        while time.monotonic() - last_connected_at < PEER_EXPIRY_SECONDS:
            try:
                self._disconnected.clear()
                await self._connect()
                await self._disconnected.wait()
            except (TimeoutError, OSError) as error:
                self._log_unreachable(error)
            finally:
                self._disconnect("peer task ended")
            if self._hello_received:
                self._hello_received = False
                self._unreachable_logged = False
                backoff = INITIAL_BACKOFF_SECONDS
                last_connected_at = time.monotonic()
            await asyncio.sleep(random.uniform(backoff / 2, backoff))
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    def apply_state(self, state: NodeState) -> bool:
        """Apply a state of the peer; return False if a newer state is known."""
        self._host.record_ended_servers(state)
        if not state.is_full and state.sequence <= self.state.sequence:
            return False
        if state.downstream_calls is None:
            state.downstream_calls = self.state.downstream_calls
        self.state = state
        self._cold_until = time.monotonic() + state.cold_ms / 1000
        self.record_in_flight(state.in_flight)
        self._record_slowdown(state.slowdown_percent)
        self.failure_ratio = state.failure_ratio
        self._host.record_evacuations(
            state.evacuated_zones, state.operator_offset, self.entry.name
        )
        self._host.handle_state(self)
        return True

    def record_in_flight(self, in_flight: float) -> None:
        """Record the number of calls in flight at the peer's backend server."""
        self.in_flight = in_flight

    def _record_slowdown(self, percent: int) -> None:
        self._slowdown = percent / 100
        self._slowdown_at = time.monotonic()

    async def call(self, call: Call) -> CallAnswer:
        """Run a call on the node's backend server and return the answer.

        Raises:
            Refusal: The call got no answer. The refusal says whether the call may have
                run.
        """
        if not self.connected:
            raise not_run(Reason.CONNECTION_LOST, "no stream to the node")
        self.in_flight += 1
        call.sent_ms = int(read_age_clock() * 1000)
        try:
            reply = await self._request(call)
        except asyncio.CancelledError:
            self._send(Cancel(call.id))
            raise
        except ConnectionError as error:
            raise may_have_run(Reason.CONNECTION_LOST, str(error)) from error
        if not is_due_to_request(reply):
            failed = (
                not isinstance(reply, CallAnswer) or reply.status >= MIN_FAILURE_STATUS
            )
            self.failure_ratio += FAILURE_SMOOTHING * (failed - self.failure_ratio)
        if isinstance(reply, CallAnswer):
            self.record_in_flight(reply.in_flight)
            self._record_slowdown(reply.slowdown_percent)
            if reply.draining:
                self._drained.add(call.instance, reply.start_time_ms)
            return reply
        assert isinstance(reply, CallRefused)
        self.record_in_flight(reply.in_flight)
        raise read_message(reply)

    async def fetch_policy(self, timeout: float) -> PolicyAnswer:
        """Request the configuration in force at the node.

        Args:
            timeout: Maximum wait in seconds.

        Raises:
            ConnectionError: The stream was lost.
            TimeoutError: No answer in time.
        """
        async with asyncio.timeout(timeout):
            reply = await self._request(PolicyRequest(0))
        assert isinstance(reply, PolicyAnswer)
        return reply

    async def replicate_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Have the node record that a backend server is draining.

        Args:
            instance: Id of the backend server.
            start_time_ms: Unix time of its start, in milliseconds.
            timeout: Maximum wait in seconds.

        Raises:
            ConnectionError: The stream was lost.
            TimeoutError: No answer in time.
        """
        async with asyncio.timeout(timeout):
            await self._request(DrainNote(0, instance, start_time_ms))

    def request_tokens(self, request: TokenRequest, on_grant: GrantHandler) -> None:
        """Request tokens of a workspace.

        Args:
            request: The request; its id is set here.
            on_grant: Called once, with the grant, or with None if the peer is or
                becomes unreachable or does not answer in time.
        """
        if not self.connected:
            on_grant(None)
            return
        self._last_request_id += 1
        request.id = self._last_request_id
        self._token_requests.add(request.id, on_grant)
        self._send(request)

    def lend_share(self, lease_seconds: float) -> bool:
        """Lend this node's share of the workspaces' rate limits to the peer.

        Args:
            lease_seconds: Length of the lease.

        Returns:
            Whether a lease was sent.
        """
        remote_time = self._remote_clock.estimate(read_age_clock())
        if remote_time is None or not self.connected:
            return False
        return self.send_ping(int((remote_time + lease_seconds) * 1000))

    def send_ping(self, lease_end_ms: int = 0) -> bool:
        """Send a ping, unless the previous ping may still be answered.

        The answer says when the peer's configuration was last known to be the newest.

        Args:
            lease_end_ms: End of the lease that the ping carries, in milliseconds on the
                peer's clock; 0 for no lease.

        Returns:
            Whether the ping was sent.
        """
        now = time.monotonic()
        if self._unanswered_ping_id and not self._may_ping_again(now):
            return False
        self._last_request_id += 1
        self._unanswered_ping_id = self._last_request_id
        self._ping_sent_at = now
        self._ping_sent_on_age_clock = read_age_clock()
        self._send(
            Ping(
                self._unanswered_ping_id,
                int(self._ping_sent_on_age_clock * 1000),
                lease_end_ms,
            )
        )
        return True

    def check_liveness(self, now: float) -> None:
        """Ping the peer if requests stay unanswered; disconnect if it stays silent.

        The connection can be half-open: the other end, or a middlebox that has lost
        its state, drops what is sent. Only a new connection can help then.

        Args:
            now: Seconds on the monotonic clock.
        """
        stream = self._stream
        if stream is None:
            return
        if self._unanswered_ping_id and stream.last_received_at < self._ping_sent_at:
            if now - self._ping_sent_at > PING_TIMEOUT_SECONDS:
                self._disconnect("silent")
        elif self._pending_replies:
            if (
                now - max(stream.last_received_at, self._replies_pending_since)
                > IDLE_BEFORE_PING_SECONDS
            ):
                self.send_ping()

    def _may_ping_again(self, now: float) -> bool:
        """Return whether to give up the last ping, although frames arrived after it.

        Its answer may be lost if the stream fell silent after those frames. While
        nothing arrives, another ping would restart the timeout of the first.
        """
        stream = self._stream
        if stream is None or stream.last_received_at < self._ping_sent_at:
            return False
        return (
            now - stream.last_received_at > IDLE_BEFORE_PING_SECONDS
            or now - self._ping_sent_at >= PING_TIMEOUT_SECONDS
        )

    async def _request(self, frame: Call | PolicyRequest | DrainNote) -> Frame:
        if self._stream is None:
            raise ConnectionError("no stream to the node")
        self._last_request_id += 1
        frame.id = self._last_request_id
        future: asyncio.Future[Frame] = self._loop.create_future()
        if not self._pending_replies:
            self._replies_pending_since = time.monotonic()
        self._pending_replies[frame.id] = future
        self._stream.send(frame, frame.route if isinstance(frame, Call) else "")
        try:
            return await future
        finally:
            self._pending_replies.pop(frame.id, None)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self.entry.address)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, stream = await loop.create_connection(
                lambda: FrameStream(self._receive, self._handle_disconnect), host, port
            )
        self._stream = stream
        if self.entry.zone != self._host.entry.zone:
            stream.mark_cross_zone(self._host.cross_zone_bytes)
        stream.send(Hello(self._host.entry))
        self.send_ping()

    def _log_unreachable(self, error: Exception) -> None:
        if not self._unreachable_logged:
            self._unreachable_logged = True
            reason = str(error) or "timed out"
            self._journal.emit(PEER_UNREACHABLE, peer=self.entry.name, reason=reason)

    def _send(self, frame: Frame) -> None:
        if self._stream is not None:
            self._stream.send(frame)

    def _receive(self, stream: FrameStream, frame: Frame) -> None:
        if isinstance(frame, CallAnswer | CallRefused | PolicyAnswer | DrainNoted):
            future = self._pending_replies.get(frame.id)
            if future is not None and not future.done():
                future.set_result(frame)
        elif isinstance(frame, TokenGrant):
            self._token_requests.answer(frame)
        elif isinstance(frame, State):
            if self.apply_state(frame.state) and frame.relay:
                self._host.relay_state(self)
        elif isinstance(frame, States):
            for name, state in frame.states:
                self._host.apply_relayed_state(name, state)
        elif isinstance(frame, Pong):
            self._handle_pong(frame)
        elif isinstance(frame, Hello):
            self._handle_hello(frame)

    def _handle_hello(self, hello: Hello) -> None:
        if hello.entry.name != self.entry.name:
            # The address has been reassigned to another node.
            self._disconnect("address is used by another node")
            return
        former_entry, self.entry = self.entry, hello.entry
        if not former_entry.equals_except_start_time(hello.entry):
            self._host.handle_entry_change()
        self._hello_received = True
        self._journal.emit(PEER_CONNECTED, peer=self.entry.name)
        self._host.apply_drains(hello.drains)
        if hello.state is not None:
            self.apply_state(hello.state)

    def _handle_pong(self, pong: Pong) -> None:
        if pong.id != self._unanswered_ping_id:
            return
        self._unanswered_ping_id = 0
        now = read_age_clock()
        was_clock_known = self._remote_clock.estimate(now) is not None
        self._remote_clock.record(pong.clock_ms / 1000, now)
        if not was_clock_known:
            self._host.handle_peer_clock_known()
        self._host.record_evacuations(
            pong.evacuated_zones, pong.operator_offset, self.entry.name
        )
        age_seconds = pong.policy_age_ms / 1000
        self._host.record_policy_age(
            pong.policy_version, age_seconds, self._ping_sent_on_age_clock
        )

    def _handle_disconnect(self, stream: FrameStream, reason: str) -> None:
        if stream is self._stream:
            self._disconnect(reason)

    def _disconnect(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
            if self._hello_received:
                self._journal.emit(
                    PEER_LOST,
                    peer=self.entry.name,
                    reason=reason,
                    in_flight=len(self._pending_replies),
                )
        self._disconnected.set()
        self._unanswered_ping_id = 0
        self._remote_clock = RemoteClock()
        self._token_requests.fail_all()
        error = ConnectionError(f"the stream to {self.entry.name} was lost: {reason}")
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(error)

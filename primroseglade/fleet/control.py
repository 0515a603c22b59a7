"""gRPC server and client for authenticated messages between nodes."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from google.protobuf.message import DecodeError, Message

from ..addresses import join_address, parse_address
from ..errors import PrimrosegladeError
from ..network import Network
from ..observe.events import Journal, MESSAGE_REFUSED
from ..observe.metrics import Metrics
from ..proto import control_pb2 as pb
from .seal import Sealer, SealError

SERVICE = "primroseglade.control.Control"
MAX_MESSAGE_BYTES = 8 << 20
MAX_CHANNELS = 48

# The network path between two nodes may fail while the connection stays open. The
# keepalive detects this within about three seconds, and the channel reconnects.
CHANNEL_OPTIONS = [
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
]
SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_ping_interval_without_data_ms", 1000),
    ("grpc.http2.max_ping_strikes", 0),
]

# Request and reply type of each method.
METHODS: dict[str, tuple[type[Message], type[Message]]] = {
    "Exchange": (pb.ExchangeRequest, pb.ExchangeReply),
    "Probe": (pb.ProbeRequest, pb.ProbeReply),
    "Records": (pb.RecordsRequest, pb.RecordsReply),
    "Confirm": (pb.ConfirmRequest, pb.ConfirmReply),
    "Grant": (pb.GrantRequest, pb.GrantReply),
    "Loan": (pb.LoanRequest, pb.LoanReply),
    "Vote": (pb.VoteRequest, pb.VoteReply),
    "Begin": (pb.BeginRequest, pb.BeginReply),
    "Finish": (pb.FinishRequest, pb.FinishReply),
}


class PeerError(PrimrosegladeError):
    """A node did not answer in time, or its answer failed authentication.

    The node may have received the message.
    """


Handler = Callable[[Any, str], Awaitable[Message]]


class ControlServer:
    """Receives messages of other nodes and sends the replies.

    Args:
        address: ``IP:PORT`` to listen on; with port 0 the kernel chooses a port.
        sealer: Authenticates requests and signs replies.
        metrics: Metrics with the numbers of messages and bytes.
        journal: Journal that receives refused messages.
    """

    def __init__(
        self, address: str, sealer: Sealer, metrics: Metrics, journal: Journal
    ):
        self._sealer = sealer
        self._metrics = metrics
        self._journal = journal
        self._handlers: dict[str, Handler] = {}
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        host, _ = parse_address(address)
        self._address = join_address(host, self._server.add_insecure_port(address))

    @property
    def address(self) -> str:
        """``IP:PORT`` on which the server listens."""
        return self._address

    def register(self, method: str, handler: Handler) -> None:
        """Register a method's handler, which gets the request and the sender's name."""
        self._handlers[method] = handler

    async def run(self) -> None:
        """Serve until canceled."""
        calls = {
            method: grpc.unary_unary_rpc_method_handler(
                self._build_method(method, handler)
            )
            for method, handler in self._handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, calls)
        self._server.add_generic_rpc_handlers((generic,))
        await self._server.start()
        try:
            await self._server.wait_for_termination()
        finally:
            await self._server.stop(0)

    def _build_method(self, method: str, handler: Handler) -> Any:
        request_type, _ = METHODS[method]

        async def answer(raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
            self._metrics.messages.labels(method, "in").inc()
            self._metrics.bytes.labels("in").inc(len(raw))
            try:
                sealed = self._sealer.open(raw, method)
                request = request_type.FromString(sealed.body)
            except SealError as error:
                await self._refuse(error.cause, error.sender, method, context)
            except DecodeError:
                await self._refuse("malformed", "", method, context)
            reply = await handler(request, sealed.sender)
            body = reply.SerializeToString()
            raw, _ = self._sealer.seal(method, body, sealed.sender, sealed.nonce)
            self._metrics.bytes.labels("out").inc(len(raw))
            return raw

        return answer

    async def _refuse(
        self, cause: str, sender: str, method: str, context: grpc.aio.ServicerContext
    ) -> None:
        self._metrics.refused_messages.labels(cause).inc()
        self._journal.emit(MESSAGE_REFUSED, cause=cause, sender=sender, method=method)
        await context.abort(grpc.StatusCode.UNAUTHENTICATED, cause)


class ControlClient:
    """Sends messages to other nodes over a cache of gRPC channels.

    Args:
        sealer: Signs requests and authenticates replies.
        metrics: Metrics with the numbers of messages and bytes.
        network: The network, in which tests and the demo can cut links.
    """

    def __init__(self, sealer: Sealer, metrics: Metrics, network: Network):
        self._sealer = sealer
        self._network = network
        self._metrics = metrics
        self._channels: collections.OrderedDict[str, grpc.aio.Channel] = (
            collections.OrderedDict()
        )
        self._closing_tasks: set[asyncio.Task[None]] = set()

    async def call(
        self,
        address: str,
        method: str,
        request: Message,
        timeout: float,
        receiver: str = "",
    ) -> Any:
        """Send a request and return the reply.

        Args:
            address: Control address of the node.
            method: One of ``METHODS``.
            request: The request message.
            timeout: Timeout in seconds.
            receiver: Name of the node, if known; any other node refuses the message.

        Raises:
            PeerError: There is no valid reply within the timeout.
        """
        _, reply_type = METHODS[method]
        raw, nonce = self._sealer.seal(method, request.SerializeToString(), receiver)
        self._metrics.messages.labels(method, "out").inc()
        self._metrics.bytes.labels("out").inc(len(raw))
        send = self._get_channel(address).unary_unary(f"/{SERVICE}/{method}")
        try:
            await self._network.wait_if_cut(address, timeout)
            answer = await send(raw, timeout=timeout)
            await self._network.wait_if_cut(address, timeout)
            sealed = self._sealer.open(answer, method, nonce)
            self._metrics.bytes.labels("in").inc(len(answer))
            return reply_type.FromString(sealed.body)
        except grpc.aio.AioRpcError as error:
            raise PeerError(f"{address}: {error.code().name}") from error
        except (SealError, DecodeError, TimeoutError) as error:
            raise PeerError(f"{address}: {error}") from error

    async def close(self) -> None:
        """Close every channel."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        while len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            task = asyncio.create_task(oldest.close(grace=1.0))
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)
        return channel

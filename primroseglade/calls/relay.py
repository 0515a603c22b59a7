"""Relays calls to the nodes of other backend servers."""

import asyncio
import json

from ..answers import parse_refusal
from ..fleet.members import Member
from ..network import Network
from ..settings.node import NodeSettings
from ..verdicts import may_have_run, not_run, Reason, Refusal
from .call import Call, Reply
from .connections import build_head, Connection, iterate_until_deadline, Response
from .context import ContextSigner
from .headers import (
    CONTEXT,
    filter_response_headers,
    find_header,
    LOAD,
    RETRY_TOKENS,
    SHED,
    TRACEPARENT,
)
from .pool import Pool

# Beyond this, the connections to the least recently used node are closed.
MAX_POOLS = 256
# Retry tokens that stay at this node, for a retry on another instance.
RETRY_TOKENS_KEPT = 1


class Relay:
    """Sends calls to the relay listeners of other nodes.

    Args:
        settings: Limits and timeouts.
        context_signer: Signs call contexts.
        network: Injects network partitions in tests.
    """

    def __init__(
        self, settings: NodeSettings, context_signer: ContextSigner, network: Network
    ):
        self._network = network
        self._settings = settings
        self._context_signer = context_signer
        self._pools: dict[str, Pool] = {}

    async def send(self, call: Call, member: Member) -> tuple[Reply, bytes]:
        """Send a call to the node of a member.

        All but one of the call's retry tokens are passed on, and the response returns
        the unused ones. Without a response they are lost, so that none can be spent
        twice. The one that stays allows a retry on another member.

        Returns:
            The reply, and the load reported with it.

        Raises:
            Refusal: Returned by the member's node, or because no response arrived.
        """
        pool = self._get_pool(member.relay)
        context = call.context
        sent = False
        connection = None
        is_streamed = False
        try:
            async with asyncio.timeout(context.remaining):
                connection = await pool.acquire()
                passed_on_tokens = max(0, context.retry_tokens - RETRY_TOKENS_KEPT)
                headers = [
                    *call.headers,
                    (
                        CONTEXT,
                        self._context_signer.write(
                            context, member.instance, passed_on_tokens
                        ),
                    ),
                    (TRACEPARENT, context.traceparent),
                ]
                target = b"/" + call.service.encode() + call.target
                head = build_head(call.method, target, pool.address, headers, call.body)
                context.retry_tokens -= passed_on_tokens
                sent = True
                response = await connection.exchange(
                    head, call.body, call.method == "HEAD"
                )
            context.retry_tokens += _parse_returned_tokens(response, passed_on_tokens)
            refusal = self._parse_refusal(response, connection)
            if refusal is not None:
                raise refusal
            load = find_header(response.headers, LOAD)
            headers = filter_response_headers(response.headers)
            if response.complete:
                reply = Reply(response.status, headers, connection.take_buffered())
                reply.shed = bool(find_header(response.headers, SHED))
                return reply, load
            is_streamed = True
            stream = iterate_until_deadline(connection, context)
            used_connection = connection
            reply = Reply(
                response.status,
                headers,
                None,
                response.length,
                stream,
                lambda: pool.release(used_connection),
            )
            return reply, load
        except TimeoutError as error:
            detail = f"no response from {member.instance} before the deadline"
            if not sent:
                raise not_run(Reason.DEADLINE_EXCEEDED, detail) from error
            raise may_have_run(Reason.DEADLINE_EXCEEDED, detail) from error
        finally:
            if connection is not None and not is_streamed:
                pool.release(connection)

    def remove_pool(self, address: str) -> None:
        """Close the idle connections to a node and remove their pool."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools):
            self.remove_pool(address)

    def _parse_refusal(
        self, response: Response, connection: Connection
    ) -> Refusal | None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in response.headers
        }
        if "primroseglade-reason" not in headers:
            return None
        detail = ""
        if response.complete:
            try:
                detail = str(json.loads(connection.take_buffered()).get("detail", ""))
            except (ValueError, AttributeError):
                detail = ""
        refusal = parse_refusal(headers, detail)
        return refusal or may_have_run(
            Reason.ANSWER_BROKEN, "the call was refused for an unknown reason"
        )

    def _get_pool(self, address: str) -> Pool:
        pool = self._pools.pop(address, None)
        if pool is None:
            pool = Pool(
                address,
                self._settings.limits.peer_connections,
                self._settings.timeouts.connect,
                self._settings.limits.body_buffer,
                self._network,
            )
        # The most recently used pool is the last.
        self._pools[address] = pool
        while len(self._pools) > MAX_POOLS:
            self.remove_pool(next(iter(self._pools)))
        return pool


def _parse_returned_tokens(response: Response, passed_on_tokens: int) -> int:
    """Return the number of retry tokens returned, at most those passed on."""
    value = find_header(response.headers, RETRY_TOKENS)
    return min(int(value), passed_on_tokens) if value.isdigit() else 0

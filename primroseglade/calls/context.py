"""The context of a relayed call on the wire, authenticated among nodes."""

import base64
import binascii
import hashlib
import hmac
import time

from google.protobuf.message import DecodeError

from ..fleet.seal import derive_key
from ..limits.importance import Importance
from ..observe.traces import TraceParent
from ..proto import control_pb2 as pb
from ..verdicts import not_run, Reason
from .call import Context

# Clocks of instances may differ by this much.
CLOCK_TOLERANCE_MS = 10_000
MAC_BYTES = 16
MAX_DEPTH = 64


class ContextSeal:
    """Writes and reads contexts.

    Args:
        secret: The fleet secret.
        instance: Name of this instance.
    """

    def __init__(self, secret: bytes, instance: str):
        self._key = derive_key(secret, "context")
        self._instance = instance

    def write(self, context: Context, receiver: str, retry_tokens: int) -> bytes:
        """Return a header's value that only ``receiver`` takes.

        Args:
            context: The call's.
            receiver: The instance that is to serve it.
            retry_tokens: How many of the call's go along.
        """
        remaining_ms = max(0, int(context.remaining * 1000))
        message = pb.CallContext(
            call=context.call,
            root=str(context.trace),
            workspace=context.workspace,
            key=context.key,
            importance=int(context.importance),
            expires_at_ms=int(time.time() * 1000) + remaining_ms,
            remaining_ms=remaining_ms,
            depth=context.depth,
            retry_tokens=retry_tokens,
            receiver=receiver,
            idempotent=context.idempotent,
        ).SerializeToString()
        return base64.urlsafe_b64encode(self._sign(message) + message)

    def read(self, value: bytes) -> Context:
        """Read a context.

        Raises:
            Refusal: ``not run``: nobody of this fleet wrote it for this instance, or
                its deadline has passed.
        """
        try:
            raw = base64.b64decode(value, altchars=b"-_", validate=True)
            mac, message = raw[:MAC_BYTES], raw[MAC_BYTES:]
            if not hmac.compare_digest(mac, self._sign(message)):
                raise not_run(Reason.CONTEXT_INVALID, "not signed by this fleet")
            fields = pb.CallContext.FromString(message)
            importance = Importance(fields.importance)
        except (binascii.Error, DecodeError, ValueError) as error:
            raise not_run(Reason.CONTEXT_INVALID, "malformed call context") from error
        if fields.receiver != self._instance:
            raise not_run(Reason.CONTEXT_INVALID, "meant for another instance")
        if time.time() * 1000 > fields.expires_at_ms + CLOCK_TOLERANCE_MS:
            raise not_run(Reason.DEADLINE_EXCEEDED, "the deadline had passed")
        trace, parent, flags = fields.root.split("-")[1:4]
        return Context(
            call=fields.call,
            trace=TraceParent(trace, parent, flags == "01"),
            workspace=fields.workspace,
            key=fields.key,
            importance=importance,
            deadline=time.monotonic() + fields.remaining_ms / 1000,
            depth=fields.depth,
            retry_tokens=fields.retry_tokens,
            idempotent=fields.idempotent,
        )

    def _sign(self, message: bytes) -> bytes:
        return hmac.new(self._key, message, hashlib.sha256).digest()[:MAC_BYTES]

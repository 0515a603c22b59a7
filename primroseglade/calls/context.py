"""Encoding of call contexts for the relay between nodes, with authentication."""

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

# Maximum difference between the clocks of two instances.
CLOCK_TOLERANCE_MS = 10_000
MAC_BYTES = 16
MAX_DEPTH = 64


class ContextSigner:
    """Encodes and decodes call contexts, signed with a key that the fleet shares.

    Args:
        secret: The fleet secret, from which the key is derived.
        instance: Name of this instance.
    """

    def __init__(self, secret: bytes, instance: str):
        self._key = derive_key(secret, "context")
        self._instance = instance

    def write(self, context: Context, receiver: str, retry_tokens: int) -> bytes:
        """Encode a context as a header value that only ``receiver`` accepts.

        Args:
            context: Context of the call.
            receiver: Name of the instance that is to serve the call.
            retry_tokens: Number of the call's retry tokens to pass on.
        """
        remaining_ms = max(0, int(context.remaining * 1000))
        message = pb.CallContext(
            call=context.call,
            # The field holds a traceparent, not only the id of the root call.
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
        """Verify and decode a context.

        Raises:
            Refusal: ``not run``: it was not signed by this fleet for this instance, or
                its deadline has passed.
        """
        try:
            raw = base64.b64decode(value, altchars=b"-_", validate=True)
            mac, message = raw[:MAC_BYTES], raw[MAC_BYTES:]
            if not hmac.compare_digest(mac, self._sign(message)):
                raise not_run(
                    Reason.CONTEXT_INVALID, "call context not signed by this fleet"
                )
            fields = pb.CallContext.FromString(message)
            importance = Importance(fields.importance)
        except (binascii.Error, DecodeError, ValueError) as error:
            raise not_run(Reason.CONTEXT_INVALID, "malformed call context") from error
        if fields.receiver != self._instance:
            raise not_run(
                Reason.CONTEXT_INVALID, "call context is for another instance"
            )
        if time.time() * 1000 > fields.expires_at_ms + CLOCK_TOLERANCE_MS:
            raise not_run(
                Reason.DEADLINE_EXCEEDED, "the deadline passed during the relay"
            )
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

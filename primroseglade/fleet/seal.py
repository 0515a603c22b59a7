"""Seals messages between nodes with the fleet secret."""

import hashlib
import hmac
import secrets
import time

from google.protobuf.message import DecodeError

from ..proto.control_pb2 import Sealed

NONCE_BYTES = 16
# Clocks of instances may differ, and messages may wait: what is older is refused,
# and what is younger is remembered, so that no message is taken twice.
MAX_MESSAGE_AGE_MS = 30_000


class SealError(Exception):
    """A message that is not taken; ``cause`` names why, for the metric.

    Args:
        cause: ``malformed``, ``forged``, ``late``, ``replayed`` or ``misdirected``.
    """

    def __init__(self, cause: str, sender: str = ""):
        super().__init__(f"{cause} message from {sender or 'unknown'}")
        self.cause = cause
        self.sender = sender


def derive_key(secret: bytes, purpose: str) -> bytes:
    """Derive a key, so that what is signed for one purpose fits no other."""
    return hmac.new(secret, purpose.encode(), hashlib.sha256).digest()


class Sealer:
    """Seals and opens the messages of one instance.

    Args:
        secret: The fleet secret.
        instance: Name of the instance.
    """

    def __init__(self, secret: bytes, instance: str):
        self._key = derive_key(secret, "control")
        self._instance = instance
        self._nonces: set[bytes] = set()
        self._previous_nonces: set[bytes] = set()
        self._rotated_at = time.monotonic()

    def seal(
        self, method: str, body: bytes, receiver: str = "", nonce: bytes = b""
    ) -> tuple[bytes, bytes]:
        """Seal a message.

        Args:
            method: What it asks for; an answer names its request's method.
            body: The serialized message.
            receiver: Whom it is for, where the sender knows.
            nonce: Of the request that this answers.

        Returns:
            The sealed message and its nonce.
        """
        sealed = Sealed(
            sender=self._instance,
            receiver=receiver,
            sent_at_ms=int(time.time() * 1000),
            nonce=nonce or secrets.token_bytes(NONCE_BYTES),
            method=method,
            body=body,
        )
        sealed.mac = self._sign(sealed)
        return sealed.SerializeToString(), sealed.nonce

    def open(self, raw: bytes, method: str, nonce: bytes = b"") -> Sealed:
        """Check a message and return it.

        Args:
            raw: What came in.
            method: What it has to be for.
            nonce: Where it answers a request, that request's.

        Raises:
            SealError: It is not to be trusted, or was taken before.
        """
        try:
            sealed = Sealed.FromString(raw)
        except DecodeError as error:
            raise SealError("malformed") from error
        if not hmac.compare_digest(self._sign(sealed), sealed.mac):
            raise SealError("forged", sealed.sender)
        if sealed.method != method or sealed.receiver not in ("", self._instance):
            raise SealError("misdirected", sealed.sender)
        if abs(time.time() * 1000 - sealed.sent_at_ms) > MAX_MESSAGE_AGE_MS:
            raise SealError("late", sealed.sender)
        if nonce:
            if sealed.nonce != nonce:
                raise SealError("misdirected", sealed.sender)
        else:
            self._check_replay(sealed)
        return sealed

    def _check_replay(self, sealed: Sealed) -> None:
        now = time.monotonic()
        if now - self._rotated_at > 2 * MAX_MESSAGE_AGE_MS / 1000:
            self._previous_nonces, self._nonces = self._nonces, set()
            self._rotated_at = now
        if sealed.nonce in self._nonces or sealed.nonce in self._previous_nonces:
            raise SealError("replayed", sealed.sender)
        self._nonces.add(sealed.nonce)

    def _sign(self, sealed: Sealed) -> bytes:
        fields = (
            sealed.sender.encode(),
            sealed.receiver.encode(),
            str(sealed.sent_at_ms).encode(),
            sealed.nonce,
            sealed.method.encode(),
            sealed.body,
        )
        # Each field's length goes in, so that no two messages sign the same bytes.
        digest = hmac.new(self._key, digestmod=hashlib.sha256)
        for field in fields:
            digest.update(len(field).to_bytes(4, "big"))
            digest.update(field)
        return digest.digest()

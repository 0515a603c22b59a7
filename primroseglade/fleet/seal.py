"""Authentication of messages between nodes with the fleet secret."""

import hashlib
import hmac
import secrets
import time

from google.protobuf.message import DecodeError

from ..proto.control_pb2 import Sealed

NONCE_BYTES = 16
# Allows for clock differences and for delays of messages. Older messages are refused,
# and the nonces of younger ones are stored, so that no message is accepted twice.
MAX_MESSAGE_AGE_MS = 30_000


class SealError(Exception):
    """A message that is refused.

    Args:
        cause: Label of the metric: ``malformed``, ``forged``, ``late``, ``replayed`` or
            ``misdirected``.
        sender: Name of the instance that the message claims as its sender.
    """

    def __init__(self, cause: str, sender: str = ""):
        super().__init__(f"{cause} message from {sender or 'unknown'}")
        self.cause = cause
        self.sender = sender


def derive_key(secret: bytes, purpose: str) -> bytes:
    """Derive a key, so that a signature for one purpose is invalid for any other."""
    return hmac.new(secret, purpose.encode(), hashlib.sha256).digest()


class Sealer:
    """Signs and verifies the messages of one instance.

    Messages carry an HMAC, the receiver and a nonce; they are not encrypted.

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
        """Sign a message.

        Args:
            method: Method of the request; a reply names that of its request.
            body: The serialized message.
            receiver: Name of the receiving instance; empty if unknown.
            nonce: Nonce of the request, in a reply.

        Returns:
            The serialized ``Sealed`` message and its nonce.
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
        """Verify a message and return it.

        Args:
            raw: The serialized ``Sealed`` message.
            method: Expected method.
            nonce: Nonce of the request, for a reply.

        Raises:
            SealError: The message is invalid, or was received before.
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
        # The length of each field is included, so that moving bytes from one field to
        # the next changes the signature.
        digest = hmac.new(self._key, digestmod=hashlib.sha256)
        for field in fields:
            digest.update(len(field).to_bytes(4, "big"))
            digest.update(field)
        return digest.digest()

"""Memory limit for responses of which more is to come."""

from typing import Protocol


class ResponseHolder(Protocol):
    """A connection that holds the beginning of a response."""

    def give_up(self, detail: str) -> None:
        """Fail the request that waits for the response, and drop what is held."""


class HeldResponses:
    """Limits the bytes of incomplete responses that are held at the same time.

    Over the limit the largest response is given up: one without end outgrows all
    others, which are served on.

    Args:
        max_bytes: Maximum sum of the sizes.
    """

    __slots__ = ("_max_bytes", "_sizes", "_total_bytes")

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._sizes: dict[ResponseHolder, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes held at this moment."""
        return self._total_bytes

    def update(self, holder: ResponseHolder, size: int) -> None:
        """Set the number of bytes that a connection holds."""
        self._total_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
        while self._total_bytes > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.give_up(f"incomplete responses exceed {self._max_bytes} bytes")

    def release(self, holder: ResponseHolder) -> None:
        """Forget a connection, which holds nothing any more."""
        self._total_bytes -= self._sizes.pop(holder, 0)

"""Errors that end a command with a one-line message."""

from .exits import ExitStatus


class PrimrosegladeError(Exception):
    """An error with a message for the user; ``status`` is the exit status."""

    status = ExitStatus.FAILURE


class InputError(PrimrosegladeError):
    """Invalid content of a file, section or record.

    Args:
        source: Name of the file, section or record.
        path: JSON pointer (RFC 6901) to the invalid value.
        reason: What is wrong with the value.
        expected: What a valid value looks like; empty if unknown.
    """

    status = ExitStatus.BAD_INPUT

    def __init__(self, source: str, path: str, reason: str, expected: str = ""):
        self.source = source
        self.path = path
        self.reason = reason
        self.expected = expected
        super().__init__(str(self))

    def __str__(self) -> str:
        line = f"{self.source}: at {self.path or '/'}: {self.reason}"
        if self.expected:
            line += f" (expected {self.expected})"
        return line


class UnreachableError(PrimrosegladeError):
    """Another system did not respond in time."""

    status = ExitStatus.UNREACHABLE


class RefusedError(PrimrosegladeError):
    """A valid request or edit was refused."""

    status = ExitStatus.REFUSED

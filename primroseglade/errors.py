"""Errors that end a command with one line."""

from .exits import ExitStatus


class PrimrosegladeError(Exception):
    """An error whose text is fit for a person; ``status`` is the exit status."""

    status = ExitStatus.FAILURE


class InputError(PrimrosegladeError):
    """A file or record that does not say what it must.

    Args:
        source: The file, section or record.
        path: Where in it, in JSON pointer form (RFC 6901).
        reason: What is wrong there.
        expected: What would be right.
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
    """An outside system that gave no answer in time."""

    status = ExitStatus.UNREACHABLE


class RefusedError(PrimrosegladeError):
    """An edit that was understood and not accepted."""

    status = ExitStatus.REFUSED

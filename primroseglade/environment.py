"""What a command may touch: streams, and how it is to write to them."""

import sys
from typing import TextIO


class Environment:
    """Streams and output choices, handed to every command.

    Args:
        stdout: Where results go.
        stderr: Where errors, logs and progress go.
    """

    __slots__ = ("stderr", "stdout")

    def __init__(self, stdout: TextIO | None = None, stderr: TextIO | None = None):
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr

    @property
    def interactive(self) -> bool:
        """Whether a person watches the error stream."""
        return self.stderr.isatty()

    def print(self, text: str) -> None:
        """Write one line of a result."""
        self.stdout.write(text + "\n")
        self.stdout.flush()

    def warn(self, text: str) -> None:
        """Write one line that is not part of a result."""
        self.stderr.write(text + "\n")
        self.stderr.flush()

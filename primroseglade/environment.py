"""The output streams that are passed to every command."""

import sys
from typing import TextIO


class Environment:
    """Output streams of a command.

    Args:
        stdout: Stream for results; that of the process if None.
        stderr: Stream for errors, logs and progress; that of the process if None.
    """

    __slots__ = ("stderr", "stdout")

    def __init__(self, stdout: TextIO | None = None, stderr: TextIO | None = None):
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr

    @property
    def interactive(self) -> bool:
        """Whether the error stream is a terminal."""
        return self.stderr.isatty()

    def print(self, text: str) -> None:
        """Write one line to the result stream."""
        self.stdout.write(text + "\n")
        self.stdout.flush()

    def warn(self, text: str) -> None:
        """Write one line to the error stream."""
        self.stderr.write(text + "\n")
        self.stderr.flush()

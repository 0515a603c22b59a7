"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    CHECK_FAILED = 1
    USAGE = 2
    BAD_INPUT = 3
    REFUSED = 4
    UNREACHABLE = 5
    FAILURE = 70
    INTERRUPTED = 130

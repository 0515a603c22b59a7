"""Importance classes of calls."""

import enum


class Importance(enum.IntEnum):
    """Higher classes are served first and shed last."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3

    @classmethod
    def from_name(cls, name: str) -> "Importance":
        """Return the class that the document calls by this name.

        >>> Importance.from_name("critical")
        <Importance.CRITICAL: 3>
        """
        return cls[name.upper()]

"""Importance classes of calls."""

import enum


class Importance(enum.IntEnum):
    """Importance class of a call; higher classes are served first and shed last."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3

    @classmethod
    def from_name(cls, name: str) -> "Importance":
        """Return the class with this name in the configuration document.

        >>> Importance.from_name("critical")
        <Importance.CRITICAL: 3>
        """
        return cls[name.upper()]

"""Checks of decoded JSON: what the platform's bodies and settings hold."""

import re
from typing import Any

from ..errors import InputError

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


class Fields:
    """An object of a decoded body, read with checks.

    Args:
        value: As decoded.
        source: What it is, in errors.
    """

    __slots__ = ("_source", "_value")

    def __init__(self, value: Any, source: str):
        if not isinstance(value, dict):
            raise InputError(source, "", "is no object")
        self._value = value
        self._source = source

    def get_string(self, name: str, default: str | None = None) -> str:
        """Return a string that is not empty."""
        value = self._value.get(name, default)
        if not isinstance(value, str) or (not value and value != default):
            raise InputError(self._source, name, "is no text")
        return value

    def get_integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number."""
        value = self._value.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool):
            raise InputError(self._source, name, "is no whole number")
        return value

    def get_number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self._value.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise InputError(self._source, name, "is no number")
        return float(value)

    def get_boolean(self, name: str, default: bool = False) -> bool:
        """Return true or false."""
        value = self._value.get(name, default)
        if not isinstance(value, bool):
            raise InputError(self._source, name, "is neither true nor false")
        return value

    def get_seconds(self, name: str, default: float | None = None) -> float:
        """Return a time, written as a number and its unit, in seconds."""
        value = self._value.get(name)
        if value is None and default is not None:
            return default
        if isinstance(value, str):
            match = DURATION_PATTERN.fullmatch(value)
            if match:
                number = float(match.group(1))
                return number / 1000 if match.group(2) == "ms" else number
        raise InputError(self._source, name, "is no time", "such as 1500ms or 2.5s")

    def get_object(self, name: str) -> "Fields":
        """Return an object."""
        return Fields(self._value.get(name), f"{self._source}/{name}")

    def get_list(self, name: str) -> list[Any]:
        """Return a list, empty if there is none."""
        value = self._value.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise InputError(self._source, name, "is no list")
        return value

    def has(self, name: str) -> bool:
        """Whether the field is there."""
        return self._value.get(name) is not None

"""Typed access to decoded JSON objects, with errors that name the field."""

import re
from typing import Any

from ..errors import InputError

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


class Fields:
    """Reads the fields of a decoded JSON object and checks their types.

    Getters raise ``InputError`` if the field has another type, or if it is missing and
    no default is given.

    Args:
        value: The decoded value.
        source: Name of the document in errors.
    """

    __slots__ = ("_source", "_value")

    def __init__(self, value: Any, source: str):
        if not isinstance(value, dict):
            raise InputError(source, "", "must be an object")
        self._value = value
        self._source = source

    def get_string(self, name: str, default: str | None = None) -> str:
        """Return a string; an empty one is valid only if it is the default."""
        value = self._value.get(name, default)
        if not isinstance(value, str) or (not value and value != default):
            raise InputError(self._source, name, "must be a string that is not empty")
        return value

    def get_integer(self, name: str, default: int | None = None) -> int:
        """Return an integer."""
        value = self._value.get(name, default)
        if not isinstance(value, int) or isinstance(value, bool):
            raise InputError(self._source, name, "must be an integer")
        return value

    def get_number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self._value.get(name, default)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise InputError(self._source, name, "must be a number")
        return float(value)

    def get_boolean(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        value = self._value.get(name, default)
        if not isinstance(value, bool):
            raise InputError(self._source, name, "must be true or false")
        return value

    def get_seconds(self, name: str, default: float | None = None) -> float:
        """Return a duration in seconds, written as a number and ``ms`` or ``s``."""
        value = self._value.get(name)
        if value is None and default is not None:
            return default
        if isinstance(value, str):
            match = DURATION_PATTERN.fullmatch(value)
            if match:
                number = float(match.group(1))
                return number / 1000 if match.group(2) == "ms" else number
        raise InputError(
            self._source, name, "must be a duration", "such as 1500ms or 2.5s"
        )

    def get_strings(self) -> dict[str, str]:
        """Return all fields, which must be strings."""
        return {name: self.get_string(name) for name in self._value}

    def get_object(self, name: str) -> "Fields":
        """Return a nested object."""
        return Fields(self._value.get(name), f"{self._source}/{name}")

    def get_list(self, name: str) -> list[Any]:
        """Return a list, empty if the field is missing."""
        value = self._value.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise InputError(self._source, name, "must be a list")
        return value

    def has(self, name: str) -> bool:
        """Whether the field is present and not null."""
        return self._value.get(name) is not None

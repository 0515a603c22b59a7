"""Reads JSON with comments and checks it against a JSON Schema."""

import ipaddress
import pathlib
from typing import Any

import jsonc
from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import best_match, ValidationError

from ..addresses import parse_address
from ..errors import InputError

_format_checker = FormatChecker(formats=())


@_format_checker.checks("address", raises=ValueError)
def _is_address(value: Any) -> bool:
    return not isinstance(value, str) or bool(parse_address(value))


@_format_checker.checks("network", raises=ValueError)
def _is_network(value: Any) -> bool:
    return not isinstance(value, str) or bool(ipaddress.ip_network(value))


def read_file(path: str) -> Any:
    """Read and parse a file of JSON with comments.

    Raises:
        InputError: The file cannot be read or is not JSON, or an object has a
            duplicate field.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise InputError(path, "", f"cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise InputError(path, "", "is not UTF-8 text") from error
    return parse_text(text, path)


def parse_text(text: str, source: str) -> Any:
    """Parse JSON with comments.

    Args:
        text: Text to parse.
        source: Name of the file in errors.

    Raises:
        InputError: The text is not JSON, or an object has a duplicate field.
    """

    def reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields = dict(pairs)
        if len(fields) != len(pairs):
            names = [name for name, _ in pairs]
            duplicate = next(name for name in names if names.count(name) > 1)
            raise InputError(source, "", f"duplicate field {duplicate!r}")
        return fields

    try:
        return jsonc.loads(text, object_pairs_hook=reject_duplicates)
    except jsonc.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        raise InputError(source, "", f"not JSON: {error.msg} at {position}") from error
    except RecursionError as error:
        raise InputError(source, "", "is nested too deeply") from error


def build_validator(schema: dict[str, Any]) -> Draft202012Validator:
    """Return a validator that also checks the formats ``address`` and ``network``."""
    return Draft202012Validator(schema, format_checker=_format_checker)


def check(value: Any, validator: Draft202012Validator, source: str) -> None:
    """Check a value against a schema.

    Args:
        value: Parsed JSON.
        validator: Validator of the schema.
        source: Name of the file in errors.

    Raises:
        InputError: The most relevant error: its path, the reason, and what was
            expected there.
    """
    error = best_match(validator.iter_errors(value))
    if error is None:
        return
    path = "".join(f"/{_escape(part)}" for part in error.absolute_path)
    raise InputError(source, path, _describe(error), _describe_expected(error))


def fill_defaults(value: Any, schema: dict[str, Any]) -> Any:
    """Return the value with the schema's defaults for absent fields.

    >>> fill_defaults({}, {"properties": {"seconds": {"default": 2}}})
    {'seconds': 2}
    """
    if not isinstance(value, dict):
        return value
    filled = dict(value)
    for name, field in schema.get("properties", {}).items():
        if name not in filled and "default" in field:
            filled[name] = field["default"]
        if name in filled:
            filled[name] = fill_defaults(filled[name], field)
    return filled


def _escape(part: str | int) -> str:
    return str(part).replace("~", "~0").replace("/", "~1")


def _describe(error: ValidationError) -> str:
    if error.validator == "additionalProperties":
        known = set(error.schema.get("properties", ()))
        unknown = sorted(set(error.instance) - known)
        return "unknown field " + ", ".join(repr(name) for name in unknown)
    if error.validator == "required":
        return error.message
    if error.validator == "format":
        return f"{error.instance!r} is not an {error.validator_value}"
    text = repr(error.instance)
    if len(text) > 60:
        text = text[:57] + "..."
    return f"{text} is not valid"


def _describe_expected(error: ValidationError) -> str:
    if error.validator == "additionalProperties":
        known = sorted(error.schema.get("properties", ()))
        return "one of " + ", ".join(known)
    if error.validator == "required":
        return "required: " + ", ".join(error.validator_value)
    description = error.schema.get("description", "")
    rule = f"{error.validator} {error.validator_value}"
    return f"{description.rstrip('.')}; {rule}" if description else rule

"""JSON schemas of the kinds of section in the operators' document."""

from typing import Any

from ..errors import InputError
from ..settings.node import ADDRESS_SCHEMA, NAME_SCHEMA
from ..settings.reader import build_validator, check

IMPORTANCE_NAMES = ("critical", "high", "normal", "low")
SECTION_NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
DIGEST_PATTERN = "^sha256:[0-9a-f]{64}$"

_NAME_LIST_SCHEMA = {"type": "array", "items": NAME_SCHEMA, "default": []}
_IMPORTANCE_SCHEMA = {"enum": list(IMPORTANCE_NAMES)}


def _object_schema(
    description: str, required: list[str], **properties: Any
) -> dict[str, Any]:
    return {
        "type": "object",
        "description": description,
        "additionalProperties": False,
        "required": required,
        "properties": properties,
    }


SECTION_SCHEMAS: dict[str, dict[str, Any]] = {
    "zones": _object_schema(
        "An availability zone, and the fraction of each rate limit that it grants.",
        ["share"],
        share={
            "type": "number",
            "minimum": 0,
            "maximum": 1,
            "unit": "1",
            "description": "Fraction of each workspace's rate and burst that the zone "
            "grants; the sum over all zones must not exceed 1.",
        },
        region=NAME_SCHEMA | {"description": "Region of the zone."},
    ),
    "workspaces": _object_schema(
        "A workspace and the digests of its keys.",
        ["keys"],
        keys={
            "type": "array",
            "description": "API keys of the workspace.",
            "items": _object_schema(
                "One API key.",
                ["id", "digest"],
                id=NAME_SCHEMA
                | {"description": "Id of the key, unique in the document."},
                digest={
                    "type": "string",
                    "pattern": DIGEST_PATTERN,
                    "description": "sha256: followed by the key's SHA-256 in hex.",
                },
                batch=NAME_SCHEMA
                | {"description": "Batch in which the key was issued."},
            ),
        },
        stale_after={
            "type": "number",
            "exclusiveMinimum": 0,
            "unit": "s",
            "description": "Maximum age of a node's configuration. Beyond it, the node "
            "refuses the workspace's calls; if absent, there is no maximum.",
        },
    ),
    "rates": _object_schema(
        "Rate limit of a workspace, for the whole fleet.",
        ["per_second", "burst"],
        per_second={
            "type": "number",
            "exclusiveMinimum": 0,
            "unit": "calls/s",
            "description": "Maximum root calls per second.",
        },
        burst={
            "type": "number",
            "minimum": 1,
            "unit": "calls",
            "description": "Maximum root calls beyond the rate, over any period.",
        },
    ),
    "services": _object_schema(
        "A service, and the backend servers that are trusted to serve it.",
        ["backend_servers"],
        backend_servers={
            "type": "array",
            "description": "Trusted backend servers.",
            "items": _object_schema(
                "One network; all backend servers in it are trusted.",
                ["network"],
                network={
                    "type": "string",
                    "format": "network",
                    "description": "IP network in CIDR form.",
                },
                batch=NAME_SCHEMA
                | {"description": "Batch in which these servers were built."},
            ),
        },
        timeout={
            "type": "number",
            "exclusiveMinimum": 0,
            "unit": "s",
            "description": "Timeout of a root call that specifies none.",
        },
        idempotent={
            "type": "array",
            "items": {"type": "string", "pattern": "^/"},
            "description": "Path prefixes whose POST and PATCH calls are idempotent.",
        },
    ),
    "importance": _object_schema(
        "Importance of the calls to the service of this name.",
        ["default"],
        default=_IMPORTANCE_SCHEMA
        | {"description": "Importance of calls that match no route."},
        routes={
            "type": "array",
            "description": "Routes with their own importance; the first that matches a "
            "call applies.",
            "items": _object_schema(
                "One route.",
                ["path", "importance"],
                path={
                    "type": "string",
                    "pattern": "^/",
                    "description": "Path prefix, without the service's name.",
                },
                method={
                    "type": "string",
                    "description": "HTTP method; if absent, any method.",
                },
                importance=_IMPORTANCE_SCHEMA
                | {"description": "Importance of the route."},
            ),
        },
    ),
    "recalls": _object_schema(
        "Keys, workspaces and backend servers that are withdrawn at once, until this "
        "section is removed.",
        [],
        keys=_NAME_LIST_SCHEMA | {"description": "Ids of withdrawn keys."},
        key_batches=_NAME_LIST_SCHEMA
        | {"description": "Batches whose keys are withdrawn."},
        workspaces=_NAME_LIST_SCHEMA | {"description": "Withdrawn workspaces."},
        backend_servers={
            "type": "array",
            "items": ADDRESS_SCHEMA,
            "default": [],
            "description": "Withdrawn backend servers, IP:PORT.",
        },
        backend_server_batches=_NAME_LIST_SCHEMA
        | {"description": "Batches whose backend servers are withdrawn."},
        note={
            "type": "string",
            "maxLength": 500,
            "description": "Reason for the recall, for operators.",
        },
    ),
}

SECTION_KINDS = tuple(SECTION_SCHEMAS)

_validators = {
    kind: build_validator(schema) for kind, schema in SECTION_SCHEMAS.items()
}
_name_validator = build_validator(
    {
        "type": "string",
        "pattern": SECTION_NAME_PATTERN,
        "description": "lower-case letters, digits, dots, dashes",
    }
)
_document_validator = build_validator(
    {
        "type": "object",
        "additionalProperties": False,
        "properties": {kind: {"type": "object"} for kind in SECTION_KINDS},
    }
)


def split_section(section: str) -> tuple[str, str]:
    """Split a section's name into its kind and the name within that kind.

    Raises:
        InputError: The kind is unknown or the name is invalid.

    >>> split_section("rates/north")
    ('rates', 'north')
    """
    kind, _, name = section.partition("/")
    if kind not in SECTION_SCHEMAS:
        expected = "one of " + ", ".join(SECTION_KINDS)
        raise InputError(section, "", f"unknown kind {kind!r}", expected)
    check(name, _name_validator, section)
    return kind, name


def check_section(section: str, value: Any) -> None:
    """Check the value of one section against the schema of its kind.

    Raises:
        InputError: The value is invalid; the error names the path within the section.
    """
    kind, _ = split_section(section)
    check(value, _validators[kind], section)


def flatten_document(document: Any, source: str) -> dict[str, Any]:
    """Check a document and return its sections by full name, ``kind/name``.

    Args:
        document: Parsed JSON: for each kind, an object of values by section name.
        source: Name of the document in errors.

    Raises:
        InputError: A kind of section is unknown or a section is invalid.
    """
    check(document, _document_validator, source)
    sections = {}
    for kind, named in document.items():
        for name, value in named.items():
            section = f"{kind}/{name}"
            check_section(section, value)
            sections[section] = value
    return sections

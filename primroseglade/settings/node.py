"""Settings of one node process."""

import secrets
from typing import Any

from ..addresses import join_address, parse_address
from .reader import build_validator, check, fill_defaults, read_file

ADDRESS_SCHEMA = {"type": "string", "format": "address"}
NAME_SCHEMA = {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"}
LOOPBACK_ANY_PORT = "127.0.0.1:0"


def _seconds(default: float, description: str) -> dict[str, Any]:
    return {
        "type": "number",
        "exclusiveMinimum": 0,
        "default": default,
        "unit": "s",
        "description": description,
    }


def _positive_integer(default: int, unit: str, description: str) -> dict[str, Any]:
    return {
        "type": "integer",
        "minimum": 1,
        "default": default,
        "unit": unit,
        "description": description,
    }


def _listener(description: str) -> dict[str, Any]:
    return ADDRESS_SCHEMA | {"default": LOOPBACK_ANY_PORT, "description": description}


def _group(description: str, **properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "default": {},
        "description": description,
        "properties": properties,
    }


SETTINGS_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["instance", "zone", "platform", "fleet_secret"],
    "properties": {
        "instance": NAME_SCHEMA
        | {"description": "Name of this instance, unique in the fleet; never reused."},
        "zone": NAME_SCHEMA | {"description": "Availability zone of this instance."},
        "platform": ADDRESS_SCHEMA
        | {"description": "IP:PORT of the platform's log service."},
        "fleet_secret": {
            "type": "string",
            "minLength": 32,
            "description": "Secret that all nodes share; 32 characters or more.",
        },
        "seeds": {
            "type": "array",
            "items": ADDRESS_SCHEMA,
            "default": [],
            "description": "Control addresses of the nodes to contact at the start.",
        },
        "operator_token": {
            "type": "string",
            "minLength": 16,
            "description": "Bearer token that the operator address requires.",
        },
        "listen": _group(
            "Addresses to listen on, IP:PORT; with port 0 the kernel chooses a port.",
            callers=_listener("HTTP requests of callers."),
            relay=_listener("Calls relayed by other nodes, over HTTP."),
            control=_listener("Control messages of other nodes, over gRPC."),
            backend=_listener(
                "Announcements and nested calls of this node's backend server, over "
                "HTTP. Keep it on loopback."
            ),
            operator=_listener("Metrics, traces and state of the node, over HTTP."),
        ),
        "limits": _group(
            "Limits on memory, connections and calls.",
            body_buffer=_positive_integer(
                65536,
                "bytes",
                "Maximum body held in memory; larger bodies are streamed.",
            ),
            body=_positive_integer(1 << 30, "bytes", "Maximum size of a call's body."),
            header=_positive_integer(32768, "bytes", "Maximum size of a request head."),
            connections=_positive_integer(
                100,
                "connections",
                "Maximum number of connections to the backend server, unless it "
                "announces another number.",
            ),
            peer_connections=_positive_integer(
                64,
                "connections",
                "Maximum number of connections to each other node's relay listener.",
            ),
            slots=_positive_integer(
                4,
                "calls",
                "Initial concurrency limit if the backend server announces no slots.",
            ),
            queue=_positive_integer(200, "calls", "Maximum number of queued calls."),
        ),
        "timeouts": _group(
            "Timeouts and maximum waits.",
            call=_seconds(10.0, "Timeout of a call that specifies none."),
            connect=_seconds(1.0, "Maximum time to open a connection."),
            silence=_seconds(
                2.0,
                "Time without the first byte of a response, after which the connection "
                "is probed.",
            ),
            queue=_seconds(0.25, "Maximum wait in the admission queue."),
            drain=_seconds(
                30.0, "Maximum wait for calls in flight during a graceful shutdown."
            ),
            lame_duck=_seconds(
                2.0,
                "Minimum time from announcing a stop to closing the listeners.",
            ),
        ),
        "retries": _group(
            "Limits on retries.",
            tokens=_positive_integer(
                6,
                "attempts",
                "Maximum retries of a root call, over all its hops together.",
            ),
            share=_seconds(
                0.1, "Maximum retries of a workspace's calls, per first attempt."
            )
            | {"unit": "1"},
        ),
        "fleet": _group(
            "Control traffic between nodes.",
            period=_seconds(
                1.0, "Average interval of gossip exchanges with a neighbor."
            ),
            suspicion=_seconds(
                3.0,
                "Time from suspecting a member to declaring it dead.",
            ),
            readers=_positive_integer(
                3,
                "nodes",
                "Number of nodes per zone that read the log; other nodes ask peers.",
            ),
            lease=_seconds(3.0, "Duration of a rate holder's lease."),
            grant=_seconds(1.0, "Time for which granted rate tokens are valid."),
            renewal=_seconds(
                3600.0,
                "Interval at which a node renews its entry in the membership stream.",
            ),
            discovery=_seconds(
                120.0,
                "Interval at which the membership stream is searched for other nodes.",
            ),
            snapshot=_seconds(3600.0, "Interval of configuration snapshots."),
        ),
        "log": _group(
            "The process's log.",
            format={
                "enum": ["text", "json"],
                "default": "text",
                "description": "Readable text lines or JSON lines.",
            },
            level={
                "enum": ["debug", "info", "warning", "error"],
                "default": "info",
                "description": "Minimum level of logged events.",
            },
        ),
        "traces": _group(
            "Spans, one per hop, with W3C trace context propagated.",
            sampled={
                "type": "number",
                "minimum": 0,
                "maximum": 1,
                "default": 0.01,
                "unit": "1",
                "description": (
                    "Fraction traced of the root calls that come without trace context."
                ),
            },
            kept=_positive_integer(
                2000, "spans", "Spans kept for the operator address."
            ),
        ),
    },
}

_validator = build_validator(SETTINGS_SCHEMA)


class SettingsGroup:
    """A group of settings, with one attribute for each name in ``__slots__``."""

    __slots__ = ()

    def __init__(self, **fields: Any):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Listeners(SettingsGroup):
    """Addresses to listen on, ``IP:PORT``."""

    __slots__ = ("backend", "callers", "control", "operator", "relay")


class Limits(SettingsGroup):
    """Limits on memory (bytes), connections and calls."""

    __slots__ = (
        "body",
        "body_buffer",
        "connections",
        "header",
        "peer_connections",
        "queue",
        "slots",
    )


class Timeouts(SettingsGroup):
    """Timeouts, in seconds."""

    __slots__ = ("call", "connect", "drain", "lame_duck", "queue", "silence")


class Retries(SettingsGroup):
    """Limits on retries."""

    __slots__ = ("share", "tokens")


class Fleet(SettingsGroup):
    """Periods of control traffic in seconds, and the number of log readers per zone."""

    __slots__ = (
        "discovery",
        "grant",
        "lease",
        "period",
        "readers",
        "renewal",
        "snapshot",
        "suspicion",
    )


class Log(SettingsGroup):
    """Format and minimum level of the process's log."""

    __slots__ = ("format", "level")


class Traces(SettingsGroup):
    """Sampling and retention of spans."""

    __slots__ = ("kept", "sampled")


class NodeSettings:
    """All settings of one node process; see ``docs/SETTINGS.md``."""

    __slots__ = (
        "fleet",
        "fleet_secret",
        "instance",
        "limits",
        "listen",
        "log",
        "operator_token",
        "platform",
        "retries",
        "seeds",
        "timeouts",
        "traces",
        "zone",
    )

    def __init__(self, fields: dict[str, Any]):
        self.instance: str = fields["instance"]
        self.zone: str = fields["zone"]
        self.platform: str = fields["platform"]
        self.fleet_secret: bytes = fields["fleet_secret"].encode()
        self.seeds: list[str] = fields["seeds"]
        self.operator_token: str = fields.get("operator_token", "")
        self.listen = Listeners(**fields["listen"])
        self.limits = Limits(**fields["limits"])
        self.timeouts = Timeouts(**fields["timeouts"])
        self.retries = Retries(**fields["retries"])
        self.fleet = Fleet(**fields["fleet"])
        self.log = Log(**fields["log"])
        self.traces = Traces(**fields["traces"])


def build_node_settings(fields: Any, source: str = "settings") -> NodeSettings:
    """Check parsed settings and fill in defaults.

    Args:
        fields: Parsed JSON.
        source: Name of the file in errors.

    Raises:
        InputError: A field is missing, unknown or invalid.
    """
    check(fields, _validator, source)
    return NodeSettings(fill_defaults(fields, SETTINGS_SCHEMA))


def load_node_settings(path: str) -> NodeSettings:
    """Load a settings file, check it and fill in defaults.

    Raises:
        InputError: The file cannot be read, or a field is missing, unknown or invalid.
    """
    return build_node_settings(read_file(path), path)


def generate_secret() -> str:
    """Return a new fleet secret: 256 random bits in hex."""
    return secrets.token_hex(32)


def change_port(address: str, port: int) -> str:
    """Return the address with its port replaced.

    >>> change_port("127.0.0.1:0", 4242)
    '127.0.0.1:4242'
    """
    host, _ = parse_address(address)
    return join_address(host, port)

"""Settings of one node process."""

import secrets
from typing import Any

from ..addresses import join_address, parse_address
from .reader import build_validator, check, fill_defaults, read_file

ADDRESS = {"type": "string", "format": "address"}
NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"}
LOOPBACK_ANY_PORT = "127.0.0.1:0"


def _seconds(default: float, description: str) -> dict[str, Any]:
    return {
        "type": "number",
        "exclusiveMinimum": 0,
        "default": default,
        "unit": "s",
        "description": description,
    }


def _count(default: int, unit: str, description: str) -> dict[str, Any]:
    return {
        "type": "integer",
        "minimum": 1,
        "default": default,
        "unit": unit,
        "description": description,
    }


def _listener(description: str) -> dict[str, Any]:
    return ADDRESS | {"default": LOOPBACK_ANY_PORT, "description": description}


def _group(description: str, **properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "default": {},
        "description": description,
        "properties": properties,
    }


SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["instance", "zone", "platform", "fleet_secret"],
    "properties": {
        "instance": NAME
        | {"description": "Name of this instance, unique in the fleet; never reused."},
        "zone": NAME | {"description": "Availability zone that this instance is in."},
        "platform": ADDRESS | {"description": "IP:PORT of the platform's log service."},
        "fleet_secret": {
            "type": "string",
            "minLength": 32,
            "description": "Secret shared by the fleet's nodes, 32 characters or more.",
        },
        "seeds": {
            "type": "array",
            "items": ADDRESS,
            "default": [],
            "description": "Control addresses of nodes to ask first at the start.",
        },
        "operator_token": {
            "type": "string",
            "minLength": 16,
            "description": "Bearer token that the operator address asks for.",
        },
        "listen": _group(
            "Addresses to listen on, each IP:PORT; port 0 lets the kernel choose.",
            callers=_listener("Callers' HTTP."),
            relay=_listener("Calls relayed by other nodes, HTTP."),
            control=_listener("Control messages of other nodes, gRPC."),
            backend=_listener(
                "The backend server beside this node, HTTP: announcements and nested "
                "calls. Keep it on loopback."
            ),
            operator=_listener("Metrics, traces and the node's view, HTTP."),
        ),
        "limits": _group(
            "Bounds on memory and connections.",
            body_buffer=_count(
                65536, "bytes", "Bodies up to this size are held whole, larger stream."
            ),
            body=_count(1 << 30, "bytes", "Largest body of a call."),
            header=_count(32768, "bytes", "Largest request head."),
            connections=_count(
                100, "connections", "To the own backend server, unless it announces."
            ),
            peer_connections=_count(64, "connections", "To each other node's relay."),
            slots=_count(
                4, "calls", "First concurrency limit where no slots are announced."
            ),
            queue=_count(200, "calls", "Waiting calls at the most."),
        ),
        "timeouts": _group(
            "Bounds on time.",
            call=_seconds(10.0, "Deadline of a call that brings none."),
            connect=_seconds(1.0, "To open a connection."),
            silence=_seconds(
                2.0, "Without a first byte before a connection is probed as silent."
            ),
            queue=_seconds(0.25, "Longest wait in the admission queue."),
            drain=_seconds(
                30.0, "Longest wait at a stop for calls in flight to finish."
            ),
            lame_duck=_seconds(
                2.0, "At a stop, after all were told and before listeners close."
            ),
        ),
        "retries": _group(
            "Bounds on repeated attempts.",
            tokens=_count(6, "attempts", "Retries that one root call may cost in all."),
            share=_seconds(0.1, "Retries at this node, per first attempt.")
            | {"unit": "1"},
        ),
        "fleet": _group(
            "Control traffic among nodes.",
            period=_seconds(1.0, "Between two exchanges with other nodes."),
            suspicion=_seconds(3.0, "A silent member is suspect before it is dead."),
            readers=_count(
                3, "nodes", "Nodes of a zone that follow the log; others ask peers."
            ),
            lease=_seconds(3.0, "Life of a rate holder's lease."),
            grant=_seconds(1.0, "Life of granted rate tokens."),
            renewal=_seconds(3600.0, "Between two entries in the membership stream."),
            discovery=_seconds(
                120.0, "Between two looks into the membership stream for others."
            ),
            snapshot=_seconds(3600.0, "Between two snapshots of the configuration."),
        ),
        "log": _group(
            "What the process logs.",
            format={
                "enum": ["text", "json"],
                "default": "text",
                "description": "Lines for people or JSON lines.",
            },
            level={
                "enum": ["debug", "info", "warning", "error"],
                "default": "info",
                "description": "Least level that is written.",
            },
        ),
        "traces": _group(
            "Spans, one a hop, W3C trace context in and out.",
            sampled={
                "type": "number",
                "minimum": 0,
                "maximum": 1,
                "default": 0.01,
                "unit": "1",
                "description": "Share of root calls traced where the caller is silent.",
            },
            kept=_count(2000, "spans", "Last spans kept for the operator address."),
        ),
    },
}

_validator = build_validator(SCHEMA)


class SettingsGroup:
    """One group of settings, with a field for each name in ``__slots__``."""

    __slots__ = ()

    def __init__(self, **fields: Any):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Listeners(SettingsGroup):
    """Addresses to listen on, ``IP:PORT``."""

    __slots__ = ("backend", "callers", "control", "operator", "relay")


class Limits(SettingsGroup):
    """Bounds on memory (bytes), connections and calls."""

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
    """Bounds on time, in seconds."""

    __slots__ = ("call", "connect", "drain", "lame_duck", "queue", "silence")


class Retries(SettingsGroup):
    """Bounds on repeated attempts."""

    __slots__ = ("share", "tokens")


class Fleet(SettingsGroup):
    """Periods of control traffic in seconds, and the number of log readers."""

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
    """Format and least level of the process's log."""

    __slots__ = ("format", "level")


class Traces(SettingsGroup):
    """Sampling and storage of spans."""

    __slots__ = ("kept", "sampled")


class NodeSettings:
    """Everything that one node process is told; see ``docs/SETTINGS.md``."""

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
        fields: The parsed JSON.
        source: Its name in errors.

    Raises:
        InputError: A field is missing, unknown or wrong.
    """
    check(fields, _validator, source)
    return NodeSettings(fill_defaults(fields, SCHEMA))


def load_node_settings(path: str) -> NodeSettings:
    """Read, check and complete a settings file.

    Raises:
        InputError: The file cannot be read or does not say what it must.
    """
    return build_node_settings(read_file(path), path)


def generate_secret() -> str:
    """Return a new fleet secret of 256 random bits."""
    return secrets.token_hex(32)


def change_port(address: str, port: int) -> str:
    """Return the address with the port that the kernel chose.

    >>> change_port("127.0.0.1:0", 4242)
    '127.0.0.1:4242'
    """
    host, _ = parse_address(address)
    return join_address(host, port)

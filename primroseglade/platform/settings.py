"""The settings file that the platform writes for each process."""

import json
import pathlib

from ..errors import InputError
from ..sidecar.node_settings import (
    DEFAULT_MAX_ENDED_SERVERS,
    DEFAULT_REQUEST_BLOCK_SECONDS,
    NodeSettings,
)
from .values import Fields

MAX_ENDED_SERVERS_RANGE = (1, 100)
REQUEST_BLOCK_SECONDS_RANGE = (1.0, 86_400.0)
# Settings that the platform does not state itself: path, default, unit and meaning.
OPTIONAL_SETTINGS = (
    (
        "/bounds/max_ended_servers",
        DEFAULT_MAX_ENDED_SERVERS,
        "backend servers",
        "Backend servers that may end under one request before it is blocked, from "
        "{} to {}.".format(*MAX_ENDED_SERVERS_RANGE),
    ),
    (
        "/bounds/request_block",
        f"{DEFAULT_REQUEST_BLOCK_SECONDS:g}s",
        "",
        "Duration of the block, from {:g}s to {:g}s; ends count for twice as "
        "long.".format(*REQUEST_BLOCK_SECONDS_RANGE),
    ),
)


class PlatformSettings:
    """The decoded settings file.

    Args:
        node: The node's settings.
        store: Address of the platform's store, ``IP:PORT``.
    """

    __slots__ = ("node", "store")

    def __init__(self, node: NodeSettings, store: str):
        self.node = node
        self.store = store


def load_settings(path: str) -> PlatformSettings:
    """Read and decode the settings file.

    Raises:
        InputError: The file cannot be read, or a field is missing or invalid.
    """
    try:
        value = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InputError(path, "", f"cannot be read: {error}") from error
    return decode_settings(Fields(value, path))


def _decode_zones(fields: Fields) -> dict[str, str]:
    """Return the region of each zone; only the node's own zone if none is listed."""
    zone = fields.get_string("zone")
    if not fields.has("zones"):
        return {zone: fields.get_string("region", "")}
    return fields.get_object("zones").get_strings()


def _check_range(
    name: str, value: float, allowed: tuple[float, float], unit: str = ""
) -> None:
    """Check the value of one of the bounds.

    Raises:
        InputError: It is outside the allowed range.
    """
    lowest, highest = allowed
    if not lowest <= value <= highest:
        expected = f"must be from {lowest:g}{unit} to {highest:g}{unit}"
        raise InputError("settings/bounds", name, f"is {value:g}{unit}, {expected}")


def decode_settings(fields: Fields) -> PlatformSettings:
    """Return the settings from the file's JSON object.

    Raises:
        InputError: A field is missing or invalid.
    """
    listen = fields.get_object("listen")
    bounds = fields.get_object("bounds")
    ports = fields.get_list("internal_ports")
    if not ports or not all(isinstance(port, int) for port in ports):
        raise InputError("settings", "internal_ports", "must list at least one port")
    host = fields.get_string("ip")
    max_ended_servers = bounds.get_integer(
        "max_ended_servers", DEFAULT_MAX_ENDED_SERVERS
    )
    _check_range("max_ended_servers", max_ended_servers, MAX_ENDED_SERVERS_RANGE)
    request_block = bounds.get_seconds("request_block", DEFAULT_REQUEST_BLOCK_SECONDS)
    _check_range("request_block", request_block, REQUEST_BLOCK_SECONDS_RANGE, "s")
    node = NodeSettings(
        name=fields.get_string("node_name"),
        zone=fields.get_string("zone"),
        zones=_decode_zones(fields),
        service=fields.get_string("service"),
        backend=fields.get_string("app_addr"),
        host=host,
        outbound=listen.get_string("outbound"),
        ready=listen.get_string("ready"),
        control=listen.get_string("control"),
        peers=f"{host}:{ports[0]}",
        metrics=f"{host}:{ports[0] + 1}",
        first_start=fields.get_boolean("first_start"),
        grace=bounds.get_seconds("grace", 6.0),
        revoke=bounds.get_seconds("revoke", 5.0),
        config_apply=bounds.get_seconds("config_apply", 2.0),
        retry_ratio=bounds.get_number("retry_budget_ratio", 0.2),
        retry_fixed=bounds.get_number("budget_min_retries", 50),
        retry_window=bounds.get_seconds("budget_window", 10.0),
        quota_overshoot=bounds.get_number("quota_overshoot", 0.0),
        quota_slack=bounds.get_number("quota_slack", 0.0),
        quota_window=bounds.get_seconds("quota_window", 5.0),
        cold_overshoot=bounds.get_number("cold_overshoot", 1.0),
        max_ended_servers=max_ended_servers,
        request_block=request_block,
    )
    return PlatformSettings(node, fields.get_object("platform").get_string("address"))

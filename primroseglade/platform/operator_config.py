"""The operator's configuration, as the store's newest record of it says."""

import json
from typing import Any

from ..errors import InputError
from ..sidecar.model import (
    CallerLimits,
    LOWEST_PRIORITY,
    Policy,
    Route,
    RouteKind,
    Tenant,
    WeightedService,
)
from .values import Fields

SOURCE = "configuration"
DEFAULT_TIMEOUT_SECONDS = 10.0


def decode_policy(record: bytes) -> Policy:
    """Return a record's meaning.

    Raises:
        InputError: It is no configuration.
    """
    try:
        value = json.loads(record)
    except ValueError as error:
        raise InputError(SOURCE, "", f"is not JSON: {error}") from error
    fields = Fields(value, SOURCE)
    return Policy(
        fields.get_whole("version"),
        _decode_routes(fields),
        _decode_tenants(fields) if fields.has("tenants") else None,
        _decode_limits(fields),
    )


def _decode_limits(fields: Fields) -> CallerLimits:
    limits = CallerLimits()
    if not fields.has("limits"):
        return limits
    told = fields.get_object("limits")
    return CallerLimits(
        told.get_whole("max_header_bytes", limits.header_bytes),
        told.get_whole("max_body_bytes", limits.body_bytes),
        told.get_seconds("header_timeout", limits.head_timeout),
        told.get_seconds("idle_timeout", limits.idle_timeout),
    )


def _decode_tenants(fields: Fields) -> dict[bytes, Tenant]:
    tenants: dict[bytes, Tenant] = {}
    for item in fields.get_list("tenants"):
        told = Fields(item, f"{SOURCE}/tenants")
        priority = told.get_whole("priority") if told.has("priority") else None
        tenant = Tenant(
            told.get_text("name"),
            priority,
            told.get_number("rate_per_s", 0),
            told.get_number("burst", 0),
        )
        for key in told.get_list("api_keys"):
            if not isinstance(key, str):
                raise InputError(SOURCE, "tenants/api_keys", "a key is no text")
            tenants[key.encode()] = tenant
    return tenants


def _decode_routes(fields: Fields) -> list[Route]:
    routes = []
    for item in fields.get_list("virtual_hosts"):
        host = Fields(item, f"{SOURCE}/virtual_hosts")
        name = host.get_text("host")
        routes += [_decode_route(name, path) for path in host.get_list("paths")]
    return routes


def _decode_route(host: str, value: Any) -> Route:
    fields = Fields(value, f"{SOURCE}/paths")
    # Uploads are large and run once; a kind that is not known here is taken to be
    # one that must not run twice.
    safe = fields.get_text("kind", "unsafe") == RouteKind.SAFE.value
    timeout = fields.get_seconds("timeout", DEFAULT_TIMEOUT_SECONDS)
    return Route(
        fields.get_text("name", ""),
        host,
        fields.get_text("path_prefix"),
        RouteKind.SAFE if safe else RouteKind.UNSAFE,
        _decode_split(fields),
        timeout,
        fields.get_seconds("target_latency", timeout),
        fields.get_whole("priority", LOWEST_PRIORITY),
        fields.get_whole("max_attempts", 1),
        fields.get_flag("public"),
    )


def _decode_split(fields: Fields) -> list[WeightedService]:
    if not fields.has("traffic_split"):
        return [WeightedService(fields.get_text("service"), 1.0)]
    split = []
    for item in fields.get_list("traffic_split"):
        part = Fields(item, f"{SOURCE}/traffic_split")
        weight = part.get_number("weight")
        if weight > 0:
            split.append(WeightedService(part.get_text("service"), weight))
    if not split:
        raise InputError(SOURCE, "traffic_split", "has no part with a weight")
    return split

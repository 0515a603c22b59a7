"""Decoding of the operator's configuration, a JSON record in the platform's store."""

import json
from typing import Any

from ..errors import InputError
from ..sidecar.model import (
    CallerLimits,
    LOWEST_PRIORITY,
    Policy,
    Route,
    RouteKind,
    ServiceOptions,
    Tenant,
    WeightedService,
)
from ..sidecar.warm_up import WarmUpLimits
from .values import Fields

ERROR_SOURCE = "configuration"
DEFAULT_TIMEOUT_SECONDS = 10.0
# Warm-ups that an operator states as longer are taken for an error.
MAX_WARM_UP_SECONDS = 600.0


def decode_policy(record: bytes) -> Policy:
    """Decode a configuration record.

    Raises:
        InputError: The record is not a valid configuration.
    """
    try:
        value = json.loads(record)
    except ValueError as error:
        raise InputError(ERROR_SOURCE, "", f"is not JSON: {error}") from error
    fields = Fields(value, ERROR_SOURCE)
    invalid_services: dict[str, str] = {}
    return Policy(
        fields.get_integer("version"),
        _decode_routes(fields),
        _decode_tenants(fields) if fields.has("tenants") else None,
        _decode_limits(fields),
        _decode_services(fields, invalid_services),
        invalid_services,
    )


def _decode_services(
    fields: Fields, invalid_services: dict[str, str]
) -> dict[str, ServiceOptions]:
    """Return the options of services by name; leave out services with invalid ones.

    Args:
        fields: The configuration.
        invalid_services: Receives the services that were left out, and the reasons.
    """
    services = {}
    for item in fields.get_list("services"):
        service_fields = Fields(item, f"{ERROR_SOURCE}/services")
        name = service_fields.get_string("name")
        try:
            warm_up = _decode_warm_up(service_fields)
        except InputError as error:
            invalid_services[name] = str(error)
            continue
        health_path = service_fields.get_string("health_path", "")
        services[name] = ServiceOptions(name, health_path, warm_up)
    return services


def _decode_warm_up(fields: Fields) -> WarmUpLimits | None:
    if not fields.has("cold_per_s"):
        return None
    calls_per_second = fields.get_number("cold_per_s")
    if calls_per_second <= 0:
        detail = f"{calls_per_second:g} is not above 0"
        raise InputError(ERROR_SOURCE, "cold_per_s", detail)
    max_seconds = fields.get_seconds("cold_start")
    if not 0 < max_seconds <= MAX_WARM_UP_SECONDS:
        detail = f"{max_seconds:g} s is not between 0 and {MAX_WARM_UP_SECONDS:g} s"
        raise InputError(ERROR_SOURCE, "cold_start", detail)
    return WarmUpLimits(calls_per_second, max_seconds)


def _decode_limits(fields: Fields) -> CallerLimits:
    limits = CallerLimits()
    if not fields.has("limits"):
        return limits
    limit_fields = fields.get_object("limits")
    return CallerLimits(
        limit_fields.get_integer("max_header_bytes", limits.max_header_bytes),
        limit_fields.get_integer("max_body_bytes", limits.max_body_bytes),
        limit_fields.get_seconds("header_timeout", limits.head_timeout),
        limit_fields.get_seconds("idle_timeout", limits.idle_timeout),
    )


def _decode_tenants(fields: Fields) -> dict[bytes, Tenant]:
    tenants: dict[bytes, Tenant] = {}
    for item in fields.get_list("tenants"):
        tenant_fields = Fields(item, f"{ERROR_SOURCE}/tenants")
        priority = (
            tenant_fields.get_integer("priority")
            if tenant_fields.has("priority")
            else None
        )
        tenant = Tenant(
            tenant_fields.get_string("name"),
            priority,
            tenant_fields.get_number("rate_per_s", 0),
            tenant_fields.get_number("burst", 0),
            _decode_regions(tenant_fields),
        )
        for key in tenant_fields.get_list("api_keys"):
            if not isinstance(key, str):
                raise InputError(
                    ERROR_SOURCE, "tenants/api_keys", "must be a list of strings"
                )
            tenants[key.encode()] = tenant
    return tenants


def _decode_routes(fields: Fields) -> list[Route]:
    routes = []
    for item in fields.get_list("virtual_hosts"):
        host_fields = Fields(item, f"{ERROR_SOURCE}/virtual_hosts")
        host = host_fields.get_string("host")
        routes += [_decode_route(host, path) for path in host_fields.get_list("paths")]
    return routes


def _decode_route(host: str, value: Any) -> Route:
    fields = Fields(value, f"{ERROR_SOURCE}/paths")
    # Every kind but "safe" counts as unsafe, also one that this version does not know,
    # such as uploads: its calls run at most once.
    safe = fields.get_string("kind", "unsafe") == RouteKind.SAFE.value
    timeout = fields.get_seconds("timeout", DEFAULT_TIMEOUT_SECONDS)
    return Route(
        fields.get_string("name", ""),
        host,
        fields.get_string("path_prefix"),
        RouteKind.SAFE if safe else RouteKind.UNSAFE,
        _decode_split(fields),
        timeout,
        fields.get_seconds("target_latency", timeout),
        fields.get_integer("priority", LOWEST_PRIORITY),
        fields.get_integer("max_attempts", 1),
        fields.get_boolean("public"),
        _decode_regions(fields),
    )


def _decode_regions(fields: Fields) -> frozenset[str]:
    regions = fields.get_list("allowed_regions")
    if not all(isinstance(region, str) for region in regions):
        detail = "must be a list of strings"
        raise InputError(ERROR_SOURCE, "allowed_regions", detail)
    return frozenset(regions)


def _decode_split(fields: Fields) -> list[WeightedService]:
    if not fields.has("traffic_split"):
        return [WeightedService(fields.get_string("service"), 1.0)]
    split = []
    for item in fields.get_list("traffic_split"):
        part_fields = Fields(item, f"{ERROR_SOURCE}/traffic_split")
        weight = part_fields.get_number("weight")
        if weight > 0:
            split.append(WeightedService(part_fields.get_string("service"), weight))
    if not split:
        raise InputError(
            ERROR_SOURCE, "traffic_split", "has no service with a weight above 0"
        )
    return split

"""Data model of the sidecar: configuration, backend reports and node states."""

import enum

import msgspec

from .ended_servers import ClearedRequest, EndedServer
from .warm_up import WarmUpLimits

# The least urgent priority, used for routes that specify none. 0 is the most urgent.
LOWEST_PRIORITY = 9


class RouteKind(enum.Enum):
    """Whether calls of a route may run more than once.

    Calls of a ``SAFE`` route may: they are idempotent.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"


class WeightedService:
    """One of the services that share a route's calls in proportion to their weights."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: float):
        self.name = name
        self.weight = weight


class Route:
    """A route: the calls to one host under one path prefix.

    Args:
        name: Name in the operator's configuration.
        host: Host that callers name in the request.
        prefix: Path prefix, with a slash at both ends.
        kind: Whether a call may run more than once.
        services: Services that share the calls, by weight.
        timeout: Maximum duration of a call, in seconds.
        target_latency: Latency target in seconds; a later answer is worth less to the
            caller.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of backend servers that one call is sent to.
        public: Whether calls need no API key.
        regions: Regions in which calls may run; empty for all.
    """

    __slots__ = (
        "host",
        "kind",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "public",
        "regions",
        "services",
        "target_latency",
        "timeout",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        services: list[WeightedService],
        timeout: float,
        target_latency: float,
        priority: int,
        max_attempts: int,
        public: bool,
        regions: frozenset[str] = frozenset(),
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.services = services
        self.timeout = timeout
        self.target_latency = target_latency
        self.priority = priority
        self.max_attempts = max_attempts
        self.public = public
        self.regions = regions

    @property
    def idempotent(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is RouteKind.SAFE

    @property
    def latency_tolerance(self) -> float:
        """Latency in seconds up to which an answer usually keeps its full value."""
        return min(self.target_latency, self.timeout / 2)


class Tenant:
    """A tenant, that is, a workspace that holds API keys.

    Args:
        name: Its name, which is sent to backend servers.
        priority: Priority of its calls, compared before the route's; None if not set.
        rate: Calls per second over the whole fleet; 0 for no limit.
        burst: Capacity of its token bucket, in calls.
        regions: Regions in which its calls may run; empty for all.
    """

    __slots__ = ("burst", "name", "priority", "rate", "regions")

    def __init__(
        self,
        name: str,
        priority: int | None,
        rate: float,
        burst: float,
        regions: frozenset[str] = frozenset(),
    ):
        self.name = name
        self.priority = priority
        self.rate = rate
        self.burst = burst
        self.regions = regions

    def has_higher_rate_than(self, other: "Tenant") -> bool:
        """Return whether the rate limit is higher than in another version.

        Both are versions of one workspace, from different policies. A rate of 0 means
        no limit, which is higher than any limit.
        """
        if self.rate <= 0 or other.rate <= 0:
            return self.rate <= 0 < other.rate
        return self.rate > other.rate


def rank_request(route: Route, tenant: Tenant | None) -> int:
    """Return a request's rank; 0 is the most urgent.

    The workspace's priority takes precedence; the route's priority orders the requests
    of workspaces with equal priority.
    """
    primary_priority = route.priority
    if tenant is not None and tenant.priority is not None:
        primary_priority = tenant.priority
    return primary_priority * (LOWEST_PRIORITY + 1) + min(
        route.priority, LOWEST_PRIORITY
    )


class CallerLimits:
    """Limits on what a caller may send; timeouts in seconds."""

    __slots__ = ("head_timeout", "idle_timeout", "max_body_bytes", "max_header_bytes")

    def __init__(
        self,
        max_header_bytes: int = 16 * 1024,
        max_body_bytes: int = 64 * 1024 * 1024,
        head_timeout: float = 3.0,
        idle_timeout: float = 15.0,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class ServiceOptions:
    """The operator's options of a service that concern its backend servers.

    Args:
        name: Name of the service.
        health_path: Path of health checks; empty if there is none.
        warm_up: Limits on calls to cold backend servers; None if there are none.
    """

    __slots__ = ("health_path", "name", "warm_up")

    def __init__(
        self, name: str, health_path: str = "", warm_up: WarmUpLimits | None = None
    ):
        self.name = name
        self.health_path = health_path
        self.warm_up = warm_up


class Policy:
    """A policy: one decoded version of the operator's configuration.

    Args:
        version: Version number; higher in newer versions.
        routes: All routes.
        tenants: Workspaces by API key; None if no call needs a key.
        limits: Limits on what callers may send.
        services: Options of services by name.
        invalid_services: Services with invalid options, and what is wrong with these.
    """

    __slots__ = (
        "invalid_services",
        "limits",
        "routes",
        "services",
        "tenants",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        tenants: dict[bytes, Tenant] | None,
        limits: CallerLimits,
        services: dict[str, ServiceOptions],
        invalid_services: dict[str, str],
    ):
        self.version = version
        self.routes = routes
        self.tenants = tenants
        self.limits = limits
        self.services = services
        self.invalid_services = invalid_services


class BackendState(enum.Enum):
    """State that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


class StatusReport:
    """A status report that a backend server sends to its node.

    Args:
        instance: Id of the backend server, usually a new one after each start.
        service: Service that the backend server provides.
        address: Address on which the backend server listens.
        slots: Maximum number of calls that the backend server processes concurrently.
        state: Whether the backend server accepts calls.
        cold_remaining_seconds: Remaining time of the warm-up, during which the backend
            server is slow.
        sequence: Sequence number, which increases with each report until the backend
            server restarts.
        start_time_ms: Unix time of the backend server's start, in milliseconds; 0 if
            not reported.
    """

    __slots__ = (
        "address",
        "cold_remaining_seconds",
        "instance",
        "sequence",
        "service",
        "slots",
        "start_time_ms",
        "state",
    )

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        slots: int,
        state: BackendState,
        cold_remaining_seconds: float,
        sequence: int,
        start_time_ms: int,
    ):
        self.instance = instance
        self.service = service
        self.address = address
        self.slots = slots
        self.state = state
        self.cold_remaining_seconds = cold_remaining_seconds
        self.sequence = sequence
        self.start_time_ms = start_time_ms


class NodeEntry(msgspec.Struct, array_like=True, frozen=True):
    """Address and location of a node, as kept in the platform's store.

    Attributes:
        name: Unique name of the node, kept when its process restarts.
        address: ``IP:PORT`` on which the node listens for other nodes.
        zone: Availability zone of the node.
        service: Service of the backend server beside the node.
        start_time_ms: Unix time of the start of the node's process, in milliseconds.
    """

    name: str
    address: str
    zone: str
    service: str
    start_time_ms: int

    def equals_except_start_time(self, other: "NodeEntry") -> bool:
        """Return whether another entry is equal, apart from the start time.

        >>> entry = NodeEntry("n-1", "127.0.0.1:1", "a", "deep", 2)
        >>> entry.equals_except_start_time(
        ...     NodeEntry("n-1", "127.0.0.1:1", "a", "deep", 1)
        ... )
        True
        >>> entry.equals_except_start_time(
        ...     NodeEntry("n-1", "127.0.0.1:2", "a", "deep", 1)
        ... )
        False
        """
        return (self.name, self.address, self.zone, self.service) == (
            other.name,
            other.address,
            other.zone,
            other.service,
        )


class NodeState(msgspec.Struct, array_like=True):
    """State that a node broadcasts, in full on a new stream and then as updates.

    Attributes:
        instance: Id of the backend server; empty while none is usable.
        slots: Maximum number of calls that the backend server processes concurrently.
        in_flight: Calls running and queued at the backend server, averaged over the
            last tick of the periodic scheduler.
        service_ms: Typical service time of a call, in milliseconds.
        failure_ratio: Recent fraction of calls that failed at the backend server.
        policy_version: Version of the configuration in force.
        downstream_calls: Call ratios of the backend server: calls made per call served,
            by the route of the served call and the route of the calls made. The average
            over all calls served is under ``""``. None if the update leaves the
            ratios out; those last sent then still apply.
        is_full: Whether this is the full state, sent first on each stream. It replaces
            the known state whatever its sequence number, as the number may be lower
            after a restart of the node.
        sequence: Sequence number, which increases with each update, so that an older
            state delivered late by a relay is discarded.
        demand: Calls per second caused by requests of callers, admitted or not, by
            service.
        slot_ms: Typical time for which a call holds a slot, in milliseconds.
        start_rate: Calls per second that may start at the backend server while it is
            cold; 0 if starts are not limited.
        cold_ms: Milliseconds for which the backend server stays cold.
        evacuated_zones: Availability zones that the operator has evacuated.
        operator_offset: Offset up to which ``evacuated_zones`` includes the operator's
            records in the platform's store.
        request_limit: Requests per second that the backend server states that it takes
            from all nodes together; 0 for no limit.
        probe_due: Whether a call is needed to show if that limit is still in force.
        start_time_ms: Unix time of the backend server's start, in milliseconds; 0 if
            not reported.
        blocked: Calls running at the backend server that wait for calls of their own.
        slowdown_percent: How long work takes at the backend server at this moment, in
            percent of the average, as it states itself.
        work_ms: Typical part of ``slot_ms`` for which the backend server works on a
            call, and does not wait for calls of its own; 0 if not measured, or if it
            makes none.
        ended_servers: Backend servers that ended while they ran calls, as recorded by
            the node in the last seconds; all that it knows in a full state.
        cleared_requests: Requests that are not to blame for ends, in the same way.
    """

    instance: str = ""
    slots: int = 0
    in_flight: float = 0.0
    service_ms: float = 0.0
    failure_ratio: float = 0.0
    policy_version: int = 0
    downstream_calls: dict[str, dict[str, float]] | None = None
    is_full: bool = False
    sequence: int = 0
    demand: dict[str, float] = {}
    slot_ms: float = 0.0
    start_rate: float = 0.0
    cold_ms: int = 0
    evacuated_zones: tuple[str, ...] = ()
    operator_offset: int = 0
    request_limit: float = 0.0
    probe_due: bool = False
    start_time_ms: int = 0
    blocked: int = 0
    slowdown_percent: int = 100
    work_ms: float = 0.0
    ended_servers: tuple[EndedServer, ...] = ()
    cleared_requests: tuple[ClearedRequest, ...] = ()

    def copy(self) -> "NodeState":
        """Return a shallow copy, to be modified independently."""
        return msgspec.structs.replace(self)

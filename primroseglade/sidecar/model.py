"""What a node believes: the configuration in force, backend servers, other nodes."""

import enum

import msgspec

# Calls with no priority of their own stand behind all that have one.
LOWEST_PRIORITY = 9


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"


class WeightedService:
    """A service that takes a share of a route's calls."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: float):
        self.name = name
        self.weight = weight


class Route:
    """Calls of one host under one path prefix.

    Args:
        name: The operator's name for it.
        host: Host that callers name.
        prefix: Path prefix, with a slash at both ends.
        kind: Whether a call may run more than once.
        services: Who serves it, by weight.
        timeout: Seconds a call may take at the most.
        target_latency: Seconds within which an answer has its full use.
        priority: Rank; 0 is the most urgent.
        max_attempts: Backend servers that one call may be sent to.
        public: Whether calls need no key.
    """

    __slots__ = (
        "host",
        "kind",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "public",
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

    @property
    def idempotent(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is RouteKind.SAFE

    @property
    def latency_tolerance(self) -> float:
        """Seconds that an answer may usually take without loss to its caller."""
        return min(self.target_latency, self.timeout / 2)


class Tenant:
    """A workspace that holds keys.

    Args:
        name: Its name, told to backend servers.
        priority: Rank of its calls, before the route's; None if it has none.
        rate: Calls a second over the whole fleet; 0 for no limit.
        burst: Calls that it may have saved up.
    """

    __slots__ = ("burst", "name", "priority", "rate")

    def __init__(self, name: str, priority: int | None, rate: float, burst: float):
        self.name = name
        self.priority = priority
        self.rate = rate
        self.burst = burst

    def is_higher_than(self, other: "Tenant") -> bool:
        """Whether these limits are higher than those of another version."""
        if self.rate <= 0 or other.rate <= 0:
            return self.rate <= 0 < other.rate
        return self.rate > other.rate


def rank_request(route: Route, tenant: Tenant | None) -> int:
    """Return a request's rank, 0 the most urgent.

    The workspace's priority goes before the route's; among requests of workspaces
    of one priority the route's decides.
    """
    primary = route.priority
    if tenant is not None and tenant.priority is not None:
        primary = tenant.priority
    return primary * (LOWEST_PRIORITY + 1) + min(route.priority, LOWEST_PRIORITY)


class CallerLimits:
    """Bounds on what a caller may send; times in seconds."""

    __slots__ = ("body_bytes", "head_timeout", "header_bytes", "idle_timeout")

    def __init__(
        self,
        header_bytes: int = 16 * 1024,
        body_bytes: int = 64 * 1024 * 1024,
        head_timeout: float = 3.0,
        idle_timeout: float = 15.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout


class Policy:
    """One version of the operator's configuration, decoded.

    Args:
        version: Grows with each version.
        routes: All routes.
        tenants: Of each key; None where calls need no keys at all.
        limits: On callers.
    """

    __slots__ = ("limits", "routes", "tenants", "version")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        tenants: dict[bytes, Tenant] | None,
        limits: CallerLimits,
    ):
        self.version = version
        self.routes = routes
        self.tenants = tenants
        self.limits = limits


class BackendState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class StatusReport:
    """What a backend server tells the node beside it.

    Args:
        instance: Its id, mostly new with each start.
        service: What it serves.
        address: Where it listens.
        slots: Calls that it works on at once.
        state: Whether it takes work.
        cold_remaining: Seconds for which it is still slow after its start.
        demand: Calls a second that requests of its callers lead to, admitted or not,
            by service.
        sequence: Grows with each report of one lifetime.
        start_time_ms: Unix milliseconds of its start; 0 where it does not say.
    """

    __slots__ = (
        "address",
        "cold_remaining",
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
        cold_remaining: float,
        sequence: int,
        start_time_ms: int,
    ):
        self.instance = instance
        self.service = service
        self.address = address
        self.slots = slots
        self.state = state
        self.cold_remaining = cold_remaining
        self.sequence = sequence
        self.start_time_ms = start_time_ms


class NodeEntry(msgspec.Struct, array_like=True, frozen=True):
    """How a node is found by the others; kept in the platform's store."""

    name: str
    address: str
    zone: str
    service: str
    started: int

    def has_same_location(self, other: "NodeEntry") -> bool:
        """Whether another entry leads to this node, if perhaps to an earlier process.

        >>> entry = NodeEntry("n-1", "127.0.0.1:1", "a", "deep", 2)
        >>> entry.has_same_location(NodeEntry("n-1", "127.0.0.1:1", "a", "deep", 1))
        True
        >>> entry.has_same_location(NodeEntry("n-1", "127.0.0.1:2", "a", "deep", 1))
        False
        """
        return (self.name, self.address, self.zone, self.service) == (
            other.name,
            other.address,
            other.zone,
            other.service,
        )


class NodeState(msgspec.Struct, array_like=True):
    """What a node tells the others about itself, first whole and then as it changes.

    Attributes:
        instance: The backend server's id; empty while there is none to use.
        slots: Calls that it works on at once.
        in_flight: Calls at work and waiting there, averaged over a heartbeat.
        service_ms: Usual milliseconds of work of a call.
        slot_ms: Usual milliseconds for which it holds one of the slots.
        failure_ratio: Share of calls that failed there lately.
        policy_version: Version of the configuration in force.
        downstream_calls: Calls for each run, by the run's route and the calls' route;
            the average over all runs under ``""``; None for as told before.
        is_full: Whether it is the first on a stream; a node that was started again
            begins with a lower sequence.
        sequence: Grows with each state that changes another; by it one that was
            handed on by a slow neighbour is told from a newer one.
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

    def copy(self) -> "NodeState":
        """Return a state that can be added to."""
        return msgspec.structs.replace(self)

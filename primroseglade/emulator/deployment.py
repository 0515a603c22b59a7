"""Description of an emulated deployment: services, routes, and callers' demand."""

from collections.abc import Callable


class EmulatedService:
    """A service and the backend servers that provide it.

    Args:
        name: Name of the service.
        zones: Availability zone of each backend server.
        slots: Calls that one backend server runs concurrently.
        queue: Further calls that it queues before it refuses any.
        speeds: Speeds of the backend servers, repeated as needed; 1 is the speed for
            which the work of routes is stated.
        knee: Fraction of the slots above which it slows down; 0 for never.
        knee_slowdown: Factor by which runs that start above the knee take longer.
        cold_calls_per_second: Calls per second that it tolerates while it is cold; 0 if
            it tolerates any number.
        warm_up_seconds: Seconds for which it is cold after a start.
        cold_slowdown: Factor by which runs take longer while it is cold.
    """

    __slots__ = (
        "cold_calls_per_second",
        "cold_slowdown",
        "knee",
        "knee_slowdown",
        "name",
        "queue",
        "slots",
        "speeds",
        "warm_up_seconds",
        "zones",
    )

    def __init__(
        self,
        name: str,
        zones: str,
        slots: int,
        queue: int,
        speeds: tuple[float, ...] = (1.0,),
        knee: float = 0.0,
        knee_slowdown: float = 1.0,
        cold_calls_per_second: float = 0.0,
        warm_up_seconds: float = 3.0,
        cold_slowdown: float = 2.0,
    ):
        self.name = name
        self.zones = zones
        self.slots = slots
        self.queue = queue
        self.speeds = speeds
        self.knee = knee
        self.knee_slowdown = knee_slowdown
        self.cold_calls_per_second = cold_calls_per_second
        self.warm_up_seconds = warm_up_seconds
        self.cold_slowdown = cold_slowdown


class DownstreamCalls:
    """Calls that each run of a route makes to another route.

    Args:
        route: Name of the called route.
        count: Number of calls.
        parallel: Whether they are made at once rather than one after the other.
    """

    __slots__ = ("count", "parallel", "route")

    def __init__(self, route: str, count: int, parallel: bool):
        self.route = route
        self.count = count
        self.parallel = parallel


class EmulatedRoute:
    """A route: its work, and what its callers expect.

    Args:
        name: Name of the route.
        service: Service that serves it.
        work_ms: Mean time of work of a run, without its downstream calls.
        spread: Standard deviation of that time, as a fraction of the mean.
        target_ms: Latency target.
        budget_ms: Time for which callers wait.
        timeout_ms: Timeout of the route.
        priority: 0 is the most urgent.
        idempotent: Whether a call may run more than once.
        value: Worth of an answer within the target; 0 for routes without callers.
        late_value: Worth of a later answer.
        downstream_calls: Calls that each run makes.
        error_ratio: Fraction of the runs that fail by themselves.
    """

    __slots__ = (
        "budget_ms",
        "downstream_calls",
        "error_ratio",
        "idempotent",
        "late_value",
        "name",
        "priority",
        "service",
        "spread",
        "target_ms",
        "timeout_ms",
        "value",
        "work_ms",
    )

    def __init__(
        self,
        name: str,
        service: str,
        work_ms: float,
        spread: float,
        target_ms: float,
        budget_ms: float,
        timeout_ms: float,
        priority: int = 1,
        idempotent: bool = True,
        value: float = 0.0,
        late_value: float = 0.0,
        downstream_calls: tuple[DownstreamCalls, ...] = (),
        error_ratio: float = 0.0,
    ):
        self.name = name
        self.service = service
        self.work_ms = work_ms
        self.spread = spread
        self.target_ms = target_ms
        self.budget_ms = budget_ms
        self.timeout_ms = timeout_ms
        self.priority = priority
        self.idempotent = idempotent
        self.value = value
        self.late_value = late_value
        self.downstream_calls = downstream_calls
        self.error_ratio = error_ratio


# Requests per second of a route at a time, over all zones.
Demand = Callable[[str, float], float]


class Deployment:
    """An emulated deployment.

    Args:
        services: All services.
        routes: All routes; those without a value are called by backend servers only.
        same_zone_delay: One-way delay between nodes of a zone, in seconds.
        cross_zone_delay: The same between zones.
        caller_delay: One-way delay between callers and nodes.
        cold_overshoot: Factor by which starts at cold backend servers may exceed the
            tolerated rate.
        retry_fixed: Retries allowed per window beside the ratio.
    """

    def __init__(
        self,
        services: list[EmulatedService],
        routes: list[EmulatedRoute],
        same_zone_delay: float = 0.0002,
        cross_zone_delay: float = 0.0015,
        caller_delay: float = 0.004,
        cold_overshoot: float = 1.5,
        retry_fixed: float = 100.0,
    ):
        self.services = {service.name: service for service in services}
        self.routes = {route.name: route for route in routes}
        self.same_zone_delay = same_zone_delay
        self.cross_zone_delay = cross_zone_delay
        self.caller_delay = caller_delay
        self.cold_overshoot = cold_overshoot
        self.retry_fixed = retry_fixed

    @property
    def zones(self) -> str:
        """The names of all zones, each one letter."""
        return "".join(
            sorted({z for service in self.services.values() for z in service.zones})
        )

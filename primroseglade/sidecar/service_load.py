"""The load of a service, from what the nodes beside its backend servers report."""

# Utilization (calls in flight, running and queued, per slot) above which a service
# counts as overloaded.
MAX_TARGET_UTILIZATION = 1.5


class _LoadSums:
    """Sums over the backend servers of a service.

    Each backend server is weighted by its throughput, slots divided by the time for
    which a call needs one. If one of five becomes twelve times slower, it counts for a
    sixtieth of the service's former capacity. Weighting by slots alone would let its
    long queue cause refusals while the other four are half idle.

    Attributes:
        queued: Calls that wait for a slot.
        weight: Sum of the weights, in calls per millisecond.
    """

    __slots__ = ("_utilization", "queued", "weight")

    def __init__(self) -> None:
        self.queued = 0.0
        self.weight = 0.0
        self._utilization = 0.0

    @property
    def utilization(self) -> float:
        """Calls in flight, running and queued, per slot."""
        return self._utilization / self.weight if self.weight else 0.0

    def add(self, in_flight: float, slots: float, call_ms: float) -> None:
        """Add a backend server at which a call needs a slot for some milliseconds."""
        self.queued += max(0.0, in_flight - slots)
        self._utilization += in_flight / call_ms
        self.weight += slots / call_ms


class ServiceLoad:
    """Aggregates the load of a service over its backend servers.

    Calls that wait for calls of their own are left out, and so is the time for which
    they wait, unless the slots that they hold are what limits the service. Otherwise
    services that call an overloaded one would count as overloaded too, and refuse
    requests that do not depend on it.
    """

    __slots__ = (
        "_cold_count",
        "_cold_rate",
        "_cold_seconds",
        "_limited_count",
        "_limited_queued",
        "_limited_rate",
        "_slots",
        "_unmeasured",
        "_warm_count",
        "_work",
    )

    def __init__(self) -> None:
        # By the time for which calls hold slots, and by that for which the backend
        # server works on them. Servers whose times are unknown have their own sums,
        # used only until the first time is known.
        self._slots = _LoadSums()
        self._work = _LoadSums()
        self._unmeasured = _LoadSums()
        self._warm_count = 0
        # Of backend servers that are cold: their number, calls per second that may
        # start there, and the sum of the seconds for which they stay cold.
        self._cold_count = 0
        self._cold_rate = 0.0
        self._cold_seconds = 0.0
        # Of backend servers that limit their requests: their number, the sum of the
        # requests per second that they take, and the calls that wait there.
        self._limited_count = 0
        self._limited_rate = 0.0
        self._limited_queued = 0.0

    @property
    def _sums(self) -> _LoadSums:
        """The sums that show what limits the service."""
        if not self._slots.weight:
            return self._unmeasured
        if self._slots.utilization > MAX_TARGET_UTILIZATION:
            return self._slots
        return self._work

    @property
    def queued(self) -> float:
        """Calls that wait for a slot, at all backend servers together."""
        return self._sums.queued + self._unmeasured.queued + self._limited_queued

    @property
    def capacity(self) -> float:
        """Estimated throughput in calls per second; 0 while no slot time is known."""
        if self._warm_count and not self._slots.weight:
            return 0.0
        weight = self._sums.weight if self._warm_count else 0.0
        return weight * 1000 + self._cold_rate + self._limited_rate

    @property
    def warm_up_seconds(self) -> float:
        """Seconds until most backend servers are warm; 0 if at least half of them are.

        This is the average of the seconds for which the cold ones stay cold.
        """
        if self._cold_count <= self._warm_count + self._limited_count:
            return 0.0
        return self._cold_seconds / self._cold_count

    @property
    def utilization(self) -> float:
        """Calls in flight, running and queued, per slot.

        If all backend servers are cold or limit their requests this is 1: starts are
        limited, and not slots.
        """
        if (self._cold_count or self._limited_count) and not self._warm_count:
            return 1.0
        return self._sums.utilization

    def add_cold(self, start_rate: float, cold_seconds: float) -> None:
        """Add a cold backend server.

        Args:
            start_rate: Calls per second that may start there.
            cold_seconds: Seconds for which it stays cold.
        """
        self._cold_count += 1
        self._cold_rate += start_rate
        self._cold_seconds += cold_seconds

    def add_limited(
        self, request_limit: float, in_flight: float, slots: float, slot_ms: float
    ) -> None:
        """Add a backend server that limits its requests.

        Args:
            request_limit: Requests per second that it takes.
            in_flight: Running and queued calls.
            slots: Calls that it can run concurrently.
            slot_ms: Average milliseconds for which a call holds a slot; 0 before the
                first call.
        """
        self._limited_count += 1
        self._limited_queued += max(0.0, in_flight - slots)
        slots_rate = slots / slot_ms * 1000 if slot_ms else request_limit
        self._limited_rate += min(request_limit, slots_rate)

    def add(
        self,
        in_flight: float,
        slots: float,
        slot_ms: float,
        blocked: float = 0.0,
        work_ms: float = 0.0,
    ) -> None:
        """Add a backend server at which starts are not limited.

        Args:
            in_flight: Running and queued calls.
            slots: Calls that the backend server can run concurrently.
            slot_ms: Average milliseconds for which a call holds a slot; 0 before the
                first call.
            blocked: Running calls that wait for calls of their own.
            work_ms: Part of ``slot_ms`` without the time for which a call waits for
                calls of its own; 0 if unknown.
        """
        self._warm_count += 1
        if not slot_ms:
            self._unmeasured.add(in_flight, slots, 1.0)
            return
        self._slots.add(in_flight, slots, slot_ms)
        working = max(0.0, in_flight - blocked)
        self._work.add(working, slots, work_ms or slot_ms)

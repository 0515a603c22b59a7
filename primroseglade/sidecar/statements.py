"""What a backend server states about itself in an answer."""


class StatedLimit:
    """A limit on requests that an answer states.

    Args:
        calls_per_second: The limit; None if the stated value is invalid.
    """

    __slots__ = ("calls_per_second",)

    def __init__(self, calls_per_second: float | None):
        self.calls_per_second = calls_per_second


class StatedLoad:
    """Load of the backend server at the time of an answer.

    Args:
        running: Requests that it runs.
        waiting: Requests that wait for a slot there.
        slots: Requests that it can run concurrently.
        work_time_ratio: How long work takes at this moment, as a multiple of the usual
            time; None if the answer does not say.
    """

    __slots__ = ("running", "slots", "waiting", "work_time_ratio")

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        work_time_ratio: float | None = None,
    ):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.work_time_ratio = work_time_ratio


class Statements:
    """Everything that an answer states about the backend server.

    Args:
        request_limit: Limit on requests; None if the answer states none.
        draining: Whether the backend server is about to stop.
        errors: What is wrong with invalid values.
        load: Load of the backend server; None if the answer states none.
    """

    __slots__ = ("draining", "errors", "load", "request_limit")

    def __init__(
        self,
        request_limit: StatedLimit | None = None,
        draining: bool = False,
        errors: tuple[str, ...] = (),
        load: StatedLoad | None = None,
    ):
        self.request_limit = request_limit
        self.draining = draining
        self.errors = errors
        self.load = load


NO_STATEMENTS = Statements()

"""What a backend server states about itself in an answer."""


class StatedLimit:
    """A limit on requests that an answer states.

    Args:
        calls_per_second: The limit; None if the stated value is invalid.
    """

    __slots__ = ("calls_per_second",)

    def __init__(self, calls_per_second: float | None):
        self.calls_per_second = calls_per_second


class Statements:
    """Everything that an answer states about the backend server.

    Args:
        request_limit: Limit on requests; None if the answer states none.
        draining: Whether the backend server is about to stop.
        errors: What is wrong with invalid values.
    """

    __slots__ = ("draining", "errors", "request_limit")

    def __init__(
        self,
        request_limit: StatedLimit | None = None,
        draining: bool = False,
        errors: tuple[str, ...] = (),
    ):
        self.request_limit = request_limit
        self.draining = draining
        self.errors = errors


NO_STATEMENTS = Statements()

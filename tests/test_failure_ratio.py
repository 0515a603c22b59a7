"""How long a backend server that failed is avoided."""

from primroseglade.sidecar.failure_ratio import FailureRatio
from primroseglade.sidecar.load_balancing import (
    Candidate,
    compute_failure_cost_ms,
    estimate_cost_ms,
)

LATENCY_TARGET_SECONDS = 0.3


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 50.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


def estimate(ratio: FailureRatio, in_flight: float) -> float:
    """Return the cost of a call at a backend server with 21 slots and 45 ms a call."""
    candidate = Candidate("n", True, 21, in_flight, 45.0, ratio.value)
    failure_cost_ms = compute_failure_cost_ms(LATENCY_TARGET_SECONDS)
    return estimate_cost_ms(candidate) + failure_cost_ms * candidate.failure_ratio


def test_recovered_backend_server_is_used_while_the_other_is_overloaded():
    """Guards against half of a service that stays idle after it shed calls. All nodes
    avoid the one that failed last, so that nothing shows that it works again, while the
    other one has two calls queued per slot.
    """
    clock = Clock()
    avoided, overloaded = FailureRatio(clock.read), FailureRatio(clock.read)
    for number in range(200):
        avoided.record(number % 5 < 3)
        clock.now += 0.02
    assert estimate(avoided, 0.0) > estimate(overloaded, 63.0)
    clock.now += 2.5
    assert estimate(avoided, 0.0) < estimate(overloaded, 63.0)


def test_failures_do_not_fade_while_there_are_calls():
    """Guards against calls to a backend server that fails at three calls a second."""
    clock = Clock()
    ratio = FailureRatio(clock.read)
    for _ in range(200):
        ratio.record(True)
        clock.now += 0.3
    assert ratio.value > 0.9

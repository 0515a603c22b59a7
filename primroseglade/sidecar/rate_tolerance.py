"""Limits that the fleet enforces, raised by part of the tolerated overshoot."""

from .frames import TokenLimits
from .model import Tenant


class RateTolerance:
    """Computes the limits to enforce from the limits that the operator configured.

    Operators tolerate an overshoot in any window. Most of it raises the enforced rate
    and burst, and some is available as initial tokens after a restart. The rest is
    reserved for nodes that join or restart behind a partition (see docs/DESIGN.md).

    Args:
        overshoot: Tolerated excess, as a fraction of what rate and burst allow.
        slack: Further tolerated calls in a window.
        window: Length of the window in seconds.
    """

    # Fraction of the overshoot by which rate and burst are raised.
    LIMIT_RAISE_RATIO = 0.7
    # Fraction of the overshoot that is available after a restart.
    RESTART_TOKENS_RATIO = 0.2
    # Fraction of the raise that goes to the burst; the rest goes to the rate.
    BURST_RAISE_RATIO = 0.5

    __slots__ = ("_overshoot_ratio", "_slack_calls", "_window")

    def __init__(
        self,
        overshoot_ratio: float = 0.0,
        slack_calls: float = 0.0,
        window: float = 5.0,
    ):
        self._overshoot_ratio = overshoot_ratio
        self._slack_calls = slack_calls
        self._window = window

    def compute_enforced_limits(self, tenant: Tenant, version: int) -> TokenLimits:
        """Return the limits to enforce.

        >>> tolerance = RateTolerance(0.1, 20)
        >>> tenant = Tenant("north", 1, 100.0, 50.0)
        >>> limits = tolerance.compute_enforced_limits(tenant, 1)
        >>> round(limits.rate, 3), round(limits.burst, 3), round(limits.initial, 3)
        (105.25, 76.25, 15.0)
        """
        if tenant.rate <= 0:
            return TokenLimits(tenant.name, 0.0, 0.0, version)
        tolerated_calls = self._slack_calls
        tolerated_calls += self._overshoot_ratio * (
            tenant.rate * self._window + tenant.burst
        )
        extra_calls = tolerated_calls * self.LIMIT_RAISE_RATIO
        return TokenLimits(
            tenant.name,
            tenant.rate + extra_calls * (1.0 - self.BURST_RAISE_RATIO) / self._window,
            tenant.burst + extra_calls * self.BURST_RAISE_RATIO,
            version,
            tolerated_calls * self.RESTART_TOKENS_RATIO,
        )

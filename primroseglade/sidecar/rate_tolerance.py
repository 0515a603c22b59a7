"""What the fleet may let through beyond a workspace's rate."""

from .frames import TokenLimits
from .model import Tenant


class RateTolerance:
    """The limits that the fleet enforces, above those of the operator's configuration.

    Operators tolerate an overshoot in any window. Most of it goes to callers, as a
    higher rate and burst, and some to callers after a restart. The rest is kept for
    nodes that join or are restarted behind a partition (see docs/DESIGN.md).

    Args:
        overshoot: Part of rate and burst.
        slack: Calls in a window besides.
        window: Seconds.
    """

    ENFORCED_RATIO = 0.7
    RESTART_RATIO = 0.2
    # Part of what is used that goes to the burst; the rest goes to the rate.
    BURST_RATIO = 0.5

    __slots__ = ("_overshoot", "_slack", "_window")

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0, window: float = 5.0):
        self._overshoot = overshoot
        self._slack = slack
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
        tolerated_calls = self._slack
        tolerated_calls += self._overshoot * (tenant.rate * self._window + tenant.burst)
        extra_calls = tolerated_calls * self.ENFORCED_RATIO
        return TokenLimits(
            tenant.name,
            tenant.rate + extra_calls * (1.0 - self.BURST_RATIO) / self._window,
            tenant.burst + extra_calls * self.BURST_RATIO,
            version,
            tolerated_calls * self.RESTART_RATIO,
        )

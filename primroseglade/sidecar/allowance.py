"""What the fleet may let through beyond a workspace's rate."""

from .frames import TokenLimits
from .model import Tenant


class Allowance:
    """The limits that the fleet enforces, above those of the operator's configuration.

    Operators tolerate an overshoot in any window. Half of it goes to callers, a quarter
    to callers after a restart, and a quarter is kept (see docs/DESIGN.md).

    Args:
        overshoot: Part of rate and burst.
        slack: Calls in a window besides.
        window: Seconds.
    """

    USED = 0.5
    USED_AFTER_RESTART = 0.25

    __slots__ = ("_overshoot", "_slack", "_window")

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0, window: float = 5.0):
        self._overshoot = overshoot
        self._slack = slack
        self._window = window

    def widen(self, tenant: Tenant, version: int) -> TokenLimits:
        """Return the limits to enforce.

        >>> limits = Allowance(0.1, 20).widen(Tenant("north", 1, 100.0, 50.0), 1)
        >>> limits.rate, limits.burst, limits.initial
        (105.0, 62.5, 18.75)
        """
        if tenant.rate <= 0:
            return TokenLimits(tenant.name, 0.0, 0.0, version)
        part = 1.0 + self._overshoot * self.USED
        over = self._overshoot * (tenant.rate * self._window + tenant.burst)
        return TokenLimits(
            tenant.name,
            tenant.rate * part,
            tenant.burst * part + self._slack * self.USED,
            version,
            (over + self._slack) * self.USED_AFTER_RESTART,
        )

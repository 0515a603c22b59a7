"""Raises configured rate limits by part of the overshoot that operators tolerate."""

from .frames import TokenLimits
from .model import Tenant


class RateTolerance:
    """Computes the limits to enforce from the limits that the operator configured.

    Operators tolerate a number of calls beyond the configured limits in any window.
    Most of these calls raise the enforced rate and burst, and some are granted as
    initial tokens after a restart. The rest is kept as a reserve: when nodes join or
    restart during a network partition, the shares of the rate on its two sides may add
    up to more than the whole, and the reserve covers the excess.

    Args:
        overshoot_ratio: Tolerated excess, as a fraction of the calls that rate and
            burst allow in a window.
        slack_calls: Further calls tolerated in a window.
        window: Length of the window in seconds.
    """

    # Fraction of the tolerated calls by which rate and burst are raised.
    LIMIT_RAISE_RATIO = 0.7
    # Fraction of the tolerated calls that is granted as initial tokens after a restart.
    RESTART_TOKENS_RATIO = 0.2
    # Share of the raise that goes to the burst; the rest goes to the rate.
    BURST_SHARE_OF_RAISE = 0.5

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
        """Return the limits to enforce under a version of the configuration.

        >>> tolerance = RateTolerance(0.1, 20)
        >>> tenant = Tenant("north", 1, 100.0, 50.0)
        >>> limits = tolerance.compute_enforced_limits(tenant, 1)
        >>> round(limits.rate, 3), round(limits.burst, 3)
        (105.25, 76.25)
        >>> round(limits.initial_tokens, 3)
        15.0
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
            tenant.rate
            + extra_calls * (1.0 - self.BURST_SHARE_OF_RAISE) / self._window,
            tenant.burst + extra_calls * self.BURST_SHARE_OF_RAISE,
            version,
            tolerated_calls * self.RESTART_TOKENS_RATIO,
        )

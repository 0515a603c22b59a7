"""Adaptive throttling: refuses calls early that a later hop would shed.

A call that is shed at its fourth hop has used a slot at three others. Each node
therefore counts, per service, workspace and importance class, how many of its calls
were shed recently, and limits the calls it admits to a multiple of the accepted ones.
Enough calls are still shed to detect the end of the overload, and few enough that
little work is wasted.

This is the adaptive throttling of Google's "Site Reliability Engineering" (2016),
chapter 21, with two changes. Calls are refused in the shedding order that all hops
share, not at random. And as classes and workspaces are counted separately, throttling
follows the shares that the queue at the later hop gives them.
"""

import collections
import math
import time
from collections.abc import Callable

from ..calls.call import Context
from .admission import hash_root
from .importance import Importance

# Calls are admitted up to this multiple of the accepted ones.
ACCEPTED_CALLS_MULTIPLE = 2.0
WINDOW_SECONDS = 0.5
# Calls admitted in addition: without these, a workspace that had no call accepted for
# some time would be refused for good.
PROBES_PER_WINDOW = 1.0
# With fewer calls in the window, all are admitted: the fraction would be noise.
MIN_CALLS = 5.0
# Number of different values of hash_root.
HASH_RANGE = 1 << 32
MAX_WINDOWS = 4096

Key = tuple[str, str, Importance]


class Window:
    """Recently requested and accepted calls, with exponential decay."""

    __slots__ = ("accepted", "requested", "updated_at")

    def __init__(self, now: float):
        self.requested = 0.0
        self.accepted = 0.0
        self.updated_at = now

    @property
    def admitted_fraction(self) -> float:
        """The fraction of calls to admit, which may exceed 1."""
        return (
            ACCEPTED_CALLS_MULTIPLE * self.accepted + PROBES_PER_WINDOW
        ) / self.requested

    def decay(self, now: float) -> None:
        """Decay the counts to the given time."""
        factor = math.exp((self.updated_at - now) / WINDOW_SECONDS)
        self.requested *= factor
        self.accepted *= factor
        self.updated_at = now


class Throttle:
    """Throttles calls by how many of their service, workspace and class were shed.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._windows: collections.OrderedDict[Key, Window] = collections.OrderedDict()

    def admits(self, service: str, context: Context) -> bool:
        """Return whether to admit a call.

        Of admitted calls only completed ones are counted. If those in flight counted
        too, they would look shed, and a slow service that sheds nothing would be
        throttled.
        """
        window = self._get_window(service, context)
        if window.requested < MIN_CALLS or hash_root(
            context.root
        ) < self._get_hash_bound(window):
            return True
        window.requested += 1
        return False

    def record_accepted(self, service: str, context: Context) -> None:
        """Record a call that was not shed, whatever its result."""
        window = self._get_window(service, context)
        window.requested += 1
        window.accepted += 1

    def record_shed(self, service: str, context: Context) -> None:
        """Record a call that was shed, here or at a later hop."""
        self._get_window(service, context).requested += 1

    def get_admitted_fraction(
        self, service: str, workspace: str, importance: Importance
    ) -> float:
        """Return the fraction of calls that would be admitted now, at most 1."""
        window = self._windows.get((service, workspace, importance))
        if window is None:
            return 1.0
        window.decay(self._clock())
        if window.requested < MIN_CALLS:
            return 1.0
        return min(1.0, window.admitted_fraction)

    def describe(self) -> dict[str, float]:
        """Return the admitted fractions below 1, for the operator address."""
        fractions = {}
        for service, workspace, importance in list(self._windows):
            admitted_fraction = self.get_admitted_fraction(
                service, workspace, importance
            )
            if admitted_fraction < 1:
                name = f"{service} {workspace} {importance.name.lower()}"
                fractions[name] = round(admitted_fraction, 3)
        return fractions

    def _get_hash_bound(self, window: Window) -> float:
        """Return the bound below which hashes of calls are admitted."""
        return window.admitted_fraction * HASH_RANGE

    def _get_window(self, service: str, context: Context) -> Window:
        key = (service, context.workspace, context.importance)
        now = self._clock()
        window = self._windows.get(key)
        if window is None:
            window = self._windows[key] = Window(now)
            if len(self._windows) > MAX_WINDOWS:
                self._windows.popitem(last=False)
        window.decay(now)
        return window

"""Refuses calls early which a place further on would shed.

A call that is shed four hops down has used a slot at three. Each node therefore keeps,
for each service, workspace and class, how many of its calls were shed lately, and lets
only so many go that some are still shed: enough to see when the overload ends, and few
enough that little work is wasted. This is the adaptive throttling of Google's "Site
Reliability Engineering" (2016), chapter 21, with two changes: which calls are refused
is decided by the order in which all hops shed, not by chance; and since classes and
workspaces are counted apart, it follows the shares that the queue further on gives.
"""

import collections
import math
import time
from collections.abc import Callable

from ..calls.call import Context
from .admission import hash_root
from .importance import Importance

# Calls are let go up to this multiple of those that were accepted.
ACCEPTED_CALLS_MULTIPLE = 2.0
WINDOW_SECONDS = 0.5
# Beyond that, so many a window: a workspace none of whose calls was accepted for a
# while would otherwise never be let go again.
PROBES_PER_WINDOW = 1.0
# Under this many calls in the window chance would decide.
MIN_CALLS = 5.0
HASH_COUNT = 1 << 32
MAX_WINDOWS = 4096

Key = tuple[str, str, Importance]


class Window:
    """Calls asked for and accepted lately, forgetting exponentially."""

    __slots__ = ("accepted", "requested", "updated_at")

    def __init__(self, now: float):
        self.requested = 0.0
        self.accepted = 0.0
        self.updated_at = now

    @property
    def admitted_fraction(self) -> float:
        """The share of calls to let go."""
        return (
            ACCEPTED_CALLS_MULTIPLE * self.accepted + PROBES_PER_WINDOW
        ) / self.requested

    def decay(self, now: float) -> None:
        """Let what lies back count less."""
        factor = math.exp((self.updated_at - now) / WINDOW_SECONDS)
        self.requested *= factor
        self.accepted *= factor
        self.updated_at = now


class Throttle:
    """What was shed lately, by service, workspace and class.

    Args:
        clock: Seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._windows: collections.OrderedDict[Key, Window] = collections.OrderedDict()

    def admits(self, service: str, context: Context) -> bool:
        """Decide whether a call goes on.

        Only calls whose end is known are counted. Those on their way would look like
        shed ones, and a service that is slow but sheds nothing would be throttled.
        """
        window = self._get_window(service, context)
        if window.requested < MIN_CALLS or hash_root(
            context.root
        ) < self._get_hash_bound(window):
            return True
        window.requested += 1
        return False

    def note_accepted(self, service: str, context: Context) -> None:
        """Note that a call was not shed, whatever else became of it."""
        window = self._get_window(service, context)
        window.requested += 1
        window.accepted += 1

    def note_shed(self, service: str, context: Context) -> None:
        """Note that a call was shed, here or further on."""
        self._get_window(service, context).requested += 1

    def get_admitted_fraction(
        self, service: str, workspace: str, importance: Importance
    ) -> float:
        """Return the share of calls that would be let go now."""
        window = self._windows.get((service, workspace, importance))
        if window is None:
            return 1.0
        window.decay(self._clock())
        if window.requested < MIN_CALLS:
            return 1.0
        return min(1.0, window.admitted_fraction)

    def describe(self) -> dict[str, float]:
        """Return the shares under one, for the operator address."""
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
        """Return the hash under which calls go on."""
        return window.admitted_fraction * HASH_COUNT

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

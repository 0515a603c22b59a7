"""Nodes in availability zones, and messages between them that may be late or lost."""

import math
import random
from collections.abc import Callable

from .simulation import Simulation

SAME_ZONE_DELAY_SECONDS = 0.0003
CROSS_ZONE_DELAY_SECONDS = 0.0008
# A stream on which nothing comes is given up after this time.
FAILURE_DETECTION_SECONDS = 1.5
# Streams to a node that was restarted or reached again are opened within this time.
MAX_RECONNECT_SECONDS = 1.0
# Part of the messages that are late, and by how much at most.
DELAYED_MESSAGE_RATIO = 0.002
MAX_EXTRA_DELAY_SECONDS = 0.4


class Cut:
    """A network partition.

    Args:
        start: Of the partition.
        end: Of the partition.
        sides: Returns the side on which a node is, by its number.
    """

    __slots__ = ("end", "sides", "start")

    def __init__(self, start: float, end: float, sides: Callable[[int], int]):
        self.start = start
        self.end = end
        self.sides = sides

    def separates(self, a: int, b: int) -> bool:
        """Whether two nodes are on different sides."""
        return self.sides(a) != self.sides(b)


class Network:
    """Which nodes reach each other, and when messages arrive.

    Args:
        simulation: Runs the arrivals.
        zones: Availability zone of each node.
        cuts: Network partitions.
        rng: Draws delays.
    """

    def __init__(
        self,
        simulation: Simulation,
        zones: list[int],
        cuts: list[Cut],
        rng: random.Random,
    ):
        self._simulation = simulation
        self._zones = zones
        self._cuts = cuts
        self._rng = rng
        self._reconnects = [rng.uniform(0.05, MAX_RECONNECT_SECONDS) for _ in zones]
        #: When each process started; infinite while there is none.
        self.started = [math.inf] * len(zones)
        #: Until when each process stands still.
        self.frozen_until = [0.0] * len(zones)

    @property
    def zones(self) -> list[int]:
        """Availability zone of each node."""
        return self._zones

    def is_running(self, node: int) -> bool:
        """Whether a node has a process that does not stand still."""
        now = self._simulation.now
        return self.started[node] <= now and self.frozen_until[node] <= now

    def is_connected(self, a: int, b: int) -> bool:
        """Whether a node believes that it can reach another."""
        now = self._simulation.now
        if a == b:
            return True
        if now < self.started[b] + (self._reconnects[b] if self.started[b] else 0.0):
            return False
        if self.frozen_until[b] > now and now > self.frozen_until[b] - 3.5:
            return False
        for cut in self._cuts:
            detected_at = cut.start + FAILURE_DETECTION_SECONDS
            reconnected_at = cut.end + self._reconnects[a]
            if detected_at <= now < reconnected_at and cut.separates(a, b):
                return False
        return True

    def send(self, a: int, b: int, receive: Callable[[], None]) -> None:
        """Deliver a message, unless a partition or the end of a process prevents it."""
        now = self._simulation.now
        same = self._zones[a] == self._zones[b]
        delay = (
            SAME_ZONE_DELAY_SECONDS if same else CROSS_ZONE_DELAY_SECONDS
        ) * self._rng.uniform(1, 2)
        if self._rng.random() < DELAYED_MESSAGE_RATIO:
            delay += self._rng.uniform(0.0, MAX_EXTRA_DELAY_SECONDS)
        receiver_started_at = self.started[b]
        if not self.is_reachable(a, b):
            return

        def arrive() -> None:
            if self.started[b] != receiver_started_at:
                return
            if self.frozen_until[b] > self._simulation.now:
                self._simulation.schedule(self.frozen_until[b], arrive)
                return
            if self.is_reachable(a, b):
                receive()

        self._simulation.schedule(now + delay, arrive)

    def is_reachable(self, a: int, b: int) -> bool:
        """Whether messages from one node get to another now."""
        now = self._simulation.now
        if self.started[b] > now:
            return False
        return not any(
            cut.start <= now < cut.end and cut.separates(a, b) for cut in self._cuts
        )

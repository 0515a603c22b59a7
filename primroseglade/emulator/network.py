"""Emulates the network between nodes in availability zones, with delays and losses."""

import math
import random
from collections.abc import Callable

from .simulation import Simulation

# Minimum one-way delays; the maximum is twice as long.
SAME_ZONE_DELAY_SECONDS = 0.0003
CROSS_ZONE_DELAY_SECONDS = 0.0008
# A node closes a stream on which nothing arrives for this time.
FAILURE_DETECTION_SECONDS = 1.5
# Streams are opened within this time after a restart or the end of a partition.
MAX_RECONNECT_SECONDS = 1.0
# Fraction of the messages that are delayed further, and the maximum extra delay.
DELAYED_MESSAGE_RATIO = 0.002
MAX_EXTRA_DELAY_SECONDS = 0.4


class NetworkPartition:
    """Period during which nodes on different sides cannot reach each other.

    Args:
        start: Start of the partition, in seconds of simulated time; in a `Scenario`,
            in seconds from the first call.
        end: End of the partition, likewise.
        get_side: Maps the number of a node to its side of the partition.
    """

    __slots__ = ("end", "get_side", "start")

    def __init__(self, start: float, end: float, get_side: Callable[[int], int]):
        self.start = start
        self.end = end
        self.get_side = get_side

    def separates(self, a: int, b: int) -> bool:
        """Return whether two nodes are on different sides."""
        return self.get_side(a) != self.get_side(b)


class Network:
    """Delivers messages between nodes that reach each other.

    Args:
        simulation: Delivers the messages at their time of arrival.
        zones: Availability zone of each node.
        partitions: Network partitions.
        rng: Draws the delays.
    """

    def __init__(
        self,
        simulation: Simulation,
        zones: list[int],
        partitions: list[NetworkPartition],
        rng: random.Random,
    ):
        self._simulation = simulation
        self._zones = zones
        self._partitions = partitions
        self._rng = rng
        self._reconnect_seconds = [
            rng.uniform(0.05, MAX_RECONNECT_SECONDS) for _ in zones
        ]
        #: Start time of each node's process; infinite while it is down.
        self.started_at = [math.inf] * len(zones)
        #: Time until which each node's process is frozen.
        self.frozen_until = [0.0] * len(zones)

    @property
    def zones(self) -> list[int]:
        """Availability zone of each node."""
        return self._zones

    def is_running(self, node: int) -> bool:
        """Return whether a node's process is up and not frozen."""
        now = self._simulation.now
        return self.started_at[node] <= now and self.frozen_until[node] <= now

    def is_connected(self, a: int, b: int) -> bool:
        """Return whether node ``a`` regards node ``b`` as reachable.

        A failed node is regarded as reachable until the failure is detected.
        """
        now = self._simulation.now
        if a == b:
            return True
        if now < self.started_at[b] + (
            self._reconnect_seconds[b] if self.started_at[b] else 0.0
        ):
            return False
        # Every freeze lasts 5 s and is detected `FAILURE_DETECTION_SECONDS` (1.5 s)
        # after it begins, so it has been detected when less than 3.5 s of it are left.
        if self.frozen_until[b] > now and now > self.frozen_until[b] - 3.5:
            return False
        for partition in self._partitions:
            detected_at = partition.start + FAILURE_DETECTION_SECONDS
            reconnected_at = partition.end + self._reconnect_seconds[a]
            if detected_at <= now < reconnected_at and partition.separates(a, b):
                return False
        return True

    def send(self, a: int, b: int, receive: Callable[[], None]) -> None:
        """Send a message; it is lost if the receiver is cut off, down or restarted."""
        now = self._simulation.now
        same = self._zones[a] == self._zones[b]
        delay = (
            SAME_ZONE_DELAY_SECONDS if same else CROSS_ZONE_DELAY_SECONDS
        ) * self._rng.uniform(1, 2)
        if self._rng.random() < DELAYED_MESSAGE_RATIO:
            delay += self._rng.uniform(0.0, MAX_EXTRA_DELAY_SECONDS)
        receiver_started_at = self.started_at[b]
        if not self.is_reachable(a, b):
            return

        def arrive() -> None:
            if self.started_at[b] != receiver_started_at:
                return
            if self.frozen_until[b] > self._simulation.now:
                self._simulation.schedule(self.frozen_until[b], arrive)
                return
            if self.is_reachable(a, b):
                receive()

        self._simulation.schedule(now + delay, arrive)

    def is_reachable(self, a: int, b: int) -> bool:
        """Return whether node ``b`` is in fact up and not cut off from ``a``."""
        now = self._simulation.now
        if self.started_at[b] > now:
            return False
        return not any(
            partition.start <= now < partition.end and partition.separates(a, b)
            for partition in self._partitions
        )

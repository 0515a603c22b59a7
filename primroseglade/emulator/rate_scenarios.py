"""Fault scenarios for an emulated fleet that enforces the rates of workspaces."""

from collections.abc import Callable

from .network import NetworkPartition
from .rates import RateFleet

# Time from the first call to the rise of demand and to the faults injected at the rise.
DEMAND_RISE_SECONDS = 7.0
FAULT_DURATION_SECONDS = 5.0
# The fleet has six zones, and the zone of a node is its number modulo six. The first
# six nodes are the token holders, one in each zone.
HOLDER_COUNT = 6


class Scenario:
    """Faults injected into a fleet; times in seconds from the first call.

    Args:
        first_start: Whether the fleet starts for the first time; otherwise all nodes
            have just been restarted when calls begin.
        partitions: Network partitions.
        events: Times and functions that inject a fault into the fleet.
    """

    __slots__ = ("events", "first_start", "partitions")

    def __init__(
        self,
        first_start: bool = True,
        partitions: tuple[NetworkPartition, ...] = (),
        events: tuple[tuple[float, Callable[[RateFleet], None]], ...] = (),
    ):
        self.first_start = first_start
        self.partitions = partitions
        self.events = events


_scenarios: dict[str, Callable[[], Scenario]] = {}


def scenario(name: str) -> Callable[[Callable[[], Scenario]], Callable[[], Scenario]]:
    """Return a decorator that registers the builder of a scenario."""

    def register(build: Callable[[], Scenario]) -> Callable[[], Scenario]:
        _scenarios[name] = build
        return build

    return register


def build_scenarios() -> dict[str, Scenario]:
    """Build all registered scenarios, by name."""
    return {name: build() for name, build in _scenarios.items()}


def get_side_of_split_between_zones(node: int) -> int:
    """Return a node's side of a partition between zones with even and odd numbers."""
    return node % 2


def get_side_of_split_within_zones(node: int) -> int:
    """Return a node's side of a partition through every zone."""
    # The side changes every seven nodes and the zone with every node, so that each of
    # the six zones has nodes on both sides.
    return node // 7 % 2


def get_side_of_isolated_zone(node: int) -> int:
    """Return a node's side of a partition that cuts off zone 1."""
    # There are as many zones as holders.
    return int(node % HOLDER_COUNT == 1)


def get_side_of_isolated_nodes(node: int) -> int:
    """Return a node's side; two holders and node 9 are each cut off from all others."""
    return node if node in (0, 1, 9) else -1


def build_partition(start: float, get_side: Callable[[int], int]) -> Scenario:
    """Return a scenario with one partition of `FAULT_DURATION_SECONDS`."""
    return Scenario(
        partitions=(NetworkPartition(start, start + FAULT_DURATION_SECONDS, get_side),)
    )


@scenario("calm")
def build_calm() -> Scenario:
    """Build the scenario without faults."""
    return Scenario()


@scenario("half cut off before the rise")
def build_partition_before_rise() -> Scenario:
    """Cut off half of each zone 3 s before the rise, for 5 s."""
    return build_partition(DEMAND_RISE_SECONDS - 3.0, get_side_of_split_within_zones)


@scenario("half cut off at the rise")
def build_partition_at_rise() -> Scenario:
    """Cut off half of the nodes of each zone at the rise."""
    return build_partition(DEMAND_RISE_SECONDS, get_side_of_split_within_zones)


@scenario("half cut off after the rise")
def build_partition_after_rise() -> Scenario:
    """Cut off half of the nodes of each zone just after the rise."""
    return build_partition(DEMAND_RISE_SECONDS + 0.3, get_side_of_split_within_zones)


@scenario("half of the zones cut off at the rise")
def build_partitioned_zones() -> Scenario:
    """Cut off half of the zones at the rise."""
    return build_partition(DEMAND_RISE_SECONDS, get_side_of_split_between_zones)


@scenario("zone cut off at the rise")
def build_isolated_zone() -> Scenario:
    """Cut off one zone at the rise."""
    return build_partition(DEMAND_RISE_SECONDS, get_side_of_isolated_zone)


@scenario("nodes cut off at the rise")
def build_isolated_nodes() -> Scenario:
    """Isolate two token holders and another node at the rise."""
    return build_partition(DEMAND_RISE_SECONDS, get_side_of_isolated_nodes)


def kill_holders(fleet: RateFleet) -> None:
    """Kill the token holders of all zones; they restart after 0.2 s."""
    for node in range(HOLDER_COUNT):
        fleet.kill(node, 0.2)


@scenario("holders killed twice in a second")
def build_killed_holders() -> Scenario:
    """Kill the token holders of all zones before and at the rise."""
    times = (DEMAND_RISE_SECONDS - 0.5, DEMAND_RISE_SECONDS)
    return Scenario(events=tuple((at, kill_holders) for at in times))


def freeze_holders(fleet: RateFleet) -> None:
    """Freeze the token holders of half of the zones."""
    for node in range(HOLDER_COUNT // 2):
        fleet.freeze(node, FAULT_DURATION_SECONDS)


@scenario("holders frozen for 5 s")
def build_frozen_holders() -> Scenario:
    """Freeze the token holders of half of the zones just before the rise."""
    return Scenario(events=((DEMAND_RISE_SECONDS - 0.5, freeze_holders),))


def kill_all(fleet: RateFleet) -> None:
    """Kill all nodes; they restart at different times."""
    for node in range(fleet.size):
        fleet.kill(node, fleet.rng.uniform(0.5, 1.5))


@scenario("all nodes killed at the rise")
def build_killed_fleet() -> Scenario:
    """Kill all nodes at the rise."""
    return Scenario(events=((DEMAND_RISE_SECONDS, kill_all),))


@scenario("start after the end of all nodes")
def build_restart() -> Scenario:
    """Begin the calls just after all nodes were restarted."""
    return Scenario(first_start=False)

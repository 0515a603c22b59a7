"""What may happen to a fleet while workspaces are at their rates."""

from collections.abc import Callable

from .network import Cut
from .rates import RateFleet

# Demand rises at this time after the first call, if it does; the disturbances that
# come at the rise, too.
RISE_SECONDS = 7.0
FAULT_SECONDS = 5.0
HOLDER_COUNT = 6


class Scenario:
    """A disturbance; times from the first call.

    Args:
        first_start: Whether the fleet starts for the first time before the first call;
            otherwise all of it has just been restarted then.
        cuts: Network partitions.
        events: Time and what is done to the fleet then.
    """

    __slots__ = ("cuts", "events", "first_start")

    def __init__(
        self,
        first_start: bool = True,
        cuts: tuple[Cut, ...] = (),
        events: tuple[tuple[float, Callable[[RateFleet], None]], ...] = (),
    ):
        self.first_start = first_start
        self.cuts = cuts
        self.events = events


_scenarios: dict[str, Callable[[], Scenario]] = {}


def scenario(name: str) -> Callable[[Callable[[], Scenario]], Callable[[], Scenario]]:
    """Register a scenario."""

    def register(build: Callable[[], Scenario]) -> Callable[[], Scenario]:
        _scenarios[name] = build
        return build

    return register


def build_scenarios() -> dict[str, Scenario]:
    """Return all scenarios by name."""
    return {name: build() for name, build in _scenarios.items()}


def split_zones(number: int) -> int:
    """Put whole availability zones on either side."""
    return number % 2


def split_each_zone(number: int) -> int:
    """Put nodes of every availability zone on either side."""
    return number // 7 % 2


def isolate_zone(number: int) -> int:
    """Cut off one availability zone."""
    return int(number % HOLDER_COUNT == 1)


def isolate_nodes(number: int) -> int:
    """Cut off two token holders and another node, from each other too."""
    return number if number in (0, 1, 9) else -1


def build_partition(start: float, sides: Callable[[int], int]) -> Scenario:
    """Return a scenario with one partition."""
    return Scenario(cuts=(Cut(start, start + FAULT_SECONDS, sides),))


@scenario("calm")
def build_calm() -> Scenario:
    """Nothing happens."""
    return Scenario()


@scenario("half cut off before the rise")
def build_partition_before_rise() -> Scenario:
    """Half of the nodes of each zone, five seconds that end after the rise."""
    return build_partition(RISE_SECONDS - 3.0, split_each_zone)


@scenario("half cut off at the rise")
def build_partition_at_rise() -> Scenario:
    """Half of the nodes of each zone."""
    return build_partition(RISE_SECONDS, split_each_zone)


@scenario("half cut off after the rise")
def build_partition_after_rise() -> Scenario:
    """Half of the nodes of each zone."""
    return build_partition(RISE_SECONDS + 0.3, split_each_zone)


@scenario("half of the zones cut off at the rise")
def build_partitioned_zones() -> Scenario:
    """Half of the zones."""
    return build_partition(RISE_SECONDS, split_zones)


@scenario("zone cut off at the rise")
def build_isolated_zone() -> Scenario:
    """One zone."""
    return build_partition(RISE_SECONDS, isolate_zone)


@scenario("nodes cut off at the rise")
def build_isolated_nodes() -> Scenario:
    """Two token holders and another node."""
    return build_partition(RISE_SECONDS, isolate_nodes)


def kill_holders(fleet: RateFleet) -> None:
    """Kill the token holders of all zones."""
    for number in range(HOLDER_COUNT):
        fleet.kill(number, 0.2)


@scenario("holders killed twice in a second")
def build_killed_holders() -> Scenario:
    """The token holders of all zones, just before the rise."""
    times = (RISE_SECONDS - 0.5, RISE_SECONDS)
    return Scenario(events=tuple((at, kill_holders) for at in times))


def freeze_holders(fleet: RateFleet) -> None:
    """Have the token holders of half of the zones stand still."""
    for number in range(HOLDER_COUNT // 2):
        fleet.freeze(number, FAULT_SECONDS)


@scenario("holders frozen for 5 s")
def build_frozen_holders() -> Scenario:
    """The token holders of half of the zones, from just before the rise."""
    return Scenario(events=((RISE_SECONDS - 0.5, freeze_holders),))


def kill_all(fleet: RateFleet) -> None:
    """Kill all nodes; they are back at different times."""
    for number in range(fleet.size):
        fleet.kill(number, fleet.rng.uniform(0.5, 1.5))


@scenario("all nodes killed at the rise")
def build_killed_fleet() -> Scenario:
    """All nodes at once."""
    return Scenario(events=((RISE_SECONDS, kill_all),))


@scenario("start after the end of all nodes")
def build_restart() -> Scenario:
    """The first calls come while all nodes start again."""
    return Scenario(first_start=False)

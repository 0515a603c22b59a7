"""Rates of workspaces over a fleet, with the modules that the nodes use for them."""

import bisect
import math
import random
from collections.abc import Callable, Sequence

from ..sidecar.allowance import Allowance
from ..sidecar.frames import TokenGrant, TokenRequest
from ..sidecar.model import Tenant
from ..sidecar.quota import Quotas, TokenDecision
from ..sidecar.rate_control import RENEW_SECONDS
from ..sidecar.share_leases import (
    assign_holder,
    count_zone_holders,
    LEASE_SECONDS,
    LeaseBook,
    RemoteClock,
    ShareLender,
)
from ..sidecar.ticker import SPREAD, STEP_SECONDS
from ..sidecar.token_broker import GrantHandler, TokenBroker
from ..sidecar.token_pool import TokenPool
from ..sidecar.token_requests import ASK_TIMEOUT_SECONDS
from .network import Cut, Network
from .simulation import Simulation

# Nodes exist for this long before the first call, unless they were just restarted.
LEAD_SECONDS = 5.0
# A node that was just started lends its share within this time.
START_SECONDS = 0.1
# A node looks anew after this time whom it reaches.
VIEW_SECONDS = 0.25
WINDOW_SECONDS = 5.0
OVERSHOOT = 0.1
SLACK = 20


class RateNode:
    """One process of a node, with its parts for rates; itself a token network.

    Args:
        fleet: The other nodes.
        number: Of this node.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(self, fleet: "RateFleet", number: int, first_start: bool):
        self._fleet = fleet
        self._number = number
        simulation = fleet.simulation
        name = str(number)
        self.lender = ShareLender()
        self.clocks: dict[int, RemoteClock] = {}
        self.leases = LeaseBook(lambda: fleet.size, simulation.now)
        self.pool = TokenPool(self.leases, first_start)
        self.broker = TokenBroker(
            name, self.pool, self, simulation.read_clock, fleet.rng
        )
        self.quotas = Quotas(
            name, self.broker, self, fleet.allowance, simulation.read_clock, fleet.rng
        )

    def get_holder(self) -> str:
        """Return the holder that this node asks."""
        return self.lender.choose(
            self._fleet.find_holder(self._number),
            lambda name: self._fleet.network.is_connected(self._number, int(name)),
            self._fleet.simulation.now,
        )

    def list_holders(self) -> list[str]:
        """Return the holders of all zones that can be reached."""
        return self._fleet.list_holders(self._number)

    def ask(self, node: str, request: TokenRequest, done: GrantHandler) -> None:
        """Send a request."""
        fleet = self._fleet
        number = int(node)
        answered: list[TokenGrant | None] = []

        def finish(grant: TokenGrant | None) -> None:
            if not answered and fleet.nodes[self._number] is self:
                answered.append(grant)
                done(grant)

        def reply(grant: TokenGrant | None) -> None:
            fleet.network.send(number, self._number, lambda: finish(grant))

        fleet.network.send(
            self._number,
            number,
            lambda: fleet.nodes[number].broker.handle(
                str(self._number), request, reply
            ),
        )
        timeout = fleet.simulation.now + ASK_TIMEOUT_SECONDS
        fleet.simulation.schedule(timeout, lambda: finish(None))

    def renew(self) -> None:
        """Lend the share to the zone's holder if it is due, as nodes do with pings."""
        fleet = self._fleet
        now = fleet.simulation.now
        holder = int(fleet.find_holder(self._number))
        if not self.lender.is_due(str(holder), now, RENEW_SECONDS):
            return
        may_lend = self.lender.may_lend(str(holder), now)
        if holder == self._number:
            if may_lend:
                self.leases.renew(str(self._number), now + LEASE_SECONDS, now)
                self.lender.note_lent(str(holder), now)
            return
        clock = self.clocks.setdefault(holder, RemoteClock())
        remote = clock.estimate(now)
        until = 0.0
        if remote is not None and may_lend:
            until = remote + LEASE_SECONDS
            self.lender.note_lent(str(holder), now)
        fleet.network.send(
            self._number, holder, lambda: fleet.take_ping(self._number, holder, until)
        )


class RateFleet:
    """Nodes whose callers send calls of some workspaces.

    Args:
        zones: Availability zone of each node.
        seed: Of all that is drawn.
        cuts: Network partitions.
        first_start: Whether the fleet starts for the first time.
    """

    def __init__(
        self,
        zones: list[int],
        seed: int,
        cuts: Sequence[Cut] = (),
        first_start: bool = True,
    ):
        self.seed = seed
        self.rng = random.Random(seed)
        self.simulation = Simulation()
        self.network = Network(self.simulation, zones, list(cuts), self.rng)
        self.allowance = Allowance(OVERSHOOT, SLACK)
        self.nodes: list[RateNode] = []
        self._views: dict[int, tuple[float, tuple[str, list[str]]]] = {}
        for number in range(len(zones)):
            self.network.started[number] = 0.0
            self.nodes.append(RateNode(self, number, first_start))
            self._schedule_renewal(number, self.rng.uniform(0.0, START_SECONDS))

    @property
    def size(self) -> int:
        """Nodes among which rates are divided."""
        return len(self.network.zones)

    def kill(self, number: int, down_seconds: float) -> None:
        """End a node's process, and start another one later."""
        self.network.started[number] = math.inf
        self._views.clear()
        self.simulation.schedule(
            self.simulation.now + down_seconds, lambda: self._start(number)
        )

    def freeze(self, number: int, seconds: float) -> None:
        """Have a node's process stand still."""
        self.network.frozen_until[number] = self.simulation.now + seconds

    def find_holder(self, number: int) -> str:
        """Return the token holder that is assigned to a node, as it sees its zone."""
        return self._view(number)[0]

    def list_holders(self, number: int) -> list[str]:
        """Return the token holders of all zones that a node reaches."""
        return self._view(number)[1]

    def take_ping(self, lender: int, holder: int, until: float) -> None:
        """Have a holder take in a ping, and answer it with its clock."""
        now = self.simulation.now
        self.nodes[holder].leases.renew(str(lender), until, now)

        def note() -> None:
            node = self.nodes[lender]
            clock = node.clocks.setdefault(holder, RemoteClock())
            known = clock.estimate(self.simulation.now) is not None
            clock.note(now, self.simulation.now)
            if not known:
                node.renew()

        self.network.send(holder, lender, note)

    def call(self, number: int, tenant: Tenant, done: Callable[[bool], None]) -> None:
        """Have a call come to a node; one that is down or stands still refuses it."""
        if not self.network.is_running(number):
            done(False)
            return

        def take(decision: TokenDecision) -> bool:
            done(decision.granted)
            return True

        self.nodes[number].quotas.acquire(tenant, tenant.priority or 1, True, take)

    def _start(self, number: int) -> None:
        self.network.started[number] = self.simulation.now
        self._views.clear()
        self.nodes[number] = RateNode(self, number, first_start=False)
        for other, node in enumerate(self.nodes):
            node.clocks.pop(number, None)
            # The new process introduces itself to all nodes that it reaches.
            if self.network.is_reached(number, other):
                node.leases.revoke(str(number), self.simulation.now)
        at = self.simulation.now + self.rng.uniform(0.0, START_SECONDS)
        self._schedule_renewal(number, at)

    def _schedule_renewal(self, number: int, at: float) -> None:
        node = self.nodes[number]

        def renew() -> None:
            if self.nodes[number] is not node:
                return
            if self.network.frozen_until[number] <= self.simulation.now:
                node.renew()
            pause = STEP_SECONDS * self.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
            self.simulation.schedule(self.simulation.now + pause, renew)

        self.simulation.schedule(at, renew)

    def _view(self, number: int) -> tuple[str, list[str]]:
        """Return a node's assigned holder and all holders, as it sees the fleet."""
        now = self.simulation.now
        cached = self._views.get(number)
        if cached is not None and now - cached[0] < VIEW_SECONDS:
            return cached[1]
        zones = self.network.zones
        most = count_zone_holders(len(set(zones)))
        holders: dict[int, list[str]] = {}
        for other, zone in enumerate(zones):
            names = holders.setdefault(zone, [])
            if len(names) < most and self.network.is_connected(number, other):
                names.append(str(other))
        assigned = assign_holder(str(number), holders[zones[number]])
        view = (assigned, [name for names in holders.values() for name in names])
        self._views[number] = (now, view)
        return view


class Play:
    """What became of the calls of a workspace.

    Attributes:
        arrivals: Times of all calls.
        admitted: Times at which calls were let through.
        waits_of_admitted: Seconds that each call let through waited for a token.
    """

    __slots__ = ("admitted", "arrivals", "waits_of_admitted")

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self.admitted: list[float] = []
        self.waits_of_admitted: list[float] = []

    def find_worst_window(self) -> int:
        """Return the most calls let through in any window."""
        return max(
            (
                bisect.bisect_right(self.admitted, start + WINDOW_SECONDS) - number
                for number, start in enumerate(self.admitted)
            ),
            default=0,
        )


def count_allowed(rate: float, burst: float) -> float:
    """Return the calls that operators tolerate in any window."""
    return (rate * WINDOW_SECONDS + burst) * (1.0 + OVERSHOOT) + SLACK


def count_ideal(arrivals: Sequence[float], rate: float, burst: float) -> int:
    """Return the calls that one exact token bucket would let through.

    >>> count_ideal([0.0, 0.0, 0.0, 1.0], rate=1.0, burst=2.0)
    3
    """
    tokens = burst
    before = 0.0
    admitted = 0
    for arrival in arrivals:
        tokens = min(burst, tokens + rate * (arrival - before))
        before = arrival
        if tokens >= 1.0:
            tokens -= 1.0
            admitted += 1
    return admitted


class Demand:
    """Calls a second of a workspace, as a multiple of its rate, over time.

    Args:
        times: Before the rise.
        rise: Time of the rise and the multiple after it; None if there is none.
    """

    __slots__ = ("rise", "times")

    def __init__(self, times: float, rise: tuple[float, float] | None = None):
        self.times = times
        self.rise = rise

    def get(self, now: float) -> float:
        """Return the multiple at a time."""
        if self.rise is not None and now >= self.rise[0]:
            return self.rise[1]
        return self.times

    @property
    def most(self) -> float:
        """The largest multiple."""
        return max(self.times, self.rise[1] if self.rise is not None else 0.0)


def add_callers(
    fleet: RateFleet,
    tenant: Tenant,
    demand: Demand,
    start: float,
    end: float,
    nodes: Sequence[int],
) -> Play:
    """Have calls of a workspace come to some nodes, at random times.

    Args:
        fleet: Of the nodes.
        tenant: The workspace.
        demand: By its rate; times from the start.
        start: Of the calls.
        end: Of the calls.
        nodes: Numbers of the nodes; some get more calls than others.
    """
    # Of its own, so that all designs and settings are played with the same calls.
    rng = random.Random(f"{fleet.seed} {tenant.name}")
    play = Play()
    weights = [rng.uniform(0.5, 2.0) for _ in nodes]
    total = demand.most * tenant.rate

    def arrive() -> None:
        now = fleet.simulation.now
        fleet.simulation.schedule(now + rng.expovariate(total), arrive)
        if now >= end or rng.random() >= demand.get(now - start) / demand.most:
            return
        play.arrivals.append(now - start)
        number = rng.choices(nodes, cum_weights=cumulated)[0]

        def note(granted: bool) -> None:
            if granted:
                play.waits_of_admitted.append(fleet.simulation.now - now)
                play.admitted.append(fleet.simulation.now - start)

        fleet.call(number, tenant, note)

    cumulated = [sum(weights[: index + 1]) for index in range(len(weights))]
    fleet.simulation.schedule(start + rng.expovariate(total), arrive)
    return play


def play_workspace(
    nodes: int,
    rate: float,
    demand: Demand,
    seconds: float,
    seed: int,
    first_start: bool = True,
    zones: int = 6,
    cuts: Sequence[Cut] = (),
    disturb: Callable[[RateFleet], None] = lambda fleet: None,
) -> Play:
    """Play one workspace whose burst is a second of its rate.

    Args:
        nodes: How many there are.
        rate: Of the workspace.
        demand: Of its callers.
        seconds: For which calls come.
        seed: Of all that is drawn.
        first_start: Whether the fleet starts for the first time; otherwise all of it
            was just restarted when the first call comes.
        zones: Availability zones among which the nodes are divided.
        cuts: Network partitions; times from the first call.
        disturb: Schedules other disturbances; times with `LEAD_SECONDS` before the
            first call, if the fleet starts for the first time.
    """
    lead = LEAD_SECONDS if first_start else 0.0
    shifted = [Cut(cut.start + lead, cut.end + lead, cut.sides) for cut in cuts]
    fleet = RateFleet([n % zones for n in range(nodes)], seed, shifted, first_start)
    disturb(fleet)
    tenant = Tenant("north", 1, rate, rate)
    play = add_callers(fleet, tenant, demand, lead, lead + seconds, range(nodes))
    fleet.simulation.run(lead + seconds)
    return play

"""Emulates a fleet that enforces the rates of workspaces with the nodes' own code."""

import math
import random
from collections.abc import Callable, Sequence

from ..sidecar.frames import TokenGrant, TokenRequest
from ..sidecar.model import Tenant
from ..sidecar.periodic_scheduler import TICK_JITTER_RATIO, TICK_SECONDS
from ..sidecar.quota import Quotas, TokenDecision
from ..sidecar.rate_control import LEASE_RENEWAL_SECONDS
from ..sidecar.rate_tolerance import RateTolerance
from ..sidecar.share_leases import (
    assign_holder,
    count_zone_holders,
    LEASE_SECONDS,
    LeaseTable,
    RemoteClock,
    ShareLender,
)
from ..sidecar.token_broker import GrantHandler, TokenBroker
from ..sidecar.token_pool import TokenPool
from ..sidecar.token_requests import REQUEST_TIMEOUT_SECONDS
from .network import Network, NetworkPartition
from .simulation import Simulation

# A node first lends its share within this time of its start.
MAX_FIRST_RENEWAL_SECONDS = 0.1
# Interval at which a node refreshes its list of reachable nodes.
VIEW_REFRESH_SECONDS = 0.25
# Operators tolerate that the calls admitted within any `WINDOW_SECONDS` exceed those
# that rate and burst allow: by `TOLERATED_OVERSHOOT_RATIO` of the allowed calls, plus
# `TOLERATED_EXTRA_CALLS`.
WINDOW_SECONDS = 5.0
TOLERATED_OVERSHOOT_RATIO = 0.1
TOLERATED_EXTRA_CALLS = 20


class RateNode:
    """Process of one node, with its rate limiting; implements `TokenNetwork`.

    Args:
        fleet: The whole fleet.
        number: Number of this node.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(self, fleet: "RateFleet", number: int, first_start: bool):
        self._fleet = fleet
        self._number = number
        simulation = fleet.simulation
        name = str(number)
        self.lender = ShareLender()
        self.remote_clocks: dict[int, RemoteClock] = {}
        self.leases = LeaseTable(lambda: fleet.size, simulation.now)
        self.pool = TokenPool(self.leases, first_start)
        self.broker = TokenBroker(
            name, self.pool, self, simulation.read_clock, fleet.rng
        )
        self.quotas = Quotas(
            name,
            self.broker,
            self,
            fleet.rate_tolerance,
            simulation.read_clock,
            fleet.rng,
        )

    def get_holder(self) -> str:
        """Return the name of the holder that this node requests tokens from."""
        return self.lender.choose_holder(
            self._fleet.find_holder(self._number),
            lambda name: self._fleet.network.is_connected(self._number, int(name)),
            self._fleet.simulation.now,
        )

    def list_holders(self) -> list[str]:
        """Return the names of the reachable holders of all zones."""
        return self._fleet.list_holders(self._number)

    def request_tokens(
        self, node: str, request: TokenRequest, done: GrantHandler
    ) -> None:
        """Send a request; ``done`` is called once, with None after a timeout."""
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
            lambda: fleet.nodes[number].broker.handle_request(
                str(self._number), request, reply
            ),
        )
        timeout = fleet.simulation.now + REQUEST_TIMEOUT_SECONDS
        fleet.simulation.schedule(timeout, lambda: finish(None))

    def renew_lease(self) -> None:
        """Lend the share to the assigned holder by a ping, if a renewal is due."""
        fleet = self._fleet
        now = fleet.simulation.now
        holder = int(fleet.find_holder(self._number))
        if not self.lender.is_renewal_due(str(holder), now, LEASE_RENEWAL_SECONDS):
            return
        may_lend = self.lender.may_lend(str(holder), now)
        if holder == self._number:
            if may_lend:
                self.leases.renew(str(self._number), now + LEASE_SECONDS, now)
                self.lender.record_lease_sent(str(holder), now)
            return
        remote_clock = self.remote_clocks.setdefault(holder, RemoteClock())
        remote_time = remote_clock.estimate(now)
        lease_end = 0.0
        if remote_time is not None and may_lend:
            lease_end = remote_time + LEASE_SECONDS
            self.lender.record_lease_sent(str(holder), now)
        fleet.network.send(
            self._number,
            holder,
            lambda: fleet.handle_ping(self._number, holder, lease_end),
        )


class RateFleet:
    """Nodes that admit calls of workspaces, and their emulated network.

    Args:
        zones: Availability zone of each node.
        seed: Seed of all random numbers.
        partitions: Network partitions.
        first_start: Whether the fleet starts for the first time.
    """

    def __init__(
        self,
        zones: list[int],
        seed: int,
        partitions: Sequence[NetworkPartition] = (),
        first_start: bool = True,
    ):
        self.seed = seed
        self.rng = random.Random(seed)
        self.simulation = Simulation()
        self.network = Network(self.simulation, zones, list(partitions), self.rng)
        self.rate_tolerance = RateTolerance(
            TOLERATED_OVERSHOOT_RATIO, TOLERATED_EXTRA_CALLS
        )
        self.nodes: list[RateNode] = []
        self._views: dict[int, tuple[float, tuple[str, list[str]]]] = {}
        for number in range(len(zones)):
            self.network.started_at[number] = 0.0
            self.nodes.append(RateNode(self, number, first_start))
            self._schedule_renewal(
                number, self.rng.uniform(0.0, MAX_FIRST_RENEWAL_SECONDS)
            )

    @property
    def size(self) -> int:
        """Number of nodes among which rates are divided."""
        return len(self.network.zones)

    def kill(self, number: int, down_seconds: float) -> None:
        """Kill a node's process, and start a new one after ``down_seconds``."""
        self.network.started_at[number] = math.inf
        self._views.clear()
        self.simulation.schedule(
            self.simulation.now + down_seconds, lambda: self._start(number)
        )

    def freeze(self, number: int, seconds: float) -> None:
        """Freeze a node's process for some seconds."""
        self.network.frozen_until[number] = self.simulation.now + seconds

    def find_holder(self, number: int) -> str:
        """Return the token holder assigned to a node by its view of the zone."""
        return self._get_view(number)[0]

    def list_holders(self, number: int) -> list[str]:
        """Return the token holders of all zones that a node reaches."""
        return self._get_view(number)[1]

    def handle_ping(self, lender: int, holder: int, lease_end: float) -> None:
        """Record the lease in a ping at the holder, and send back its clock reading."""
        now = self.simulation.now
        self.nodes[holder].leases.renew(str(lender), lease_end, now)

        def record() -> None:
            node = self.nodes[lender]
            remote_clock = node.remote_clocks.setdefault(holder, RemoteClock())
            was_known = remote_clock.estimate(self.simulation.now) is not None
            remote_clock.record(now, self.simulation.now)
            if not was_known:
                node.renew_lease()

        self.network.send(holder, lender, record)

    def call(self, number: int, tenant: Tenant, done: Callable[[bool], None]) -> None:
        """Send a call to a node; it is refused if the node is down or frozen."""
        if not self.network.is_running(number):
            done(False)
            return

        def take(decision: TokenDecision) -> bool:
            done(decision.granted)
            return True

        # Limits do not change during a simulation, so any constant does as the version
        # of the configuration.
        self.nodes[number].quotas.acquire(tenant, tenant.priority or 1, True, take)

    def _start(self, number: int) -> None:
        self.network.started_at[number] = self.simulation.now
        self._views.clear()
        self.nodes[number] = RateNode(self, number, first_start=False)
        for other, node in enumerate(self.nodes):
            node.remote_clocks.pop(number, None)
            # The new process announces its start to all nodes that it reaches.
            if self.network.is_reachable(number, other):
                node.leases.revoke(str(number), self.simulation.now)
        at = self.simulation.now + self.rng.uniform(0.0, MAX_FIRST_RENEWAL_SECONDS)
        self._schedule_renewal(number, at)

    def _schedule_renewal(self, number: int, at: float) -> None:
        node = self.nodes[number]

        def renew() -> None:
            if self.nodes[number] is not node:
                return
            if self.network.frozen_until[number] <= self.simulation.now:
                node.renew_lease()
            pause = TICK_SECONDS * self.rng.uniform(
                1.0 - TICK_JITTER_RATIO, 1.0 + TICK_JITTER_RATIO
            )
            self.simulation.schedule(self.simulation.now + pause, renew)

        self.simulation.schedule(at, renew)

    def _get_view(self, number: int) -> tuple[str, list[str]]:
        """Return the holder assigned to a node, and all holders that it reaches."""
        now = self.simulation.now
        cached = self._views.get(number)
        if cached is not None and now - cached[0] < VIEW_REFRESH_SECONDS:
            return cached[1]
        zones = self.network.zones
        max_holders = count_zone_holders(len(set(zones)))
        holders: dict[int, list[str]] = {}
        for other, zone in enumerate(zones):
            names = holders.setdefault(zone, [])
            if len(names) < max_holders and self.network.is_connected(number, other):
                names.append(str(other))
        assigned = assign_holder(str(number), holders[zones[number]])
        view = (assigned, [name for names in holders.values() for name in names])
        self._views[number] = (now, view)
        return view

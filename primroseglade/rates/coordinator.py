"""A node's rate limiting: leases, buckets, shares and the limiter."""

from ..fleet.configuration import Configuration
from ..fleet.confirm import Confirmer
from ..fleet.control import ControlClient, ControlServer
from ..fleet.members import Members
from ..observe.events import Journal
from ..observe.metrics import Metrics
from ..settings.node import NodeSettings
from ..supervisor import Supervisor
from .holder import Holder
from .lease import Candidate, Elector, get_partition, Partitions
from .limiter import RateLimiter
from .quota import Entitlement
from .running_clock import RunningClock
from .shares import ZoneShare


class RateCoordinator:
    """Wires the components of rate limiting and applies the configuration to them.

    Args:
        settings: Settings of the node.
        members: Members of the fleet.
        configuration: Holds the configuration document.
        confirmer: Collects from all instances which configuration they have.
        client: Sends control messages to other nodes.
        journal: Logs acquired and lost leases.
        metrics: Counts tokens and leases.
    """

    def __init__(
        self,
        settings: NodeSettings,
        members: Members,
        configuration: Configuration,
        confirmer: Confirmer,
        client: ControlClient,
        journal: Journal,
        metrics: Metrics,
    ):
        self._settings = settings
        self._members = members
        self._configuration = configuration
        partitions = Partitions(members)
        self._zone_share = ZoneShare(
            settings.zone, configuration, confirmer, self._apply_shares
        )
        self._elector = Elector(members, partitions, settings.fleet.lease)
        self._candidate = Candidate(
            members,
            partitions,
            self._elector,
            client,
            self._get_partitions,
            lambda lease: self._holder.start_lease(lease),
            settings.fleet.lease,
            journal,
            metrics,
        )
        self._holder = Holder(
            members,
            partitions,
            self._candidate,
            client,
            self._get_entitlement,
            settings.fleet.grant,
        )
        self._running_clock = RunningClock()
        self._limiter = RateLimiter(
            members,
            partitions,
            self._holder,
            client,
            lambda workspace: configuration.document.rates.get(workspace),
            metrics,
            self._running_clock,
        )

    @property
    def holder(self) -> Holder:
        """Grants tokens of the partitions that are leased to this instance."""
        return self._holder

    @property
    def limiter(self) -> RateLimiter:
        """Limits root calls that enter at this node."""
        return self._limiter

    def register(self, server: ControlServer) -> None:
        """Register handlers of votes, grants and loans."""
        self._elector.register(server)
        self._holder.register(server)

    def start(self, supervisor: Supervisor) -> None:
        """Start with the current configuration and members."""
        self._zone_share.activate(self._get_reported_shares())
        supervisor.start("leases", self._candidate.run)
        supervisor.start("running clock", self._running_clock.run)
        supervisor.start("shares", self._zone_share.run)

    def apply_document(self) -> None:
        """Apply the rates and shares in the configuration document."""
        self._zone_share.apply_document()
        self._holder.apply_entitlements()

    async def release_leases(self) -> None:
        """Release all leases before a planned stop."""
        await self._candidate.release_leases()

    def _apply_shares(self) -> None:
        self._holder.apply_entitlements()
        if self._members.own.share != self._zone_share.share:
            self._members.update_own(share=self._zone_share.share)

    def _get_reported_shares(self) -> list[float]:
        return [
            member.share
            for member in self._members.get_reachable(self._settings.zone)
            if member.instance != self._settings.instance and member.share >= 0
        ]

    def _get_partitions(self) -> set[int]:
        rates = self._configuration.document.rates
        return {get_partition(workspace) for workspace in rates}

    def _get_entitlement(self, workspace: str) -> Entitlement | None:
        rate = self._configuration.document.rates.get(workspace)
        if rate is None:
            return None
        share = self._zone_share.share
        return Entitlement(rate.per_second * share, rate.burst * share, rate.per_second)

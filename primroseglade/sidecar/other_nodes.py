"""Reported and expected use of a workspace's rate by the other nodes."""

import collections

from .model import Usage

# A node's count of admitted calls may decrease by this much between two reports, as
# calls are given back. A larger decrease indicates a restart.
GIVEN_BACK = 50
# Number of recent fleet demands kept, one per report interval. The oldest is from the
# time of the last report of a node that is found to be silent.
MAX_RECENT_DEMANDS = 4
# A node is silent after three missed reports: it may have stopped, or be behind a
# network partition and still admit calls.
SILENT_SECONDS = 1.5
# A node is forgotten this long after its last report. Until then, each side of a
# network partition reserves a share of the rate for the other.
FORGET_SECONDS = 15.0
# Calls per second below which a change in demand or a baseline is negligible.
FEW_CALLS = 1.0
# Upper bound of the growth of demand assumed at silent nodes.
MAX_GROWTH = 8.0


class RemoteUsage:
    """A workspace's usage at another node.

    Attributes:
        demand: Calls per second received by the node, as last reported.
        admitted: Calls admitted by the node since its start, as last reported.
        silent: Whether the node has stopped reporting.
    """

    __slots__ = ("_expected", "_flow", "admitted", "demand", "silent")

    def __init__(self, demand: float, admitted: int, flow: float):
        self.demand = demand
        self.admitted = admitted
        self.silent = False
        # Calls expected since the last report are counted up to this flow value.
        self._flow = flow
        self._expected = 0.0

    def update(self, told: Usage, flow: float) -> float:
        """Apply a report; return the calls admitted beyond expectation."""
        passed = told.admitted - self.admitted
        if passed < -GIVEN_BACK:
            # The node has restarted: its count began again at zero.
            passed = told.admitted
        expected = self._expected + self.demand * (flow - self._flow)
        self.demand = told.demand
        self.admitted = told.admitted
        self._flow = flow
        self._expected = 0.0
        return passed - expected

    def change_flow(self, old: float, new: float) -> None:
        """Switch to another flow, keeping the calls expected so far.

        Args:
            old: Current value of the flow used until now.
            new: Current value of the flow to use from now on.
        """
        self._expected += self.demand * (old - self._flow)
        self._flow = new


class OtherNodes:
    """A workspace's usage at all other nodes.

    A node that stops reporting may be behind a network partition and still admit
    calls. To keep both sides from spending the same tokens, its demand is assumed to
    grow at the same ratio as that of the reporting nodes, so that their share of the
    rate stays constant. Its excess is assumed to be proportional to theirs.
    """

    def __init__(self) -> None:
        self._usages: dict[str, RemoteUsage] = {}
        self._demand = 0.0
        self._own_demand = 0.0
        # Cumulative calls expected per unit of demand. A single sum for all nodes keeps
        # the cost of a call independent of their number.
        self._flow = 0.0
        # As `_flow`, but for silent nodes: includes the assumed growth of their demand.
        self._silent_flow = 0.0
        # Fleet demand known to this node, one value per report interval.
        self._recent_demands: collections.deque[float] = collections.deque(
            maxlen=MAX_RECENT_DEMANDS
        )
        # Last reported demand of the nodes that are now silent.
        self._silent_demand = 0.0
        # Demand of the reporting nodes before the others became silent. Growth of
        # demand at silent nodes is estimated against it.
        self._baseline_demand = FEW_CALLS
        # Calls deducted because silent nodes may have exceeded expectation, less those
        # that have been reported since.
        self._silent_excess = 0.0

    def __len__(self) -> int:
        return len(self._usages)

    @property
    def reported_demand(self) -> float:
        """Calls per second received by the other nodes, as last reported."""
        return self._demand

    @property
    def demand(self) -> float:
        """As `reported_demand`, with assumed growth at silent nodes."""
        return self._demand + self._silent_demand * (self._get_silent_growth() - 1.0)

    def record_fleet_demand(self) -> None:
        """Record the fleet's demand; called once per report interval."""
        self._recent_demands.append(self._own_demand + self._demand)

    def note_own_report(self, demand: float) -> None:
        """Record the demand that this node reported."""
        self._own_demand = demand

    def advance_flow(self, increase: float) -> None:
        """Increase the calls expected per unit of demand."""
        self._flow += increase
        self._silent_flow += increase * self._get_silent_growth()

    def note_report(self, node: str, told: Usage) -> float | None:
        """Apply a report of another node.

        Returns:
            Calls beyond expectation; None for the first report of a node.
        """
        known = self._usages.get(node)
        if known is None:
            self._demand += told.demand
            self._usages[node] = RemoteUsage(told.demand, told.admitted, self._flow)
            return None
        was_silent = known.silent
        if was_silent:
            self._clear_silent(known)
        self._demand += told.demand - known.demand
        unexpected = known.update(told, self._flow)
        if was_silent:
            # Calls deducted while the node was silent must not be counted twice.
            deducted = min(self._silent_excess, max(0.0, unexpected))
            self._silent_excess -= deducted
            unexpected -= deducted
        return unexpected

    def assume_silent_excess(self, excess: float) -> float:
        """Record and return the assumed excess of silent nodes.

        Args:
            excess: Calls beyond expectation at a reporting node.
        """
        if excess <= 0 or not self._silent_demand:
            return 0.0
        assumed = excess * self._silent_demand / self._baseline_demand
        self._silent_excess += assumed
        return assumed

    def note_silent(self, node: str) -> None:
        """Assume that a node that stopped reporting still admits calls."""
        usage = self._usages.get(node)
        if usage is None or usage.silent:
            return
        if not self._silent_demand:
            # A remainder from earlier silent nodes must not offset new reports.
            self._silent_excess = 0.0
        usage.silent = True
        usage.change_flow(self._flow, self._silent_flow)
        self._silent_demand += usage.demand
        # As of the node's last report: demand may have risen since.
        fleet = self._recent_demands[0] if self._recent_demands else 0.0
        self._baseline_demand = max(FEW_CALLS, fleet - self._silent_demand)

    def note_heard(self, node: str) -> None:
        """Treat a silent node as reporting again."""
        usage = self._usages.get(node)
        if usage is not None and usage.silent:
            self._clear_silent(usage)

    def forget(self, node: str) -> None:
        """Remove a node and expect no further calls from it."""
        usage = self._usages.pop(node, None)
        if usage is None:
            return
        if usage.silent:
            self._clear_silent(usage)
            # Undoes the addition in `_clear_silent`: this node does not report again.
            self._baseline_demand -= usage.demand
        self._demand = sum(other.demand for other in self._usages.values())

    def _clear_silent(self, usage: RemoteUsage) -> None:
        usage.silent = False
        usage.change_flow(self._silent_flow, self._flow)
        # The demand of the reporting nodes includes this node from now on. It must not
        # count as growth.
        self._baseline_demand += usage.demand
        self._silent_demand = sum(
            other.demand for other in self._usages.values() if other.silent
        )

    def _get_silent_growth(self) -> float:
        """Return the assumed growth factor of demand at silent nodes."""
        if not self._silent_demand:
            return 1.0
        reporting = self._own_demand + self._demand - self._silent_demand
        return min(MAX_GROWTH, max(1.0, reporting / self._baseline_demand))

"""Collects the load of all services, for admission and for load balancing."""

from ..observe.events import ADMISSION_LEVELS, Journal
from .admission import Admission
from .backend import Backend
from .call_graph import CallGraph
from .call_ratios import CallRatioEstimator
from .fleet import Fleet, Survey
from .load_balancing import estimate_penalty_ms
from .policy_tracker import PolicyTracker
from .service_load import ServiceLoad
from .zone_costs import ZoneCosts

# Interval between rebuilds of the call graph. Shorter intervals would gain nothing, as
# call ratios are broadcast less often. New routes cause a rebuild at once.
GRAPH_REBUILD_SECONDS = 1.0
# Interval between log lines of the admission levels, which are updated more often. They
# are logged while any level is below 1, and once more when all are back at 1.
ADMISSION_LOG_INTERVAL_SECONDS = 1.0


class LoadMonitor:
    """Combines the load of this node with the loads that other nodes broadcast.

    From the result it updates the admission levels, the call graph and the costs of
    calls in each availability zone.

    Args:
        backend: The local backend server.
        fleet: The other nodes.
        admission: Receives the load and demand of each service.
        graph: Receives the call ratios of each service.
        zone_costs: Receives the cost of a call in each availability zone.
        call_ratios: Estimates how many calls the local backend server makes for each
            call that it serves.
        policies: Provides the routes in force.
        journal: Logs admission levels.
    """

    def __init__(
        self,
        backend: Backend,
        fleet: Fleet,
        admission: Admission,
        graph: CallGraph,
        zone_costs: ZoneCosts,
        call_ratios: CallRatioEstimator,
        policies: PolicyTracker,
        journal: Journal,
    ):
        self._backend = backend
        self._fleet = fleet
        self._admission = admission
        self._graph = graph
        self._zone_costs = zone_costs
        self._call_ratios = call_ratios
        self._policies = policies
        self._journal = journal
        self._shedding_at_last_log = False
        self._admission_logged_at = 0.0
        self._graph_built_at = 0.0
        self._reported_route_count = 0
        #: Average number of calls in flight at the local backend server between the
        #: last two ticks of the periodic scheduler.
        self.average_in_flight = 0.0
        #: Calls running at the local backend server that waited for calls of their own
        #: at the last tick.
        self.blocked = 0

    def update(self, now: float) -> None:
        """Update admission levels, costs and graph; called at every scheduler tick."""
        survey = self._survey(now)
        self._admission.update(survey.loads, survey.demand, now)
        self._log_admission_levels(survey, now)
        self._zone_costs.refresh(survey.min_costs_ms)
        route_count = self._count_reported_routes()
        if (
            now - self._graph_built_at > GRAPH_REBUILD_SECONDS
            or route_count > self._reported_route_count
        ):
            self._graph_built_at = now
            self._reported_route_count = route_count
            self._rebuild_graph(now)

    def _survey(self, now: float) -> Survey:
        """Return the load, costs and demand of all nodes, this one included."""
        survey = self._fleet.survey()
        backend = self._backend
        self.average_in_flight = backend.queue.take_average_in_flight()
        self.blocked = backend.count_blocked()
        local_candidate = backend.build_candidate("")
        if local_candidate is not None:
            load = survey.loads.setdefault(backend.service, ServiceLoad())
            warm_up = backend.warm_up
            if warm_up.start_rate:
                load.add_cold(warm_up.start_rate, warm_up.remaining_seconds)
            elif backend.request_limit.rate:
                load.add_limited(
                    backend.request_limit.rate,
                    self.average_in_flight,
                    backend.slots,
                    backend.slot_ms,
                )
            else:
                load.add(
                    self.average_in_flight,
                    backend.slots,
                    backend.slot_ms,
                    self.blocked,
                    backend.work_ms,
                )
            cost_ms = estimate_penalty_ms(local_candidate)
            survey.record_cost(backend.service, self._fleet.zone, cost_ms)
        for service, calls in self._admission.measure_demand(now).items():
            survey.demand[service] = survey.demand.get(service, 0.0) + calls
        return survey

    def _log_admission_levels(self, survey: Survey, now: float) -> None:
        admission_levels = self._admission.admission_levels
        if not admission_levels and not self._shedding_at_last_log:
            return
        if (
            now - self._admission_logged_at < ADMISSION_LOG_INTERVAL_SECONDS
            and admission_levels
        ):
            return
        self._admission_logged_at = now
        self._shedding_at_last_log = bool(admission_levels)
        loads = survey.loads
        self._journal.emit(
            ADMISSION_LEVELS,
            levels={name: round(level, 2) for name, level in admission_levels.items()},
            pressure={name: round(load.utilization, 2) for name, load in loads.items()},
            capacity={name: round(load.capacity) for name, load in loads.items()},
            demand={name: round(calls) for name, calls in survey.demand.items()},
            calls=self._graph.get_expected_calls("", self._backend.service),
        )

    def _count_reported_routes(self) -> int:
        """Return the number of routes with call ratios, summed over other nodes."""
        return sum(len(peer.state.downstream_calls or ()) for peer in self._fleet)

    def _rebuild_graph(self, now: float) -> None:
        reported_ratios = [
            (peer.entry.service, peer.state.downstream_calls)
            for peer in self._fleet
            if peer.connected and peer.state.downstream_calls
        ]
        own_ratios = self._call_ratios.get_ratios(now)
        if own_ratios:
            reported_ratios.append((self._backend.service, own_ratios))
        self._graph.rebuild(reported_ratios, self._policies.routes.by_name)

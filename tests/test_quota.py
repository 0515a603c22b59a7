"""Tests of workspace rates that the token holders of a fleet share."""

from collections.abc import Callable

import pytest

from primroseglade.emulator.network import NetworkPartition
from primroseglade.emulator.rate_scenarios import (
    freeze_holders,
    get_side_of_split_between_zones,
    get_side_of_split_within_zones,
    kill_all,
    kill_holders,
)
from primroseglade.emulator.rate_simulation import (
    add_callers,
    CallOutcomes,
    count_ideal_admissions,
    count_tolerated_calls,
    Demand,
    simulate_workspace,
    WARM_UP_SECONDS,
)
from primroseglade.emulator.rates import RateFleet, WINDOW_SECONDS
from primroseglade.sidecar.model import Tenant

from .rates import OneHolder


def assert_rate_kept(outcomes: CallOutcomes, rate: float) -> None:
    """Check that no window has more admitted calls than operators tolerate."""
    assert outcomes.get_max_calls_per_window() <= count_tolerated_calls(rate, rate)


@pytest.mark.parametrize(
    ("nodes", "rate", "times"),
    [(18, 100.0, 7.5), (18, 300.0, 7.5), (88, 60.0, 7.5), (88, 300.0, 7.5)],
)
def test_a_workspace_at_several_times_its_rate_keeps_to_it(
    nodes: int, rate: float, times: float
):
    """Guards against many nodes spending the same tokens when calls begin."""
    outcomes = simulate_workspace(nodes, rate, Demand(times), 12.0, seed=1)
    assert_rate_kept(outcomes, rate)
    assert len(outcomes.admission_times) >= 0.75 * rate * 12.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("nodes", "rate", "times"),
    [
        (14, 147.0, 7.5),
        (14, 147.0, 15.0),
        (18, 284.0, 7.5),
        (78, 284.0, 7.5),
        (78, 20.0, 7.5),
        (195, 5.0, 7.5),
    ],
)
def test_a_workspace_at_its_rate_keeps_to_it_when_demand_rises(
    nodes: int, rate: float, times: float, seed: int
):
    """Guards against all nodes spending the same tokens when demand rises suddenly."""
    outcomes = simulate_workspace(nodes, rate, Demand(1.1, (7.0, times)), 14.0, seed)
    assert_rate_kept(outcomes, rate)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "sides", [get_side_of_split_between_zones, get_side_of_split_within_zones]
)
@pytest.mark.parametrize(
    ("partition", "rise_at"),
    [((6.0, 11.0), 8.0), ((6.0, 15.0), 13.0), ((6.0, 11.0), 6.0), ((6.0, 11.0), 5.8)],
)
def test_a_rate_is_kept_during_a_network_partition(
    partition: tuple[float, float], rise_at: float, sides, seed: int
):
    """Guards against each half of a split fleet exceeding its part of the rate."""
    demand = Demand(1.06, (rise_at, 7.5))
    partitions = [NetworkPartition(*partition, sides)]
    outcomes = simulate_workspace(14, 147.0, demand, 18.0, seed, partitions=partitions)
    assert_rate_kept(outcomes, 147.0)
    ideal = count_ideal_admissions(outcomes.arrival_times, 147.0, 147.0)
    assert len(outcomes.admission_times) >= 0.8 * ideal


def schedule_at_rise(event: Callable[[RateFleet], None]) -> Callable[[RateFleet], None]:
    """Return a function that schedules an event twice around the rise of demand."""

    def inject_faults(fleet: RateFleet) -> None:
        for at in (WARM_UP_SECONDS + 6.0, WARM_UP_SECONDS + 6.5):
            fleet.simulation.schedule(at, lambda: event(fleet))

    return inject_faults


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("event", [kill_holders, freeze_holders, kill_all])
@pytest.mark.parametrize(("nodes", "rate"), [(14, 147.0), (78, 20.0), (195, 5.0)])
def test_failed_holders_do_not_spend_a_bucket_twice(
    nodes: int, rate: float, event, seed: int
):
    """Guards against spending a bucket twice after its holder was killed, frozen and
    resumed, or restarted twice within a second.
    """
    demand = Demand(3.0, (5.5, 7.5))
    outcomes = simulate_workspace(
        nodes, rate, demand, 16.0, seed, inject_faults=schedule_at_rise(event)
    )
    assert_rate_kept(outcomes, rate)


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_a_small_rate_is_kept_by_many_nodes(seed: int):
    """Guards against many nodes that exceed a small rate by a few calls each."""
    outcomes = simulate_workspace(78, 20.0, Demand(4.5), 12.0, seed)
    assert_rate_kept(outcomes, 20.0)


@pytest.mark.parametrize("nodes", [18, 88])
def test_a_workspace_within_its_rate_is_not_refused(nodes: int):
    """Guards against refusing calls at the usual load of 60 % of the rate."""
    outcomes = simulate_workspace(nodes, 60.0, Demand(0.6), 12.0, seed=1)
    assert len(outcomes.admission_times) >= 0.98 * len(outcomes.arrival_times)


@pytest.mark.parametrize(("nodes", "rate"), [(14, 147.0), (88, 60.0), (195, 5.0)])
def test_a_workspace_close_to_its_rate_is_served_as_by_one_bucket(
    nodes: int, rate: float
):
    """Guards against refusing calls while a holder in another zone has tokens."""
    outcomes = simulate_workspace(nodes, rate, Demand(0.9), 20.0, seed=1)
    assert len(outcomes.admission_times) >= 0.999 * count_ideal_admissions(
        outcomes.arrival_times, rate, rate
    )


@pytest.mark.parametrize("nodes", [14, 195])
def test_a_burst_of_less_than_a_token_at_each_holder_admits_calls(nodes: int):
    """Guards against refusing all calls of a workspace whose burst is so small that
    holders have to borrow fractions to get a whole token.
    """
    all_outcomes = [
        simulate_workspace(nodes, 2.0, Demand(0.9), 16.0, seed) for seed in (1, 2, 3)
    ]
    ideal = sum(
        count_ideal_admissions(outcomes.arrival_times, 2.0, 2.0)
        for outcomes in all_outcomes
    )
    assert (
        sum(len(outcomes.admission_times) for outcomes in all_outcomes) >= 0.95 * ideal
    )


def test_callers_of_one_zone_get_the_whole_rate():
    """Guards against refusing calls while only zones without calls have tokens."""
    fleet = RateFleet([node % 6 for node in range(30)], seed=1)
    tenant = Tenant("north", 1, 60.0, 60.0)
    zone_nodes = [node for node in range(30) if node % 6 == 2]
    outcomes = add_callers(
        fleet, tenant, Demand(0.9), WARM_UP_SECONDS, 20.0, zone_nodes
    )
    fleet.simulation.run(20.0)
    assert len(outcomes.admission_times) >= 0.99 * count_ideal_admissions(
        outcomes.arrival_times, 60.0, 60.0
    )


@pytest.mark.parametrize(("nodes", "rate"), [(13, 60.0), (78, 45.0)])
def test_workspaces_are_served_after_the_whole_fleet_started_again(
    nodes: int, rate: float
):
    """Guards against refusing most calls in the first seconds after a restart of all
    nodes, when no holder has any tokens stored.
    """
    outcomes = simulate_workspace(
        nodes, rate, Demand(0.65), 3.0, seed=1, first_start=False
    )
    calls = len(outcomes.arrival_times)
    assert len(outcomes.admission_times) >= 0.75 * calls
    assert sum(now < 1.0 for now in outcomes.admission_times) >= 0.5 * calls / 3.0


@pytest.mark.parametrize(("nodes", "rate"), [(13, 20.0), (88, 5.0), (195, 5.0)])
def test_small_workspaces_are_served_at_once_after_a_restart(nodes: int, rate: float):
    """Guards against refusing all calls of workspaces with small rates for a second
    after a restart of all nodes, until each holder has accrued a whole token.
    """
    all_outcomes = [
        simulate_workspace(nodes, rate, Demand(0.65), 2.0, seed, first_start=False)
        for seed in range(1, 11)
    ]
    calls = sum(len(outcomes.arrival_times) for outcomes in all_outcomes)
    assert (
        sum(len(outcomes.admission_times) for outcomes in all_outcomes) >= 0.9 * calls
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rate", [5.0, 147.0])
def test_two_restarts_in_a_window_keep_the_rate(rate: float, seed: int):
    """Guards against exceeding the rate by the initial tokens of two restarts."""

    def inject_faults(fleet: RateFleet) -> None:
        for at in (6.0, 7.5):
            fleet.simulation.schedule(
                WARM_UP_SECONDS + at,
                lambda: [fleet.kill(number, 0.3) for number in range(fleet.size)],
            )

    outcomes = simulate_workspace(
        14, rate, Demand(7.5), 14.0, seed, inject_faults=inject_faults
    )
    assert_rate_kept(outcomes, rate)


@pytest.mark.parametrize(("nodes", "rate"), [(13, 60.0), (78, 45.0), (78, 300.0)])
def test_a_restart_gives_no_second_burst(nodes: int, rate: float):
    """Guards against a second burst for workspaces that spent theirs just before the
    whole fleet was restarted.
    """
    outcomes = simulate_workspace(
        nodes, rate, Demand(4.5), WINDOW_SECONDS, seed=2, first_start=False
    )
    assert len(outcomes.admission_times) <= rate * WINDOW_SECONDS * 1.1 + 20


def test_a_workspace_a_little_over_its_rate_may_use_the_tolerance():
    """Guards against refusing calls beyond the rate that operators tolerate."""
    outcomes = simulate_workspace(18, 100.0, Demand(1.1), 15.0, seed=1)
    assert len(outcomes.admission_times) >= 0.98 * len(outcomes.arrival_times)
    assert_rate_kept(outcomes, 100.0)


def test_refunded_tokens_can_be_used_again():
    """Guards against refusing calls within the rate after tokens were refunded."""
    holder = OneHolder(nodes=2)
    tenant = Tenant("north", 1, 100.0, 100.0)
    holder.now = 0.1
    for _ in range(80):
        holder.take(tenant)
        holder.quotas.refund(tenant)
    holder.now = 0.2
    # The holder has the share of one of two nodes: half of the burst of 100 tokens.
    assert sum(holder.take(tenant) for _ in range(100)) >= 45


def test_tokens_refunded_late_add_no_burst():
    """Guards against admitting a second burst with the tokens of calls that waited for
    two seconds and then did not run.
    """
    holder = OneHolder()
    tenant = Tenant("north", 1, 100.0, 100.0)
    for number in range(300):
        holder.now = number / 150
        holder.take(tenant)
    for _ in range(250):
        holder.quotas.refund(tenant)
    # By now, calls are no longer refused because of the last refusal.
    holder.now = 2.1
    taken = sum(holder.take(tenant) for _ in range(400))
    assert 90 <= taken <= 100 + 1


def test_unspent_tokens_go_back_to_the_holder():
    """Guards against losing tokens prefetched for calls that never arrived."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 0.001, 100.0)
    for number in range(20):
        holder.now = number * 0.01
        assert holder.take(tenant)
    # All prefetched tokens have expired by now.
    holder.now = 5.0
    taken = sum(holder.take(tenant) for _ in range(100))
    assert taken == 80


def test_a_lower_rate_applies_once_it_is_rolled_out():
    """Guards against applying a lower rate before all nodes have it."""
    holder = OneHolder()
    before = Tenant("north", 1, 100.0, 100.0)
    after = Tenant("north", 1, 1.0, 1.0)
    assert holder.take(before, version=1)
    holder.now = 0.1
    early = sum(holder.take(after, version=2, rolled_out=False) for _ in range(50))
    holder.now = 2.0
    late = sum(holder.take(after, version=2, rolled_out=True) for _ in range(50))
    assert early == 50
    assert late <= 2


def test_a_higher_rate_applies_at_once():
    """Guards against applying a raised rate only after it has reached all nodes."""
    holder = OneHolder()
    low = Tenant("north", 1, 1.0, 1.0)
    high = Tenant("north", 1, 100.0, 100.0)
    assert holder.take(low, version=1)
    holder.now = 0.01
    assert not holder.take(low, version=1)
    later = 0
    for number in range(50):
        holder.now = 0.1 + number * 0.01
        later += holder.take(high, version=2, rolled_out=False)
    assert later >= 45


def test_a_rate_of_zero_means_no_limit():
    """Guards against treating a rate of 0, which means no limit, as the lowest."""
    assert Tenant("n", 1, 0.0, 0.0).has_higher_rate_than(Tenant("n", 1, 5.0, 5.0))
    assert not Tenant("n", 1, 5.0, 5.0).has_higher_rate_than(Tenant("n", 1, 0.0, 0.0))
    holder = OneHolder()
    assert all(holder.take(Tenant("n", 1, 0.0, 0.0)) for _ in range(50))


def test_a_workspace_over_its_rate_gets_few_refunds():
    """Guards against giving tokens to all calls of a workspace far over its rate,
    because the tokens of the calls that admission control refuses are refunded.
    """
    holder = OneHolder()
    tenant = Tenant("north", 1, 100.0, 100.0)
    passed = 0
    for number in range(7000):
        holder.now = number / 700
        if holder.take(tenant):
            passed += 1
            holder.quotas.refund_refused(tenant)
    assert passed < 0.3 * 7000
    assert passed > 100.0 * 10


def test_a_refusal_contains_the_holder_and_its_remaining_tokens():
    """Guards against refusals without the holder and its remaining tokens."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 2.0, 2.0)
    decisions = [holder.decide(tenant) for _ in range(3)]
    assert [decision.granted for decision in decisions] == [True, True, False]
    assert decisions[-1].holder == "there"
    assert decisions[-1].remaining_tokens < 1.0


def test_an_entry_over_the_rate_does_not_ask_for_each_call():
    """Guards against sending the holder a request for each call over the rate."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 10.0, 10.0)
    for number in range(3000):
        holder.now = number / 3000
        holder.take(tenant)
    assert len(holder.requests) <= 45


def test_a_holder_that_does_not_answer_delays_few_calls():
    """Guards against each call waiting for a holder that does not answer."""
    holder = OneHolder()
    holder.silent = True
    tenant = Tenant("north", 1, 10.0, 10.0)
    for number in range(100):
        holder.now = number / 100
        assert not holder.take(tenant)
    assert len(holder.requests) <= 45

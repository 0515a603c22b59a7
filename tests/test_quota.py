"""A workspace's rate over many nodes whose token holders share it."""

from collections.abc import Callable

import pytest

from primroseglade.emulator.network import Cut
from primroseglade.emulator.rate_plays import (
    add_callers,
    count_allowed,
    count_ideal,
    Demand,
    LEAD_SECONDS,
    Play,
    play_workspace,
)
from primroseglade.emulator.rate_scenarios import (
    freeze_holders,
    kill_all,
    kill_holders,
    split_each_zone,
    split_zones,
)
from primroseglade.emulator.rates import RateFleet, WINDOW_SECONDS
from primroseglade.sidecar.model import Tenant

from .rates import OneHolder


def assert_kept(play: Play, rate: float) -> None:
    """Check that no window of a workspace has more calls than are tolerated."""
    assert play.find_worst_window() <= count_allowed(rate, rate)


@pytest.mark.parametrize(
    ("nodes", "rate", "times"),
    [(18, 100.0, 7.5), (18, 300.0, 7.5), (88, 60.0, 7.5), (88, 300.0, 7.5)],
)
def test_a_workspace_at_several_times_its_rate_keeps_to_it(
    nodes: int, rate: float, times: float
):
    """Guards against many nodes spending the same tokens when demand starts."""
    play = play_workspace(nodes, rate, Demand(times), 12.0, seed=1)
    assert_kept(play, rate)
    assert len(play.admitted) >= 0.75 * rate * 12.0


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
    play = play_workspace(nodes, rate, Demand(1.1, (7.0, times)), 14.0, seed)
    assert_kept(play, rate)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("sides", [split_zones, split_each_zone])
@pytest.mark.parametrize(
    ("partition", "rise_at"),
    [((6.0, 11.0), 8.0), ((6.0, 15.0), 13.0), ((6.0, 11.0), 6.0), ((6.0, 11.0), 5.8)],
)
def test_a_rate_is_kept_during_a_network_partition(
    partition: tuple[float, float], rise_at: float, sides, seed: int
):
    """Guards against each half of a split fleet exceeding its part of the rate."""
    demand = Demand(1.06, (rise_at, 7.5))
    cuts = [Cut(*partition, sides)]
    play = play_workspace(14, 147.0, demand, 18.0, seed, cuts=cuts)
    assert_kept(play, 147.0)
    ideal = count_ideal(play.arrivals, 147.0, 147.0)
    assert len(play.admitted) >= 0.8 * ideal


def at_rise(event: Callable[[RateFleet], None]) -> Callable[[RateFleet], None]:
    """Return what has an event happen twice about the time at which demand rises."""

    def inject_faults(fleet: RateFleet) -> None:
        for at in (LEAD_SECONDS + 6.0, LEAD_SECONDS + 6.5):
            fleet.simulation.schedule(at, lambda: event(fleet))

    return inject_faults


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("event", [kill_holders, freeze_holders, kill_all])
@pytest.mark.parametrize(("nodes", "rate"), [(14, 147.0), (78, 20.0), (195, 5.0)])
def test_holders_that_fail_make_no_tokens(nodes: int, rate: float, event, seed: int):
    """Guards against spending a bucket twice when its holder is killed, paused and
    woken, or restarted twice in a second.
    """
    demand = Demand(3.0, (5.5, 7.5))
    play = play_workspace(nodes, rate, demand, 16.0, seed, inject_faults=at_rise(event))
    assert_kept(play, rate)


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_a_small_rate_is_kept_by_many_nodes(seed: int):
    """Guards against many nodes exceeding a small rate, each with a few calls."""
    play = play_workspace(78, 20.0, Demand(4.5), 12.0, seed)
    assert_kept(play, 20.0)


@pytest.mark.parametrize("nodes", [18, 88])
def test_a_workspace_within_its_rate_is_not_refused(nodes: int):
    """Guards against refusing calls at the usual six tenths of the rate."""
    play = play_workspace(nodes, 60.0, Demand(0.6), 12.0, seed=1)
    assert len(play.admitted) >= 0.98 * len(play.arrivals)


@pytest.mark.parametrize(("nodes", "rate"), [(14, 147.0), (88, 60.0), (195, 5.0)])
def test_a_workspace_close_to_its_rate_is_served_as_by_one_bucket(
    nodes: int, rate: float
):
    """Guards against refusing calls while another zone has the tokens for them."""
    play = play_workspace(nodes, rate, Demand(0.9), 20.0, seed=1)
    assert len(play.admitted) >= 0.999 * count_ideal(play.arrivals, rate, rate)


@pytest.mark.parametrize("nodes", [14, 195])
def test_a_burst_of_less_than_a_token_at_each_holder_is_of_use(nodes: int):
    """Guards against refusing all calls of a workspace with a very small burst, whose
    holders have to put a token together from parts.
    """
    plays = [play_workspace(nodes, 2.0, Demand(0.9), 16.0, seed) for seed in (1, 2, 3)]
    ideal = sum(count_ideal(play.arrivals, 2.0, 2.0) for play in plays)
    assert sum(len(play.admitted) for play in plays) >= 0.95 * ideal


def test_callers_of_one_zone_get_the_whole_rate():
    """Guards against refusing calls whose tokens are in zones without callers."""
    fleet = RateFleet([n % 6 for n in range(30)], seed=1)
    tenant = Tenant("north", 1, 60.0, 60.0)
    zone_nodes = [n for n in range(30) if n % 6 == 2]
    play = add_callers(fleet, tenant, Demand(0.9), LEAD_SECONDS, 20.0, zone_nodes)
    fleet.simulation.run(20.0)
    assert len(play.admitted) >= 0.99 * count_ideal(play.arrivals, 60.0, 60.0)


@pytest.mark.parametrize(("nodes", "rate"), [(13, 60.0), (78, 45.0)])
def test_workspaces_are_served_after_the_whole_fleet_started_again(
    nodes: int, rate: float
):
    """Guards against refusing most calls in the seconds after a restart of all nodes,
    when no holder has stored any tokens.
    """
    play = play_workspace(nodes, rate, Demand(0.65), 3.0, seed=1, first_start=False)
    calls = len(play.arrivals)
    assert len(play.admitted) >= 0.75 * calls
    assert sum(now < 1.0 for now in play.admitted) >= 0.5 * calls / 3.0


@pytest.mark.parametrize(("nodes", "rate"), [(13, 20.0), (88, 5.0), (195, 5.0)])
def test_small_workspaces_are_served_at_once_after_a_restart(nodes: int, rate: float):
    """Guards against refusing all calls of small workspaces for a second after a
    restart of all nodes, until their rate has accrued a token at each holder.
    """
    plays = [
        play_workspace(nodes, rate, Demand(0.65), 2.0, seed, first_start=False)
        for seed in range(1, 11)
    ]
    calls = sum(len(play.arrivals) for play in plays)
    assert sum(len(play.admitted) for play in plays) >= 0.9 * calls


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rate", [5.0, 147.0])
def test_two_restarts_in_a_window_keep_the_rate(rate: float, seed: int):
    """Guards against tokens that each restart of the whole fleet adds."""

    def inject_faults(fleet: RateFleet) -> None:
        for at in (6.0, 7.5):
            fleet.simulation.schedule(
                LEAD_SECONDS + at,
                lambda: [fleet.kill(number, 0.3) for number in range(fleet.size)],
            )

    play = play_workspace(
        14, rate, Demand(7.5), 14.0, seed, inject_faults=inject_faults
    )
    assert_kept(play, rate)


@pytest.mark.parametrize(("nodes", "rate"), [(13, 60.0), (78, 45.0), (78, 300.0)])
def test_a_restart_gives_no_second_burst(nodes: int, rate: float):
    """Guards against a second burst for workspaces that had spent theirs just before
    the whole fleet was restarted.
    """
    play = play_workspace(
        nodes, rate, Demand(4.5), WINDOW_SECONDS, seed=2, first_start=False
    )
    assert len(play.admitted) <= rate * WINDOW_SECONDS * 1.1 + 20


def test_a_workspace_a_little_over_its_rate_gets_what_operators_allow():
    """Guards against refusing to the last call what operators tolerate."""
    play = play_workspace(18, 100.0, Demand(1.1), 15.0, seed=1)
    assert len(play.admitted) >= 0.98 * len(play.arrivals)
    assert_kept(play, 100.0)


def test_calls_given_back_reserve_no_tokens():
    """Guards against refusing calls within the rate after calls are given back."""
    holder = OneHolder(nodes=2)
    tenant = Tenant("north", 1, 100.0, 100.0)
    holder.now = 0.1
    for _ in range(80):
        holder.take(tenant)
        holder.quotas.refund(tenant)
    holder.now = 0.2
    # Of two nodes, this holder has the share of one: half of a bucket of 100 tokens.
    assert sum(holder.take(tenant) for _ in range(100)) >= 45


def test_calls_given_back_late_add_no_burst():
    """Guards against letting calls through a second time, beside those of the next
    seconds, that were held for two seconds and then did not run.
    """
    holder = OneHolder()
    tenant = Tenant("north", 1, 100.0, 100.0)
    for number in range(300):
        holder.now = number / 150
        holder.take(tenant)
    for _ in range(250):
        holder.quotas.refund(tenant)
    # The refusal of the last call holds for a moment.
    holder.now = 2.1
    taken = sum(holder.take(tenant) for _ in range(400))
    assert 90 <= taken <= 100 + 1


def test_unspent_tokens_go_back_to_the_holder():
    """Guards against losing tokens that an entry got ahead of calls that never came."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 0.001, 100.0)
    for number in range(20):
        holder.now = number * 0.01
        assert holder.take(tenant)
    # Whatever was granted ahead has expired by now.
    holder.now = 5.0
    taken = sum(holder.take(tenant) for _ in range(100))
    assert taken == 80


def test_a_lower_rate_holds_once_all_nodes_know_it():
    """Guards against refusing by a lower rate before all nodes have it."""
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


def test_a_higher_rate_holds_at_once():
    """Guards against delaying what the operator has just granted."""
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


def test_no_limit_is_the_highest():
    """Guards against taking a rate of 0, which means none, for the lowest of all."""
    assert Tenant("n", 1, 0.0, 0.0).is_higher_than(Tenant("n", 1, 5.0, 5.0))
    assert not Tenant("n", 1, 5.0, 5.0).is_higher_than(Tenant("n", 1, 0.0, 0.0))
    holder = OneHolder()
    assert all(holder.take(Tenant("n", 1, 0.0, 0.0)) for _ in range(50))


def test_a_greedy_workspace_gets_no_more_of_an_overloaded_service():
    """Guards against counting all calls of a workspace over its rate as demand, while
    admission refuses them and their tokens are given back.
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


def test_a_refusal_tells_who_held_the_tokens():
    """Guards against refusals that say nothing of how they came about."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 2.0, 2.0)
    decisions = [holder.decide(tenant) for _ in range(3)]
    assert [decision.granted for decision in decisions] == [True, True, False]
    assert decisions[-1].holder == "there"
    assert decisions[-1].remaining_tokens < 1.0


def test_an_entry_over_the_rate_does_not_ask_for_each_call():
    """Guards against a request to the holder for each call of a flood."""
    holder = OneHolder()
    tenant = Tenant("north", 1, 10.0, 10.0)
    for number in range(3000):
        holder.now = number / 3000
        holder.take(tenant)
    assert len(holder.requests) <= 45


def test_a_holder_that_does_not_answer_delays_few_calls():
    """Guards against waiting for a silent holder with each call."""
    holder = OneHolder()
    holder.silent = True
    tenant = Tenant("north", 1, 10.0, 10.0)
    for number in range(100):
        holder.now = number / 100
        assert not holder.take(tenant)
    assert len(holder.requests) <= 45

"""Tests of the leases by which nodes lend their shares of all rates."""

import pytest

from primroseglade.emulator.network import NetworkPartition
from primroseglade.emulator.rate_scenarios import (
    get_side_of_isolated_nodes,
    get_side_of_split_between_zones,
    get_side_of_split_within_zones,
)
from primroseglade.emulator.rate_simulation import (
    WARM_UP_SECONDS,
)
from primroseglade.emulator.rates import RateFleet
from primroseglade.sidecar.share_leases import (
    LEASE_SECONDS,
    LeaseTable,
    RemoteClock,
    ShareLender,
)


def test_a_share_is_lent_to_one_holder_at_a_time():
    """Guards against two holders using the same share."""
    lender = ShareLender()
    assert lender.may_lend("a", 0.0)
    lender.record_lease_sent("a", 0.0)
    assert lender.may_lend("a", 0.5)
    assert not lender.may_lend("b", LEASE_SECONDS - 0.01)
    assert lender.may_lend("b", LEASE_SECONDS)


def test_tokens_are_requested_from_the_holder_of_the_share():
    """Guards against requests to a new holder while the former one has the share."""
    lender = ShareLender()
    lender.record_lease_sent("a", 0.0)
    assert lender.choose_holder("b", lambda name: True, 0.5) == "a"
    assert lender.choose_holder("b", lambda name: name != "a", 0.5) == "b"
    assert lender.choose_holder("b", lambda name: True, LEASE_SECONDS) == "b"


def test_a_delayed_lease_ends_no_later_than_its_lender_expects():
    """Guards against two holders of a share after a lease was delayed: its end is sent
    as an estimate of the receiver's clock, which is never ahead of that clock.
    """
    holder_ahead = 1000.0
    clock = RemoteClock()
    remote_time, received = holder_ahead + 1.0, 1.3
    clock.record(remote_time, received)
    sent = 2.0
    until = clock.estimate(sent) + LEASE_SECONDS
    assert until <= holder_ahead + sent + LEASE_SECONDS
    leases = LeaseTable(lambda: 1, 0.0)
    leases.renew("lender", until, holder_ahead + sent + LEASE_SECONDS + 0.1)
    assert leases.share == 0.0


def test_shares_accrue_until_the_leases_end():
    """Guards against accruing past a lease's end when `advance` is called late."""
    leases = LeaseTable(lambda: 4, 0.0)
    leases.renew("a", 1.0, 0.0)
    leases.renew("b", 2.0, 0.0)
    assert leases.advance(10.0) == pytest.approx(0.25 * 1.0 + 0.25 * 2.0)
    assert leases.share == 0.0


def test_a_restarted_lender_is_counted_once():
    """Guards against counting the share of a restarted node twice."""
    leases = LeaseTable(lambda: 2, 0.0)
    leases.renew("a", 1.2, 0.0)
    leases.revoke("a", 0.1)
    leases.renew("a", 1.4, 0.2)
    leases.revoke("a", 0.3)
    leases.renew("a", 1.6, 0.4)
    assert len(leases) == 1
    assert leases.share == 0.5


def test_no_share_before_the_number_of_nodes_is_known():
    """Guards against using the whole rate before the other nodes are known."""
    leases = LeaseTable(lambda: 0, 0.0)
    leases.renew("a", 1.0, 0.0)
    assert leases.share == 0.0
    assert leases.advance(0.5) == 0.0


@pytest.mark.parametrize(
    "sides",
    [
        get_side_of_split_between_zones,
        get_side_of_split_within_zones,
        get_side_of_isolated_nodes,
    ],
)
@pytest.mark.parametrize("nodes", [14, 78])
def test_shares_of_all_holders_never_exceed_the_whole(nodes: int, sides):
    """Guards against two holders of one share while nodes are cut off, killed twice
    within a second, and frozen for five seconds.
    """
    partition = NetworkPartition(WARM_UP_SECONDS, WARM_UP_SECONDS + 5.0, sides)
    fleet = RateFleet(
        [node % 6 for node in range(nodes)], seed=1, partitions=[partition]
    )
    simulation = fleet.simulation

    def inject_faults() -> None:
        for number in range(6):
            fleet.kill(number, 0.2)
        fleet.freeze(7, 5.0)

    shares: list[float] = []

    def sample_shares() -> None:
        now = simulation.now
        running = [
            node
            for number, node in enumerate(fleet.nodes)
            if fleet.network.is_running(number)
        ]
        for node in running:
            node.leases.advance(now)
        shares.append(sum(node.leases.share for node in running))
        simulation.schedule(now + 0.02, sample_shares)

    simulation.schedule(WARM_UP_SECONDS + 2.0, inject_faults)
    simulation.schedule(WARM_UP_SECONDS + 2.5, inject_faults)
    simulation.schedule(0.0, sample_shares)
    simulation.run(WARM_UP_SECONDS + 14.0)
    assert max(shares) <= 1.0 + 1e-9
    assert shares[-1] == pytest.approx(1.0)

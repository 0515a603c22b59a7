"""Tests of token buckets at a holder, of loans, token frames and bucket logs."""

import pytest

from primroseglade.observe.events import Journal, WORKSPACES_AT_RATE
from primroseglade.sidecar.frames import (
    encode_frame,
    FrameError,
    FrameReader,
    LENGTH_PREFIX,
    TokenGrant,
    TokenLimits,
    TokenRequest,
)
from primroseglade.sidecar.rate_monitor import RateMonitor
from primroseglade.sidecar.share_leases import LeaseTable
from primroseglade.sidecar.token_pool import TokenPool

from .rates import OneHolder

NORTH = TokenLimits("north", 100.0, 100.0, 1)


def build_pool(first_start: bool = True) -> tuple[LeaseTable, TokenPool]:
    """Return a pool to which one of two nodes lends its share until 10 s."""
    leases = LeaseTable(lambda: 2, 0.0)
    leases.renew("a", 10.0, 0.0)
    return leases, TokenPool(leases, first_start)


def test_an_idle_holder_keeps_its_tokens_while_another_is_in_use():
    """Guards against draining an idle holder's bucket while another is in use."""
    _, pool = build_pool()
    pool.take(NORTH, 1, 0, 0.0)
    other_leases, other = build_pool()
    for step in range(1, 11):
        now = step * 0.5
        other_leases.renew("a", now + 1.0, now)
        other.take(NORTH, 25, 0, now)
    pool.take(NORTH, 0, 0, 5.0)
    assert pool.get_remaining_tokens("north") >= 0.9 * 100.0 / 2


def test_a_holder_that_lost_its_leases_has_no_tokens():
    """Guards against a holder that resumes after a freeze and spends its bucket, while
    another holder has been filling a bucket with the same shares.
    """
    leases, pool = build_pool()
    assert pool.take(NORTH, 1, 0, 0.0) == 1
    assert pool.take(NORTH, 50, 0, 15.0) == 0
    leases.renew("a", 20.0, 15.1)
    assert pool.take(NORTH, 50, 0, 15.1) == 0
    assert pool.take(NORTH, 50, 0, 15.3) == 10


def test_a_workspace_without_calls_gets_no_second_burst():
    """Guards against a full bucket if the first call follows a gap in the leases."""
    leases, pool = build_pool()
    leases.advance(15.0)
    leases.renew("a", 20.0, 15.1)
    assert pool.take(NORTH, 50, 0, 15.2) <= 5


def test_prefetched_tokens_count_against_the_capacity():
    """Guards against refilling tokens that an entry node may still spend."""
    _, pool = build_pool()
    granted = pool.take(NORTH, 1, 40, 0.0)
    assert granted == 1 + 24
    # The capacity is 50 of 100 tokens; 24 of them are prefetched at the entry node.
    assert pool.take(NORTH, 50, 0, 0.49) <= 26
    assert pool.take(NORTH, 50, 0, 1.0) >= 25


def test_a_holder_keeps_what_its_own_zone_needs():
    """Guards against lending the tokens for calls expected here soon."""
    _, pool = build_pool()
    for step in range(20):
        pool.record_request("e", TokenRequest(0, NORTH, 4), step * 0.1)
        pool.take(NORTH, 4, 0, step * 0.1)
    # Of 50 tokens stored, 2 are kept for 0.05 s of a demand of 40 calls per second.
    assert pool.lend(NORTH, 100, True, 2.0) == pytest.approx(48.0)


def test_a_lower_limit_applies_to_stored_tokens():
    """Guards against spending tokens that were stored under a higher limit."""
    _, pool = build_pool()
    pool.take(NORTH, 1, 0, 0.0)
    lower = TokenLimits("north", 2.0, 2.0, 2)
    assert pool.take(lower, 50, 0, 0.1) == 1
    # A request from a node with the old version does not restore the old limit.
    assert pool.take(NORTH, 50, 0, 0.2) == 0


def test_returned_tokens_never_exceed_the_capacity():
    """Guards against a request that returns more tokens than the capacity."""
    holder = OneHolder()
    limits = TokenLimits("north", 1.0, 10.0, 1)
    holder.broker.handle_request(
        "here", TokenRequest(1, limits, 0, returned_tokens=1000), lambda _: None
    )
    assert holder.pool.take(limits, 100, 0, 0.0) == 10


@pytest.mark.parametrize(
    "payload",
    [
        b"\x92\x0e\x01",
        b"\x93\x0e\x01\xa5north",
        b"\x94\x0e\x01\x92\xa5north\xcb\x01",
        b"\x93\x0f\xa1x\x01",
    ],
)
def test_malformed_token_frames_are_rejected(payload: bytes):
    """Guards against decoding frames of another version as requests or grants."""
    with pytest.raises(FrameError):
        FrameReader().feed(LENGTH_PREFIX.pack(len(payload)) + payload)


def test_token_frames_are_decoded_as_encoded():
    """Guards against encoding and decoding the fields in different orders."""
    frames = [TokenRequest(7, NORTH, 3, 2, 1, 4, 0.5), TokenGrant(7, 4, 1.5)]
    data = b"".join(encode_frame(frame) for frame in frames)
    assert FrameReader().feed(data) == frames


def test_only_workspaces_at_their_rates_are_logged():
    """Guards against omitting a workspace over its rate or logging one within it."""
    _, pool = build_pool()
    journal = Journal("here")
    monitor = RateMonitor(pool, journal)
    calm = TokenLimits("calm", 10.0, 10.0, 1)
    greedy = TokenLimits("greedy", 10.0, 10.0, 1)
    pool.record_request("e", TokenRequest(0, calm, 1), 0.0)
    pool.take(calm, 1, 0, 0.0)
    monitor.log_buckets(0.0)
    assert not journal.recent
    pool.record_request("e", TokenRequest(0, greedy, 30), 0.1)
    granted = pool.take(greedy, 30, 0, 0.1)
    assert granted == 5
    monitor.log_buckets(0.5)
    (event,) = journal.recent
    assert event["event"] == WORKSPACES_AT_RATE.number
    assert list(event["workspaces"]) == ["greedy"]
    fields = event["workspaces"]["greedy"]
    assert (fields["share"], fields["demand"], fields["rate"]) == (0.5, 15.0, 10.0)

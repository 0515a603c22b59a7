"""Rate tokens: never more than rate and burst are spent in any window."""

import itertools

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import initialize, invariant, rule, RuleBasedStateMachine

from primroseglade.rates.bucket import Bucket
from primroseglade.rates.lease import count_quorum
from primroseglade.rates.token_reserve import TokenBatch, TokenReserve

RATE = 10.0
BURST = 5.0
LIFETIME_SECONDS = 1.0


class TokenLedger(RuleBasedStateMachine):
    """Holders, nodes that spend, lost replies, pauses, and holders replaced.

    A new holder starts when its predecessor's lease has certainly ended, and counts
    what that may have granted as outstanding for one more grant lifetime.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.buckets = [self.build_bucket(self.now) for _ in range(2)]
        self.reserves = [TokenReserve(), TokenReserve()]
        self.grants: list[int] = []
        self.spent: list[float] = []

    def build_bucket(self, blocked_until):
        """Return one of two zones' buckets, each with half of rate and burst."""
        return Bucket(RATE / 2, BURST / 2, self.now, blocked_until)

    @rule(seconds=st.floats(0.001, 2.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(
        wanted=st.floats(0.5, 8.0),
        zone=st.integers(0, 1),
        node=st.integers(0, 1),
        lost=st.booleans(),
        delay=st.floats(0.0, 1.5),
    )
    def request_grant(self, wanted, zone, node, lost, delay):
        """Request tokens of a zone; the reply may be lost or delayed.

        Loans need no rule of their own: they too are outstanding until they expire.
        """
        sent_at = self.now
        self.now += delay / 2
        grant = self.buckets[zone].grant(wanted, LIFETIME_SECONDS, self.now)
        self.now += delay / 2
        if grant is not None and not lost:
            self.reserves[node].add(
                TokenBatch(
                    grant.id, grant.tokens, sent_at + LIFETIME_SECONDS, str(zone)
                )
            )

    @rule(node=st.integers(0, 1))
    def spend(self, node):
        if self.reserves[node].spend(1.0, self.now):
            self.spent.append(self.now)

    @rule(zone=st.integers(0, 1), node=st.integers(0, 1), repeated=st.booleans())
    def record_spent(self, zone, node, repeated):
        for grant in self.reserves[node].take_spent(str(zone)):
            self.buckets[zone].record_spent(grant, self.now)
            if repeated:
                self.buckets[zone].record_spent(grant, self.now)

    @rule(zone=st.integers(0, 1), gap=st.floats(0.0, 1.0))
    def replace_holder(self, zone, gap):
        """The holder is lost with its state, and another acquires the lease."""
        self.now += gap
        self.buckets[zone] = self.build_bucket(self.now + LIFETIME_SECONDS)

    @rule(
        zone=st.integers(0, 1),
        rate=st.floats(1.0, RATE / 2),
        burst=st.floats(1.0, BURST / 2),
    )
    def lower_rate(self, zone, rate, burst):
        self.buckets[zone].update(rate, burst, self.now)

    @invariant()
    def never_exceeds_rate_and_burst(self):
        for first, last in itertools.combinations(range(len(self.spent)), 2):
            window = self.spent[last] - self.spent[first]
            assert last - first + 1 <= BURST + RATE * window + 1e-6


TestTokenLedger = TokenLedger.TestCase
TestTokenLedger.settings = settings(max_examples=60, stateful_step_count=40)


def test_idle_bucket_fills_only_to_its_burst():
    bucket = Bucket(RATE, BURST, 0.0, 0.0)
    bucket.accrue(1000.0)
    assert bucket.level == BURST


def test_outstanding_tokens_count_against_the_burst():
    """Guards against spending twice the burst at once.

    A node holds the whole burst unspent and spends it just before it expires, together
    with another node that got the tokens accrued meanwhile.
    """
    bucket = Bucket(RATE, BURST, 0.0, 0.0)
    bucket.accrue(10.0)
    assert bucket.grant(BURST, LIFETIME_SECONDS, 10.0).tokens == BURST
    assert bucket.grant(BURST, LIFETIME_SECONDS, 10.9) is None
    assert bucket.grant(BURST, LIFETIME_SECONDS, 11.1) is not None


def test_spent_tokens_of_a_loan_no_longer_count_against_the_burst():
    """All calls of a workspace enter at one zone, which borrows the others' tokens.

    If spent tokens stayed outstanding until their loan expires, a lender with a small
    burst would stop accruing, and the workspace would be refused within its rate.
    """
    bucket = Bucket(RATE, BURST, 0.0, 0.0)
    bucket.accrue(10.0)
    loan = bucket.grant(BURST, LIFETIME_SECONDS, 10.0)
    bucket.record_spent(loan.id, 10.0, 2.0)
    assert bucket.outstanding == BURST - 2.0
    bucket.accrue(10.9)
    assert bucket.level == 2.0


def test_new_holder_grants_nothing_before_old_grants_have_expired():
    """A holder fails just after it granted its whole burst to a paused node.

    If its successor granted immediately, both bursts would be spent together.
    """
    bucket = Bucket(RATE, BURST, now=10.0, blocked_until=11.0)
    assert bucket.grant(1.0, LIFETIME_SECONDS, 10.9) is None
    assert not bucket.is_unblocked(10.9)
    assert bucket.grant(1.0, LIFETIME_SECONDS, 11.2) is not None


def test_paused_node_does_not_spend_expired_tokens():
    reserve = TokenReserve()
    reserve.add(TokenBatch(1, 5.0, expires_at=2.0, source="h"))
    assert reserve.spend(1.0, 1.9)
    assert not reserve.spend(1.0, 2.0)


@given(st.integers(1, 5), st.data())
def test_two_majorities_of_the_same_electors_share_a_voter(size, data):
    electors = list(range(size))
    one = data.draw(st.permutations(electors))[: count_quorum(size)]
    two = data.draw(st.permutations(electors))[: count_quorum(size)]
    assert set(one) & set(two)


@given(st.data())
def test_five_electors_may_differ_by_two_and_still_share_a_voter(data):
    one = data.draw(st.permutations([1, 2, 3, 4, 5]))[: count_quorum(5)]
    two = data.draw(st.permutations([3, 4, 5, 6, 7]))[: count_quorum(5)]
    assert set(one) & set(two)

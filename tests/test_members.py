"""The member table: tables converge whatever order updates arrive in."""

from hypothesis import given, strategies as st

from primroseglade.fleet.members import (
    Member,
    Members,
    parse_member,
    State,
    TOMBSTONE_RETENTION_SECONDS,
)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def build_members(name: str = "me", clock: Clock | None = None) -> Members:
    own = Member(name, 1, zone="a", control=f"{name}:1")
    return Members(own, clock or Clock())


update_strategy = st.builds(
    lambda name, incarnation, sequence, state: Member(
        name, incarnation, sequence, state=State(state), control=f"{name}:1", zone="a"
    ),
    st.sampled_from(["x", "y", "z"]),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 3),
)


@given(st.lists(update_strategy, max_size=20), st.data())
def test_updates_in_any_order_give_the_same_table(updates, data):
    one, two = build_members(), build_members()
    for update in updates:
        one.merge(update)
    for update in data.draw(st.permutations(updates)):
        two.merge(update)
        if data.draw(st.booleans()):
            two.merge(update)
    assert {m.instance: m.precedence for m in one} == {
        m.instance: m.precedence for m in two
    }
    assert one.get_bucket_hashes() == two.get_bucket_hashes()


@given(st.lists(update_strategy, max_size=20), st.lists(update_strategy, max_size=20))
def test_exchanging_differing_buckets_synchronizes_tables(own_updates, peer_updates):
    one, two = build_members("one"), build_members("two")
    for update in own_updates:
        one.merge(update)
    for update in peer_updates:
        two.merge(update)
    for source, target in ((two, one), (one, two)):
        for member in source.find_differing_members(target.get_bucket_hashes()):
            message = source.to_proto(member)
            target.merge(parse_member(message), message.state_age_ms / 1000)
    precedences = [{m.instance: m.precedence for m in table} for table in (one, two)]
    assert precedences[0] == precedences[1]


def test_suspect_member_refutes_and_older_updates_are_rejected():
    """A paused node is suspected, resumes, and must not be declared dead."""
    me, other = build_members("me"), build_members("other")
    other.merge(me.own)
    other.suspect("me")
    me.merge(other.get("me"))
    assert me.own.state is State.ALIVE
    other.merge(me.own)
    assert other.get("me").state is State.ALIVE
    assert not other.merge(Member("me", 1, 0, state=State.DEAD))


def test_unresponsive_member_becomes_suspect_then_dead_then_is_removed():
    clock = Clock()
    members = build_members(clock=clock)
    members.merge(Member("x", 1))
    members.suspect("x")
    clock.now = 2.0
    members.expire(suspicion_seconds=3.0)
    assert members.get("x").state is State.SUSPECT
    clock.now = 4.0
    members.expire(suspicion_seconds=3.0)
    assert members.get("x").state is State.DEAD
    clock.now += TOMBSTONE_RETENTION_SECONDS + 1
    members.expire(suspicion_seconds=3.0)
    assert members.get("x") is None


def test_removed_tombstone_is_not_added_again():
    """Two nodes remove a dead member at different times while they exchange updates."""
    clock = Clock()
    one, two = build_members("one", clock), build_members("two", clock)
    for members in (one, two):
        members.merge(Member("x", 1, state=State.DEAD))
    clock.now = TOMBSTONE_RETENTION_SECONDS + 1
    one.expire(3.0)
    message = two.to_proto(two.get("x"))
    assert not one.merge(parse_member(message), message.state_age_ms / 1000)


def test_restart_at_the_same_address_declares_the_predecessor_dead():
    members = build_members()
    members.merge(Member("old", 1, control="10.0.0.1:9"))
    members.merge(Member("new", 2, control="10.0.0.1:9"))
    assert members.get("old").state is State.DEAD
    assert members.get("new").state is State.ALIVE


def test_departed_member_is_not_revived():
    members = build_members()
    members.merge(Member("x", 1, 5, state=State.LEFT))
    assert not members.merge(Member("x", 1, 5, state=State.ALIVE))
    assert members.merge(Member("x", 2, 0, state=State.ALIVE))


def test_minority_of_a_partitioned_zone_counts_the_dead_members():
    members = build_members()
    for name in ("b", "c", "d", "e"):
        members.merge(Member(name, 1, zone="a"))
    for name in ("c", "d", "e"):
        members.suspect(name)
        members.declare_dead(name)
    assert members.count_electorate("a") == (2, 5)

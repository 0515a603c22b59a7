"""The table of members: any order, repetition and loss ends in the same table."""

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


reports = st.builds(
    lambda name, incarnation, sequence, state: Member(
        name, incarnation, sequence, state=State(state), control=f"{name}:1", zone="a"
    ),
    st.sampled_from(["x", "y", "z"]),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 3),
)


@given(st.lists(reports, max_size=20), st.data())
def test_any_order_and_repetition_gives_the_same_table(made, data):
    one, two = build_members(), build_members()
    for report in made:
        one.merge(report)
    for report in data.draw(st.permutations(made)):
        two.merge(report)
        if data.draw(st.booleans()):
            two.merge(report)
    assert {m.instance: m.precedence for m in one} == {
        m.instance: m.precedence for m in two
    }
    assert one.get_bucket_hashes() == two.get_bucket_hashes()


@given(st.lists(reports, max_size=20), st.lists(reports, max_size=20))
def test_comparing_tables_brings_them_together(mine, theirs):
    one, two = build_members("one"), build_members("two")
    for report in mine:
        one.merge(report)
    for report in theirs:
        two.merge(report)
    for source, target in ((two, one), (one, two)):
        for member in source.find_differing_members(target.get_bucket_hashes()):
            message = source.to_proto(member)
            target.merge(parse_member(message), message.state_age_ms / 1000)
    tables = [{m.instance: m.precedence for m in table} for table in (one, two)]
    assert tables[0] == tables[1]


def test_suspected_member_refutes_and_outlives_old_news():
    """A node is paused; others suspect it; it comes back and must not be buried."""
    me, other = build_members("me"), build_members("other")
    other.merge(me.own)
    other.suspect("me")
    me.merge(other.get("me"))
    assert me.own.state is State.ALIVE
    other.merge(me.own)
    assert other.get("me").state is State.ALIVE
    assert not other.merge(Member("me", 1, 0, state=State.DEAD))


def test_silent_member_is_suspect_before_it_is_dead_and_then_forgotten():
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


def test_forgotten_tombstone_does_not_travel_in_circles():
    """Two nodes forget a dead one at different times and tell each other of it."""
    clock = Clock()
    one, two = build_members("one", clock), build_members("two", clock)
    for members in (one, two):
        members.merge(Member("x", 1, state=State.DEAD))
    clock.now = TOMBSTONE_RETENTION_SECONDS + 1
    one.expire(3.0)
    message = two.to_proto(two.get("x"))
    assert not one.merge(parse_member(message), message.state_age_ms / 1000)


def test_restart_at_the_same_address_ends_its_predecessor():
    members = build_members()
    members.merge(Member("old", 1, control="10.0.0.1:9"))
    members.merge(Member("new", 2, control="10.0.0.1:9"))
    assert members.get("old").state is State.DEAD
    assert members.get("new").state is State.ALIVE


def test_departed_member_stays_departed():
    members = build_members()
    members.merge(Member("x", 1, 5, state=State.LEFT))
    assert not members.merge(Member("x", 1, 5, state=State.ALIVE))
    assert members.merge(Member("x", 2, 0, state=State.ALIVE))


def test_cut_off_part_of_a_zone_knows_that_it_is_the_smaller():
    members = build_members()
    for name in ("b", "c", "d", "e"):
        members.merge(Member(name, 1, zone="a"))
    for name in ("c", "d", "e"):
        members.suspect(name)
        members.declare_dead(name)
    assert members.count_electorate("a") == (2, 5)

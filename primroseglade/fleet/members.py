"""The member table, whose merge lets the tables of all nodes converge."""

import enum
import math
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from ..proto import control_pb2 as pb

# A dead or departed member stays in the table this long. Until then, older updates that
# call it alive are rejected, and the nodes of a zone that is split by a network
# partition count the unreachable ones, so that no minority takes itself for the zone.
TOMBSTONE_RETENTION_SECONDS = 600.0
# Number of hash buckets in which two nodes compare their member tables.
BUCKET_COUNT = 32
# Each update is sent RETRANSMIT_MULTIPLIER * log2(fleet size) times, as in SWIM.
RETRANSMIT_MULTIPLIER = 3


class State(enum.IntEnum):
    """States of a member; of two updates that differ only in state, the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member:
    """A node and its local backend server.

    Args:
        instance: Name, unique in the fleet.
        incarnation: Start time of the process, Unix time in ms; higher after a restart.
        sequence: Version of the entry; the member increments it at each change.
        state: Last known state.
        zone: Availability zone.
        callers: ``IP:PORT`` of its callers' listener.
        relay: ``IP:PORT`` of its relay listener.
        control: ``IP:PORT`` of its control listener.
        operator: ``IP:PORT`` of its operator listener.
        service: Service of the backend server; empty if there is no backend server.
        backend_server: ``IP:PORT`` of the backend server.
        serving: Whether it accepts new calls.
        serving_since_ms: Unix time in ms since when it accepts calls.
        slots: Concurrent calls that the backend server accepts; 0 if unknown.
        share: Its zone's share of every rate, as this member applies it; negative until
            its start is complete.
    """

    __slots__ = (
        "backend_server",
        "callers",
        "control",
        "incarnation",
        "instance",
        "operator",
        "relay",
        "sequence",
        "service",
        "serving",
        "serving_since_ms",
        "share",
        "slots",
        "state",
        "zone",
    )

    def __init__(
        self, instance: str, incarnation: int, sequence: int = 0, **attributes: Any
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.state: State = attributes.get("state", State.ALIVE)
        self.zone: str = attributes.get("zone", "")
        self.callers: str = attributes.get("callers", "")
        self.relay: str = attributes.get("relay", "")
        self.control: str = attributes.get("control", "")
        self.operator: str = attributes.get("operator", "")
        self.service: str = attributes.get("service", "")
        self.backend_server: str = attributes.get("backend_server", "")
        self.serving: bool = attributes.get("serving", False)
        self.serving_since_ms: int = attributes.get("serving_since_ms", 0)
        self.slots: int = attributes.get("slots", 0)
        self.share: float = attributes.get("share", -1.0)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates about one member; the update with the higher key wins."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def reachable(self) -> bool:
        """Whether messages are sent to the member: it is alive or only suspect."""
        return self.state in (State.ALIVE, State.SUSPECT)

    def replace(self, **changes: Any) -> "Member":
        """Return a copy in which the given attributes are changed."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return Member(**(fields | changes))

    def to_proto(self, age: float = 0.0) -> pb.Member:
        """Return the member as a message; its state began ``age`` seconds ago."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields["state"] = int(self.state)
        return pb.Member(**fields, state_age_ms=int(age * 1000))

    def to_dict(self) -> dict[str, Any]:
        """Return the attributes as a JSON object."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return fields | {"state": self.state.name.lower()}


def parse_member(message: pb.Member) -> Member:
    """Return the member that a message describes."""
    fields = {name: getattr(message, name) for name in Member.__slots__}
    # An unknown state of a later version is treated as SUSPECT.
    is_known = message.state in State._value2member_map_
    fields["state"] = State(message.state) if is_known else State.SUSPECT
    return Member(**fields)


OnMemberChange = Callable[[Member, Member | None], None]


class Members:
    """The member table of this instance.

    Args:
        own: The entry of this instance.
        clock: Returns seconds; used only to compute ages.
    """

    def __init__(self, own: Member, clock: Callable[[], float] = time.monotonic):
        self._own = own
        self._clock = clock
        self._table: dict[str, Member] = {own.instance: own}
        self._state_since: dict[str, float] = {own.instance: clock()}
        self._remaining_sends: dict[str, int] = {own.instance: 1}
        self._watchers: list[OnMemberChange] = []
        self._version = 0
        self._instance_by_control: dict[str, str] = {own.control: own.instance}
        self._reachable_by_zone: dict[str, dict[str, Member]] = {
            own.zone: {own.instance: own}
        }
        self._zone_versions: dict[str, int] = {own.zone: 1}
        self._not_alive_names: set[str] = set()
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._toggle_in_bucket_hash(own)

    @property
    def own(self) -> Member:
        """The entry of this instance."""
        return self._own

    @property
    def version(self) -> int:
        """Version of the table, incremented at every change; for caches."""
        return self._version

    def __len__(self) -> int:
        return len(self._table)

    def __iter__(self):
        return iter(self._table.values())

    def get(self, instance: str) -> Member | None:
        """Return the member with this name, or None."""
        return self._table.get(instance)

    def watch(self, watcher: OnMemberChange) -> None:
        """Call ``watcher`` with each changed entry and its previous value or None."""
        self._watchers.append(watcher)

    @property
    def zones(self) -> list[str]:
        """Availability zones with at least one reachable member."""
        return [
            zone
            for zone, zone_members in self._reachable_by_zone.items()
            if zone_members
        ]

    def get_zone_version(self, zone: str) -> int:
        """Return the version of a zone's set of reachable members; for caches.

        It is incremented when a member becomes reachable or unreachable, not when its
        attributes change.
        """
        return self._zone_versions.get(zone, 0)

    def get_reachable(self, zone: str = "") -> list[Member]:
        """Return the reachable members of a zone, or of all zones by default."""
        if zone:
            return list(self._reachable_by_zone.get(zone, {}).values())
        return [
            member
            for zone_members in self._reachable_by_zone.values()
            for member in zone_members.values()
        ]

    def count_electorate(self, zone: str) -> tuple[int, int]:
        """Return a zone's number of reachable members, and of reachable or dead ones.

        Neither includes members that left. Dead members count while they are in the
        table, so that a partitioned part of a zone does not consider itself the whole
        zone.
        """
        reachable = len(self._reachable_by_zone.get(zone, {}))
        not_alive = (self._table[instance] for instance in self._not_alive_names)
        dead = sum(m.zone == zone and m.state is State.DEAD for m in not_alive)
        return reachable, reachable + dead

    def count_by_state(self) -> dict[State, int]:
        """Return the number of members in each state."""
        counts = dict.fromkeys(State, 0)
        for instance in self._not_alive_names:
            counts[self._table[instance].state] += 1
        counts[State.ALIVE] = len(self._table) - len(self._not_alive_names)
        return counts

    def update_own(self, **changes: Any) -> None:
        """Change attributes of this instance's entry; gossip sends the update."""
        sequence = self._own.sequence + 1
        self._store(self._own.replace(sequence=sequence, **changes))

    def merge(self, update: Member, age: float = 0.0) -> bool:
        """Apply an update unless the table has one of equal or higher precedence.

        A newer update about this instance itself is refuted with a higher sequence.

        Args:
            update: Entry of a member, as another node sent it.
            age: Seconds since the member entered its state.

        Returns:
            Whether the table changed.
        """
        if update.instance == self._own.instance:
            return self._refute(update)
        current = self._table.get(update.instance)
        if current is not None and update.precedence <= current.precedence:
            return False
        if not update.reachable and age > TOMBSTONE_RETENTION_SECONDS:
            # Other nodes are about to remove this tombstone. If this node added it
            # again, nodes would send it back and forth forever.
            return False
        self._store(update, age)
        self._end_predecessor(update)
        return True

    def suspect(self, instance: str) -> None:
        """Mark a member that does not answer as suspect."""
        self._change_state(instance, State.ALIVE, State.SUSPECT)

    def declare_dead(self, instance: str) -> None:
        """Mark a suspect member that did not refute the suspicion as dead."""
        self._change_state(instance, State.SUSPECT, State.DEAD)

    def expire(self, suspicion_seconds: float) -> None:
        """Declare members dead that were suspect too long; remove old tombstones.

        Args:
            suspicion_seconds: Time that a suspect member has to refute the suspicion.
        """
        now = self._clock()
        for member in [self._table[instance] for instance in self._not_alive_names]:
            age = now - self._state_since[member.instance]
            if member.state is State.SUSPECT and age > suspicion_seconds:
                self.declare_dead(member.instance)
            elif not member.reachable and age > TOMBSTONE_RETENTION_SECONDS:
                self._remove(member.instance)

    def to_proto(self, member: Member) -> pb.Member:
        """Return a member as a message, with the age of its state."""
        return member.to_proto(self._clock() - self._state_since[member.instance])

    def take_updates(self, max_count: int) -> list[Member]:
        """Return up to ``max_count`` updates to send, those sent least often first.

        Each returned update counts as sent; after its last time it is not sent again.
        """
        chosen = sorted(
            self._remaining_sends, key=self._remaining_sends.__getitem__, reverse=True
        )[:max_count]
        updates = []
        for instance in chosen:
            updates.append(self._table[instance])
            self._remaining_sends[instance] -= 1
            if self._remaining_sends[instance] <= 0:
                del self._remaining_sends[instance]
        return updates

    @property
    def has_updates(self) -> bool:
        """Whether there are updates to send."""
        return bool(self._remaining_sends)

    def get_bucket_hashes(self) -> list[int]:
        """Return a hash of each bucket of members; equal tables have equal hashes."""
        return list(self._bucket_hashes)

    def find_differing_members(self, buckets: Iterable[int]) -> list[Member]:
        """Return the members in those buckets whose hash differs from the peer's.

        Args:
            buckets: The peer's bucket hashes.
        """
        own_hashes = self.get_bucket_hashes()
        peer_hashes = list(buckets)
        if len(peer_hashes) != BUCKET_COUNT:
            return []
        return [
            member
            for member in self._table.values()
            if peer_hashes[_get_bucket(member.instance)]
            != own_hashes[_get_bucket(member.instance)]
        ]

    def _refute(self, update: Member) -> bool:
        if update.precedence <= self._own.precedence:
            return False
        if self._own.state is State.LEFT:
            return False
        incarnation = max(update.incarnation, self._own.incarnation)
        self._store(
            self._own.replace(incarnation=incarnation, sequence=update.sequence + 1)
        )
        return True

    def _end_predecessor(self, update: Member) -> None:
        """Declare the previous user of the update's control address dead."""
        if update.state is not State.ALIVE:
            return
        predecessor = self._table.get(self._instance_by_control.get(update.control, ""))
        self._instance_by_control[update.control] = update.instance
        if predecessor is None or predecessor.instance in (
            update.instance,
            self._own.instance,
        ):
            return
        if predecessor.reachable and predecessor.incarnation < update.incarnation:
            self._store(predecessor.replace(state=State.DEAD))

    def _change_state(self, instance: str, before: State, after: State) -> None:
        member = self._table.get(instance)
        if member is not None and member.state is before and member is not self._own:
            self._store(member.replace(state=after))

    def _store(self, member: Member, age: float = 0.0) -> None:
        previous = self._table.get(member.instance)
        self._table[member.instance] = member
        self._state_since[member.instance] = self._clock() - age
        self._remaining_sends[member.instance] = self._get_max_sends()
        self._version += 1
        if previous is not None:
            self._toggle_in_bucket_hash(previous)
        self._toggle_in_bucket_hash(member)
        self._update_indexes(member, previous)
        if member.instance == self._own.instance:
            self._own = member
        for watcher in self._watchers:
            watcher(member, previous)

    def _update_indexes(self, member: Member, previous: Member | None) -> None:
        """Update the indexes by state and zone, which save scans of the table."""
        if member.state is State.ALIVE:
            self._not_alive_names.discard(member.instance)
        else:
            self._not_alive_names.add(member.instance)
        if previous is not None and previous.zone != member.zone:
            self._remove_from_zone(previous)
        if member.reachable:
            zone_members = self._reachable_by_zone.setdefault(member.zone, {})
            if member.instance not in zone_members:
                self._increment_zone_version(member.zone)
            zone_members[member.instance] = member
        else:
            self._remove_from_zone(member)

    def _remove_from_zone(self, member: Member) -> None:
        zone_members = self._reachable_by_zone.get(member.zone, {})
        if zone_members.pop(member.instance, None) is not None:
            self._increment_zone_version(member.zone)

    def _increment_zone_version(self, zone: str) -> None:
        self._zone_versions[zone] = self._zone_versions.get(zone, 0) + 1

    def _get_max_sends(self) -> int:
        return RETRANSMIT_MULTIPLIER * math.ceil(math.log2(len(self._table) + 1))

    def _toggle_in_bucket_hash(self, member: Member) -> None:
        """Add an entry to its bucket's hash; the second call removes it again."""
        text = f"{member.instance}|{member.precedence}"
        self._bucket_hashes[_get_bucket(member.instance)] ^= zlib.crc32(text.encode())

    def _remove(self, instance: str) -> None:
        member = self._table.pop(instance)
        self._not_alive_names.discard(instance)
        self._remove_from_zone(member)
        self._toggle_in_bucket_hash(member)
        if self._instance_by_control.get(member.control) == instance:
            del self._instance_by_control[member.control]
        del self._state_since[instance]
        self._remaining_sends.pop(instance, None)
        self._version += 1


def _get_bucket(instance: str) -> int:
    return zlib.crc32(instance.encode()) % BUCKET_COUNT

"""Keeps the active policy: the configuration, read from the store or from a peer.

One node in each availability zone is its reader (``Fleet.list_readers``). The first
reader reads the platform's store, the other readers ask the first reader whether their
policy is the newest, and all other nodes ask the reader of their zone. A node without
an answer in time reads the store itself.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from ..errors import InputError
from ..observe.events import (
    EDIT_REFUSED,
    Journal,
    LOG_RECOVERED,
    LOG_UNAVAILABLE,
    PEER_REQUEST_FAILED,
    POLICY_IN_FORCE,
    VALUE_IGNORED,
)
from .evacuations import Evacuations
from .freshness import Freshness
from .model import CallerLimits, Policy, ServiceOptions
from .peer import Peer
from .read_schedule import ReadSchedule
from .route_table import RouteTable
from .warm_up import WarmUpLimits

MIN_READ_INTERVAL_SECONDS = 0.2
# How long the store holds a long poll open if there is no update. Longer polls need
# fewer calls.
LONG_POLL_WAIT_SECONDS = 20.0
# A long poll times out this long after the store should have answered, in case the
# connection is open but dead.
LONG_POLL_TIMEOUT_MARGIN_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 1.5
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Interval at which a starting node checks whether it has received a peer's policy. If
# it receives none for a while, it reads the store.
INITIAL_WAIT_POLL_SECONDS = 0.02
PEER_TIMEOUT_SECONDS = 1.0
# Source that is logged for a policy version read from the store.
STORE_SOURCE = "store"
# A node accepts API keys only while its policy is younger than this fraction of the
# time within which a withdrawn key must stop working. The rest is a margin for the
# transmission of a request to this node and for pauses of this process.
MAX_AGE_RATIO = 0.9


class StoreError(Exception):
    """The platform's store failed or sent an unusable response."""


class OffsetExpiredError(StoreError):
    """The offset lies outside the records that the store keeps."""


class OperatorRecords:
    """What a read of the operator's records in the store shows.

    Args:
        policy: The newest policy, encoded; None if the records hold none.
        evacuations: For each zone that the records name, whether it is evacuated.
        next_offset: Offset at which the next read starts.
    """

    __slots__ = ("evacuations", "next_offset", "policy")

    def __init__(
        self, policy: bytes | None, evacuations: dict[str, bool], next_offset: int
    ):
        self.policy = policy
        self.evacuations = evacuations
        self.next_offset = next_offset


class PolicyStore(Protocol):
    """Reads the records that operators publish in the platform's store."""

    async def read_newest(self, timeout: float) -> OperatorRecords:
        """Return the newest policy, and all evacuations in force.

        Raises:
            StoreError: The store failed or sent an unusable response.
        """

    async def read_since(
        self, offset: int, wait: float, timeout: float
    ) -> OperatorRecords | None:
        """Return what was published at or after an offset, or None if nothing was.

        Args:
            offset: The offset to read from.
            wait: Seconds for which the store may hold the read open for an update.
            timeout: Seconds after which the read fails.

        Raises:
            OffsetExpiredError: The offset lies outside the records that are kept.
            StoreError: The store failed or sent an unusable response.
        """

    def decode(self, record: bytes) -> Policy:
        """Return the policy that a record encodes.

        Raises:
            InputError: The record is invalid.
        """


class PolicyTracker:
    """Keeps the active policy up to date and tracks how stale it may be.

    Args:
        store: Where operators publish policies.
        evacuations: Receives the evacuations that operators publish.
        revoke_seconds: Seconds within which a withdrawn key must stop working.
        apply_seconds: Seconds within which a published policy must be active.
        first_start: Whether the whole fleet starts for the first time.
        journal: Receives events.
        broadcast_state: Broadcasts this node's state, with the policy version, at once.
        on_policy: Called with each policy that comes into force.
    """

    def __init__(
        self,
        store: PolicyStore,
        evacuations: Evacuations,
        revoke_seconds: float,
        apply_seconds: float,
        first_start: bool,
        journal: Journal,
        broadcast_state: Callable[[], None],
        on_policy: Callable[[Policy], None],
    ):
        self._store = store
        self._evacuations = evacuations
        self._max_age_seconds = revoke_seconds * MAX_AGE_RATIO
        self._first_start = first_start
        self._journal = journal
        self._broadcast_state = broadcast_state
        self._on_policy = on_policy
        self._freshness = Freshness()
        self._policy: Policy | None = None
        self._active_since = 0.0
        self._encoded_policy = b""
        self._next_offset: int | None = None
        self._routes = RouteTable([])
        self._services: dict[str, ServiceOptions] = {}
        self._is_fetching = False
        self._is_store_unavailable = False
        self._schedule = ReadSchedule(apply_seconds, random.Random())
        self._long_polling_enabled = asyncio.Event()

    @property
    def policy(self) -> Policy | None:
        """The active policy; None until this node has one."""
        return self._policy

    @property
    def version(self) -> int:
        """Version of the active policy; 0 until this node has one."""
        return self._policy.version if self._policy else 0

    @property
    def active_since(self) -> float:
        """When the policy became active at this node, in monotonic seconds."""
        return self._active_since

    @property
    def encoded_policy(self) -> bytes:
        """The active policy as stored; empty until this node has one."""
        return self._encoded_policy

    @property
    def routes(self) -> RouteTable:
        """The active policy's routes."""
        return self._routes

    @property
    def limits(self) -> CallerLimits:
        """The active policy's limits on callers."""
        return self._policy.limits if self._policy else CallerLimits()

    def get_health_path(self, service: str) -> str:
        """Return the path of health checks of a service; empty if there is none."""
        options = self._services.get(service)
        return options.health_path if options is not None else ""

    def get_warm_up_limits(self, service: str) -> WarmUpLimits | None:
        """Return the limits on calls to cold backend servers of a service, if any."""
        options = self._services.get(service)
        return options.warm_up if options is not None else None

    @property
    def age(self) -> float:
        """Seconds since the active policy was last known to be the newest."""
        return self._freshness.age

    @property
    def is_fresh(self) -> bool:
        """Whether the policy was confirmed recently enough to accept API keys by it."""
        return self._freshness.age < self._max_age_seconds

    @property
    def is_confirmation_overdue(self) -> bool:
        """Whether the policy has been unconfirmed so long that all readers are asked.

        Until then, a node asks only the readers in its zone, and a reader also asks the
        first reader.
        """
        return self._freshness.age > self._schedule.overdue_age_seconds

    async def run_long_polls(self) -> None:
        """Long-poll the store for updates until cancelled.

        Only a few readers long-poll: if all nodes did, each version would cost the
        store one call per node.
        """
        backoff_seconds = INITIAL_RETRY_SECONDS
        while True:
            await self._long_polling_enabled.wait()
            try:
                await self._long_poll_once()
                self._record_store_status(is_unavailable=False)
                backoff_seconds = INITIAL_RETRY_SECONDS
            except StoreError as error:
                self._record_store_status(is_unavailable=True, error=str(error))
                await asyncio.sleep(
                    random.uniform(backoff_seconds / 2, backoff_seconds)
                )
                backoff_seconds = min(MAX_RETRY_SECONDS, backoff_seconds * 2)

    async def run_periodic_reads(self) -> None:
        """Read the store whenever no peer has confirmed the policy lately."""
        await self._wait_for_peer_policy()
        schedule = self._schedule
        while True:
            if self._policy is not None:
                # The age grows by at most one second per second, so it cannot reach the
                # age at which a read is due before this sleep ends. After at most
                # max_sleep_seconds the ages are compared again.
                seconds_until_due = min(
                    schedule.read_due_age_seconds - self.age, schedule.max_sleep_seconds
                )
                await asyncio.sleep(max(MIN_READ_INTERVAL_SECONDS, seconds_until_due))
                if self.age < schedule.read_due_age_seconds:
                    continue
            try:
                await self._read_store()
            except StoreError as error:
                self._record_store_status(is_unavailable=True, error=str(error))
                await asyncio.sleep(schedule.record_failure())
            else:
                self._record_store_status(is_unavailable=False)
                schedule.record_success()
                if self._policy is None:
                    await asyncio.sleep(MIN_READ_INTERVAL_SECONDS)

    async def _wait_for_peer_policy(self) -> None:
        """Wait for a peer's policy for a limited time before reading the store."""
        wait_seconds = self._schedule.draw_initial_wait(self._first_start)
        while (
            wait_seconds > 0
            and self._policy is None
            and not self._long_polling_enabled.is_set()
        ):
            step = min(INITIAL_WAIT_POLL_SECONDS, wait_seconds)
            await asyncio.sleep(step)
            wait_seconds -= step

    async def _read_store(self) -> None:
        """Read the store once, without waiting for an update."""
        asked_at = self._freshness.now
        if self._next_offset is None:
            await self._read_newest(asked_at)
            return
        update = await self._read_since(0.0, READ_TIMEOUT_SECONDS)
        self._apply_update(update, asked_at)

    async def _read_newest(self, asked_at: float) -> None:
        newest = await self._store.read_newest(READ_TIMEOUT_SECONDS)
        self._next_offset = newest.next_offset
        self._evacuations.replace(newest.evacuations, newest.next_offset, STORE_SOURCE)
        self._apply_update(newest, asked_at)

    async def _read_since(self, wait: float, timeout: float) -> OperatorRecords | None:
        assert self._next_offset is not None
        try:
            return await self._store.read_since(self._next_offset, wait, timeout)
        except OffsetExpiredError:
            self._next_offset = None
            raise

    def set_reader_rank(self, rank: int | None) -> None:
        """Set this node's rank among the readers, and start or stop long polls.

        Args:
            rank: 0 for the first reader; None if this node is not a reader.
        """
        self._schedule.set_reader_rank(rank)
        if self._schedule.uses_long_polling:
            self._long_polling_enabled.set()
        else:
            self._long_polling_enabled.clear()

    def record_peer_age(
        self, version: int, age_seconds: float, asked_at: float
    ) -> None:
        """Record when a peer's policy was last known to be the newest.

        Args:
            version: The peer's policy version. If it differs from this node's, the call
                has no effect.
            age_seconds: Seconds since that version was last known to be the newest.
            asked_at: When the peer was asked, as returned by ``read_age_clock``.
        """
        if self.version and version == self.version:
            self._freshness.confirm(asked_at, age_seconds)

    async def fetch_newer(self, peer: Peer) -> None:
        """Fetch and apply a peer's newer policy, unless a fetch is in progress."""
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            await self._fetch_policy(peer)
        finally:
            self._is_fetching = False

    async def _fetch_policy(self, peer: Peer) -> None:
        asked_at = self._freshness.now
        try:
            answer = await peer.fetch_policy(PEER_TIMEOUT_SECONDS)
        except (ConnectionError, TimeoutError) as error:
            # The next state broadcast triggers another attempt.
            self._journal.emit(
                PEER_REQUEST_FAILED,
                peer=peer.entry.name,
                what="configuration",
                reason=str(error) or "timed out",
            )
            return
        if answer.record and answer.version > self.version:
            self._apply_record(
                answer.record, asked_at, answer.age_ms / 1000, peer.entry.name
            )

    async def _long_poll_once(self) -> None:
        asked_at = self._freshness.now
        if self._next_offset is None:
            await self._read_newest(asked_at)
            return
        timeout = LONG_POLL_WAIT_SECONDS + LONG_POLL_TIMEOUT_MARGIN_SECONDS
        update = await self._read_since(LONG_POLL_WAIT_SECONDS, timeout)
        if update is not None:
            self._apply_update(update, asked_at)

    def _apply_update(self, update: OperatorRecords | None, asked_at: float) -> None:
        if update is not None:
            self._next_offset = max(self._next_offset or 0, update.next_offset)
            self._evacuations.apply_changes(
                update.evacuations, update.next_offset, STORE_SOURCE
            )
            if update.policy is not None:
                self._apply_record(update.policy, asked_at, 0.0, STORE_SOURCE)
                return
        if self._policy is not None:
            self._freshness.confirm(asked_at)

    def _apply_record(
        self, record: bytes, asked_at: float, age_seconds: float, source: str
    ) -> None:
        try:
            policy = self._store.decode(record)
        except InputError as error:
            self._journal.emit(EDIT_REFUSED, reason=str(error), source=source)
            return
        if policy.version <= self.version:
            if policy.version == self.version:
                self._freshness.confirm(asked_at, age_seconds)
            return
        self._policy = policy
        self._active_since = time.monotonic()
        self._encoded_policy = record
        self._routes = RouteTable(policy.routes)
        self._apply_services(policy)
        self._freshness.confirm(asked_at, age_seconds)
        self._journal.emit(
            POLICY_IN_FORCE,
            version=policy.version,
            source=source,
            routes=len(policy.routes),
            keys=len(policy.tenants or ()),
        )
        self._on_policy(policy)
        if source == STORE_SOURCE:
            self._broadcast_state()

    def _apply_services(self, policy: Policy) -> None:
        """Apply the options of services; invalid ones leave a service as it was."""
        services = dict(policy.services)
        for name, reason in policy.invalid_services.items():
            if name in self._services:
                services[name] = self._services[name]
            self._journal.emit(
                VALUE_IGNORED, version=policy.version, service=name, reason=reason
            )
        self._services = services

    def _record_store_status(self, is_unavailable: bool, error: str = "") -> None:
        if is_unavailable != self._is_store_unavailable:
            self._is_store_unavailable = is_unavailable
            if is_unavailable:
                self._journal.emit(LOG_UNAVAILABLE, error=error)
            else:
                self._journal.emit(LOG_RECOVERED)

"""Holds the buckets of the partitions leased to this instance."""

import asyncio
import math
import random
from collections.abc import Callable

from ..fleet.control import ControlClient, ControlServer, PeerError
from ..fleet.members import Members
from ..proto import control_pb2 as pb
from .account import Account, Entitlement, LoanPart
from .bucket import Bucket
from .clock import read_clock
from .lease import Candidate, get_partition, Lease, Partitions
from .purse import Lot, SMALLEST

LOAN_TIMEOUT_SECONDS = 0.25
# What a zone's demand exceeds its own rate by is borrowed for this long ahead.
AHEAD_SECONDS = 0.3
# Of what stands, one node gets at most this share at once, so that the next finds some.
LARGEST_SHARE = 0.5
LONGEST_RETRY_SECONDS = 5.0
# When enough was lent but another was quicker, the next loan is asked for at once.
LOAN_ROUNDS = 3
# After a round that brought less than a token to a workspace that asks for more than
# this multiple of its rate, calls are refused without another round.
OVER_FACTOR = 1.1
DRY_SECONDS = 0.05
# A workspace within its rate waits so long for a token that is about to accrue.
LONGEST_ACCRUAL_SECONDS = 0.1
# Grants made of loans that no node has reported spent; older ones have lapsed.
PASSED_KEPT = 1024
SHORTEST_RETRY_SECONDS = 0.05


class Holder:
    """Grants tokens to the zone's nodes and lends them to other zones' holders.

    Args:
        members: Where holders are.
        partitions: Which instances they should be.
        candidate: Knows which leases are held.
        client: Asks other zones' holders.
        get_entitlement: Returns a workspace's rate here, None where it has none.
        life: Seconds that granted tokens may be spent in.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        candidate: Candidate,
        client: ControlClient,
        get_entitlement: Callable[[str], Entitlement | None],
        life: float,
    ):
        self._members = members
        self._partitions = partitions
        self._candidate = candidate
        self._client = client
        self._get_entitlement = get_entitlement
        self._life = life
        self._accounts: dict[str, Account] = {}

    def register(self, server: ControlServer) -> None:
        """Answer nodes and other holders."""
        server.register("Grant", self._answer_grant)
        server.register("Loan", self._answer_loan)

    def start_lease(self, lease: Lease) -> None:
        """Begin a partition anew: nothing stands, and a predecessor's may be out."""
        for workspace in list(self._accounts):
            if get_partition(workspace) == lease.partition:
                del self._accounts[workspace]

    def apply_entitlements(self) -> None:
        """Take the document's rates over into the buckets."""
        now = read_clock()
        for workspace, account in list(self._accounts.items()):
            entitlement = self._get_entitlement(workspace)
            if entitlement is None:
                del self._accounts[workspace]
            else:
                account.bucket.change(entitlement.rate, entitlement.burst, now)
                account.fleet_rate = entitlement.fleet_rate

    async def grant(self, request: pb.GrantRequest) -> pb.GrantReply:
        """Grant tokens, own ones first and then lent ones."""
        account = self._find_account(request.workspace)
        if account is None:
            return pb.GrantReply(holder=False)
        now = read_clock()
        for grant_id in request.spent:
            account.bucket.settle(grant_id, now)
            for part in account.passed.pop(grant_id, ()):
                account.spent.setdefault(part.zone, []).append(part)
        account.demand.note(request.wanted)
        reply = self._take(account, request.wanted)
        if reply is not None:
            self._borrow_early(request.workspace, account)
        rounds = 0
        while reply is None and rounds < LOAN_ROUNDS and now >= account.dry_until:
            rounds += 1
            enough = await self._borrow(request.workspace, account, request.wanted)
            # The wait may have outlived the lease.
            if self._find_account(request.workspace) is not account:
                return pb.GrantReply(holder=False)
            reply = self._take(account, request.wanted)
            if reply is None and not enough and self._is_over(account):
                # Less than a whole token was lent. Asking on and on would only move
                # fractions to and fro between zones, and the caller would wait for
                # what it can be told at once.
                account.dry_until = read_clock() + DRY_SECONDS
        if reply is None and not account.bucket.is_open(read_clock()):
            # Not a workspace over its rate, but a holder that may not grant yet.
            return pb.GrantReply(holder=False)
        if reply is None and not self._is_over(account):
            reply = await self._wait_for_accrual(request, account)
        return reply or self._build_denial(account)

    def holds(self, workspace: str) -> bool:
        """Whether the workspace's tokens in this zone are granted here now."""
        account = self._find_account(workspace)
        return account is not None and account.bucket.is_open(read_clock())

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the accounts for the operator address."""
        now = read_clock()
        described = {}
        for workspace, account in self._accounts.items():
            if self._find_account(workspace) is None:
                continue
            account.bucket.accrue(now)
            described[workspace] = {
                "level": round(account.bucket.level, 3),
                "out": round(account.bucket.out, 3),
                "borrowed": round(account.borrowed.count(now), 3),
                "rate": account.bucket.rate,
                "demand": round(account.demand.read(), 3),
            }
        return described

    async def _answer_grant(self, request: pb.GrantRequest, _: str) -> pb.GrantReply:
        return await self.grant(request)

    async def _answer_loan(self, request: pb.LoanRequest, _: str) -> pb.LoanReply:
        account = self._find_account(request.workspace)
        if account is None:
            return pb.LoanReply()
        now = read_clock()
        for part in request.spent:
            account.bucket.settle(part.loan, now, part.tokens)
        grant = account.bucket.grant(request.wanted, self._life, now)
        if grant is None:
            return pb.LoanReply()
        life_ms = int(self._life * 1000)
        return pb.LoanReply(tokens=grant.tokens, life_ms=life_ms, loan=grant.id)

    def _take(self, account: Account, wanted: float) -> pb.GrantReply | None:
        """Return a grant of whole tokens, or None where there is not one."""
        now = read_clock()
        bucket = account.bucket
        bucket.accrue(now)
        most = math.floor(min(wanted, max(1.0, bucket.level * LARGEST_SHARE)))
        # Lent tokens first: they lapse, and the own ones do not.
        if bucket.level >= 1 and account.borrowed.count(now) < 1:
            grant = bucket.grant(most, self._life, now)
            assert grant is not None
            return pb.GrantReply(
                grant=grant.id,
                tokens=grant.tokens,
                life_ms=int(self._life * 1000),
                holder=True,
            )
        return self._take_borrowed(account, wanted, now)

    def _take_borrowed(
        self, account: Account, wanted: float, now: float
    ) -> pb.GrantReply | None:
        """Pass lent tokens on, with fractions of the own bucket to make them whole."""
        bucket = account.bucket
        sum_of_parts = account.borrowed.count(now) + bucket.level
        whole = math.floor(min(wanted, sum_of_parts) + SMALLEST)
        if whole < 1:
            return None
        tokens = 0.0
        parts = []
        ends_at = now + self._life
        while tokens < whole - SMALLEST:
            lot = account.borrowed.take_oldest(now)
            if lot is None:
                break
            part = min(lot.tokens, whole - tokens)
            tokens += part
            parts.append(LoanPart(lot.source, lot.grant, part))
            ends_at = min(ends_at, lot.expires_at)
            if lot.tokens > part:
                lot.tokens -= part
                account.borrowed.add(lot)
        if tokens < whole - SMALLEST:
            own = bucket.grant(whole - tokens, self._life, now)
            tokens += own.tokens if own else 0.0
        if tokens + SMALLEST < whole:
            return None
        grant_id = Bucket.make_id()
        account.passed[grant_id] = parts
        while len(account.passed) > PASSED_KEPT:
            account.passed.popitem(last=False)
        life_ms = int((ends_at - now) * 1000)
        return pb.GrantReply(grant=grant_id, tokens=whole, life_ms=life_ms, holder=True)

    def _borrow_early(self, workspace: str, account: Account) -> None:
        """Borrow before the own tokens are gone, where demand is over the own rate.

        Otherwise this zone's bucket empties while those of the others are full, and
        what would accrue there is lost.
        """
        ahead = (account.demand.read() - account.bucket.rate) * AHEAD_SECONDS
        if ahead > account.borrowed.count(read_clock()):
            if account.borrowing is None or account.borrowing.done():
                account.borrowing = asyncio.create_task(
                    self._ask_for_loans(workspace, account, ahead)
                )

    async def _wait_for_accrual(
        self, request: pb.GrantRequest, account: Account
    ) -> pb.GrantReply | None:
        """Wait for the next token where it comes soon, as after a hand-over.

        A new holder starts empty; refusing for that what is within the rate would be
        wrong, and a few milliseconds are no matter.
        """
        wait = account.bucket.get_wait(1.0)
        if wait > LONGEST_ACCRUAL_SECONDS:
            return None
        await asyncio.sleep(wait)
        if self._find_account(request.workspace) is not account:
            return pb.GrantReply(holder=False)
        return self._take(account, request.wanted)

    def _is_over(self, account: Account) -> bool:
        """Whether this zone alone is asked for more than the whole fleet may grant."""
        return account.demand.read() > OVER_FACTOR * account.fleet_rate

    def _build_denial(self, account: Account) -> pb.GrantReply:
        wait = account.bucket.get_wait(1.0)
        wait = min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, wait))
        return pb.GrantReply(holder=True, retry_after_ms=int(wait * 1000))

    async def _borrow(self, workspace: str, account: Account, wanted: float) -> bool:
        """Ask other zones, once for all who wait; whether they lent enough."""
        if account.borrowing is None or account.borrowing.done():
            missing = max(1.0, wanted) - account.bucket.level
            account.borrowing = asyncio.create_task(
                self._ask_for_loans(workspace, account, missing)
            )
        return await asyncio.shield(account.borrowing)

    async def _ask_for_loans(
        self, workspace: str, account: Account, missing: float
    ) -> bool:
        """Ask every zone for its part, and then one after another for the rest."""
        own_zone = self._members.own.zone
        zones = _shuffle(set(self._members.zones) - {own_zone})
        if not zones:
            return False
        missing -= account.borrowed.count(read_clock())
        part = max(SMALLEST, missing / len(zones))
        lots = await asyncio.gather(
            *(self._ask_zone(zone, workspace, account, part) for zone in zones)
        )
        able = []
        for zone, lot in zip(zones, lots, strict=True):
            if lot is not None:
                account.borrowed.add(lot)
                missing -= lot.tokens
                able.append(zone)
        for zone in able:
            if missing <= SMALLEST:
                break
            lot = await self._ask_zone(zone, workspace, account, missing)
            if lot is not None:
                account.borrowed.add(lot)
                missing -= lot.tokens
        return missing <= SMALLEST

    async def _ask_zone(
        self, zone: str, workspace: str, account: Account, wanted: float
    ) -> Lot | None:
        spent = [
            pb.SpentLoan(loan=part.loan, tokens=part.tokens)
            for part in account.spent.pop(zone, ())
        ]
        request = pb.LoanRequest(workspace=workspace, wanted=wanted, spent=spent)
        names = self._partitions.rank(zone, get_partition(workspace))
        member = self._members.get(names[0]) if names else None
        if member is None:
            return None
        sent_at = read_clock()
        try:
            reply = await self._client.call(
                member.control, "Loan", request, LOAN_TIMEOUT_SECONDS, member.instance
            )
        except PeerError:
            # Tokens in a lost answer are gone; the lender wrote them off.
            return None
        # Counted from before the question: they end here before the lender takes
        # them for ended.
        expires_at = sent_at + reply.life_ms / 1000
        if reply.tokens <= 0:
            return None
        return Lot(reply.loan, reply.tokens, expires_at, zone)

    def _find_account(self, workspace: str) -> Account | None:
        """Return the account, if its partition is held here at this moment."""
        lease = self._candidate.find_lease(get_partition(workspace))
        entitlement = self._get_entitlement(workspace)
        if lease is None or entitlement is None:
            return None
        account = self._accounts.get(workspace)
        if account is None:
            # A predecessor's tokens may be spent until its last grant's end, which
            # is not later than one life after this lease began.
            blocked_until = lease.taken_at + self._life
            bucket = Bucket(
                entitlement.rate, entitlement.burst, lease.taken_at, blocked_until
            )
            account = Account(bucket, entitlement.fleet_rate)
            self._accounts[workspace] = account
        return account


def _shuffle(zones: set[str]) -> list[str]:
    names = sorted(zones)
    random.shuffle(names)
    return names

"""Charges a node's root calls, with tokens asked for a little ahead."""

import asyncio
import math
import random
from collections.abc import Callable

from ..document.document import Rate
from ..fleet.control import ControlClient, PeerError
from ..fleet.members import Members
from ..observe.metrics import Metrics
from ..proto import control_pb2 as pb
from ..verdicts import not_run, Reason
from .account import Demand
from .clock import read_clock
from .holder import Holder, OVER_FACTOR
from .lease import get_partition, Partitions
from .purse import Lot, Purse

GRANT_TIMEOUT_SECONDS = 0.6
# Tokens for this long are asked for at once; more would lie idle at one node while
# another refuses.
AHEAD_SECONDS = 0.1
DEMAND_SECONDS = 0.5
LOCAL_CANDIDATES = 2
NO_HOLDER_RETRY_SECONDS = 1.0
# A holder that was lost is replaced within a lease; calls within their rate wait a
# part of that time rather than be refused for it.
HAND_OVER_SECONDS = 1.0
ASK_AGAIN_SECONDS = 0.1
# A holder's denial stands for the node's other calls for this long.
DENIAL_SECONDS = 0.02


class Denial:
    """A holder's answer that there is no token, and when there may be one."""

    __slots__ = ("retry_after",)

    def __init__(self, retry_after: float):
        self.retry_after = retry_after


class Wallet:
    """What a node has of one workspace's tokens."""

    __slots__ = ("demand", "denial", "denied_until", "purse", "refill", "waiting")

    def __init__(self) -> None:
        self.purse = Purse()
        self.demand = Demand(DEMAND_SECONDS)
        self.waiting = 0
        self.denial: Denial | None = None
        self.denied_until = -math.inf
        self.refill: asyncio.Task[None] | None = None


class Charger:
    """Spends a token a root call.

    Args:
        members: Where holders are.
        partitions: Which instances they should be.
        holder: This instance's own, asked without a message.
        client: Asks others.
        get_rate: Returns a workspace's rate, None where it is not limited.
        metrics: Counts tokens.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        holder: Holder,
        client: ControlClient,
        get_rate: Callable[[str], Rate | None],
        metrics: Metrics,
    ):
        self._members = members
        self._partitions = partitions
        self._holder = holder
        self._client = client
        self._get_rate = get_rate
        self._metrics = metrics
        self._wallets: dict[str, Wallet] = {}

    async def charge(self, workspace: str, patience: float) -> None:
        """Spend a token.

        Args:
            workspace: Whose.
            patience: Seconds to wait for a holder's answer at the most.

        Raises:
            Refusal: ``not run``: no token, or no holder can be reached.
        """
        rate = self._get_rate(workspace)
        if rate is None:
            return
        wallet = self._wallets.get(workspace)
        if wallet is None:
            wallet = self._wallets[workspace] = Wallet()
        wallet.demand.note(1.0)
        if wallet.purse.spend(1.0, read_clock()):
            self._metrics.tokens.labels("spent").inc()
            self._refill_early(workspace, wallet)
            return
        over = wallet.demand.read() > OVER_FACTOR * rate.per_second
        if over and wallet.denial and read_clock() < wallet.denied_until:
            # Said a moment ago: a workspace far over its rate must not cost a message
            # for each of its calls.
            self._raise_denial(wallet)
        await self._wait_for_token(workspace, wallet, patience)
        self._metrics.tokens.labels("spent").inc()

    async def _wait_for_token(
        self, workspace: str, wallet: Wallet, patience: float
    ) -> None:
        wallet.waiting += 1
        gives_up_at = read_clock() + HAND_OVER_SECONDS
        try:
            async with asyncio.timeout(patience):
                while not wallet.purse.spend(1.0, read_clock()):
                    wallet.denial = None
                    self._start_refill(workspace, wallet)
                    assert wallet.refill is not None
                    await asyncio.shield(wallet.refill)
                    if wallet.purse.spend(1.0, read_clock()):
                        return
                    if self._awaits_holder(wallet) and read_clock() < gives_up_at:
                        await asyncio.sleep(ASK_AGAIN_SECONDS)
                        continue
                    self._raise_denial(wallet)
        except TimeoutError as error:
            raise not_run(
                Reason.DEADLINE_EXCEEDED, "no rate token before the deadline"
            ) from error
        finally:
            wallet.waiting -= 1

    def _awaits_holder(self, wallet: Wallet) -> bool:
        """Whether nobody who holds the tokens was reached, as while one is replaced."""
        return wallet.denial is not None and wallet.denial.retry_after < 0

    def _raise_denial(self, wallet: Wallet) -> None:
        """Refuse, unless tokens came and others were quicker."""
        denial = wallet.denial
        if denial is None:
            return
        self._metrics.tokens.labels("denied").inc()
        if denial.retry_after < 0:
            detail = "no node that holds the workspace's rate can be reached"
            raise not_run(Reason.RATE_UNAVAILABLE, detail, NO_HOLDER_RETRY_SECONDS)
        retry_after = denial.retry_after * random.uniform(1.0, 1.5)
        raise not_run(
            Reason.RATE_EXCEEDED, "the workspace is over its rate", retry_after
        )

    def _refill_early(self, workspace: str, wallet: Wallet) -> None:
        """Ask for more before the last token goes, where calls keep coming."""
        ahead = wallet.demand.read() * AHEAD_SECONDS
        if ahead > 2 and wallet.purse.count(read_clock()) < ahead / 2:
            self._start_refill(workspace, wallet)

    def _start_refill(self, workspace: str, wallet: Wallet) -> None:
        if wallet.refill is None or wallet.refill.done():
            wallet.refill = asyncio.create_task(self._refill(workspace, wallet))

    async def _refill(self, workspace: str, wallet: Wallet) -> None:
        wanted = max(1.0, wallet.waiting, wallet.demand.read() * AHEAD_SECONDS)
        reached = False
        for address, instance in self._list_holders(workspace):
            reply, sent_at = await self._ask(
                workspace, wallet, wanted, address, instance
            )
            if reply is None or not reply.holder:
                continue
            reached = True
            if reply.tokens > 0:
                expires_at = sent_at + reply.life_ms / 1000
                lot = Lot(reply.grant, reply.tokens, expires_at, address)
                wallet.purse.add(lot)
                self._metrics.tokens.labels("granted").inc(reply.tokens)
                return
            wallet.denial = Denial(reply.retry_after_ms / 1000)
            wallet.denied_until = read_clock() + DENIAL_SECONDS
            return
        if not reached:
            wallet.denial = Denial(-1.0)

    async def _ask(
        self,
        workspace: str,
        wallet: Wallet,
        wanted: float,
        address: str,
        instance: str,
    ) -> tuple[pb.GrantReply | None, float]:
        spent = wallet.purse.take_spent(address)
        request = pb.GrantRequest(workspace=workspace, wanted=wanted, spent=spent)
        sent_at = read_clock()
        if instance == self._members.own.instance:
            return await self._holder.grant(request), sent_at
        try:
            reply = await self._client.call(
                address, "Grant", request, GRANT_TIMEOUT_SECONDS, instance
            )
        except PeerError:
            return None, sent_at
        return reply, sent_at

    def _list_holders(self, workspace: str) -> list[tuple[str, str]]:
        """Return who may hold the workspace's tokens, this zone's first."""
        own = self._members.own.zone
        partition = get_partition(workspace)
        names = self._partitions.rank(own, partition)[:LOCAL_CANDIDATES]
        zones = sorted(set(self._members.zones) - {own})
        random.shuffle(zones)
        for zone in zones:
            names += self._partitions.rank(zone, partition)[:1]
        members = [self._members.get(name) for name in names]
        return [(m.control, m.instance) for m in members if m is not None]

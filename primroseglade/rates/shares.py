"""This zone's share of every rate, which grows only when all others know."""

import asyncio
from collections.abc import Callable

from ..fleet.configuration import Configuration
from ..fleet.confirm import Confirmer

ASK_SECONDS = 1.0
ANSWER_SECONDS = 2.0


class ShareGate:
    """Lets a smaller share through at once, a larger one after every confirmation.

    When a share moves from one zone to another, both would spend it for as long as
    the loser has not heard of the edit. So the winner waits until every instance has
    confirmed it. A zone that is cut off does not confirm: the share that moved lies
    idle until it is back, or until its instances are forgotten.

    Args:
        zone: The availability zone of this instance.
        configuration: The document.
        confirmer: Asks the fleet.
        on_change: Called when another share came into force.
    """

    def __init__(
        self,
        zone: str,
        configuration: Configuration,
        confirmer: Confirmer,
        on_change: Callable[[], None],
    ):
        self._zone = zone
        self._configuration = configuration
        self._confirmer = confirmer
        self._on_change = on_change
        self._share: float | None = None
        self._awaited: int | None = None
        self._changed = asyncio.Event()

    @property
    def share(self) -> float:
        """The share in force."""
        return self._share or 0.0

    @property
    def awaited(self) -> int | None:
        """The offset that has to be confirmed for a larger share, or None."""
        return self._awaited

    def activate(self, shares_told: list[float]) -> None:
        """Begin, with the configuration that this instance started from.

        Args:
            shares_told: Shares in force at other instances of the zone. One of them
                may know of a share that others still have to confirm.
        """
        wanted = self._get_wanted()
        self._share = min([wanted, *shares_told])
        self.note_change()

    def note_change(self) -> None:
        """Look at what the document says now."""
        if self._share is None:
            return
        wanted = self._get_wanted()
        if wanted > self._share:
            self._awaited = self._configuration.next_offset
            self._changed.set()
            return
        self._awaited = None
        if wanted < self._share:
            self._share = wanted
        self._on_change()

    async def run(self) -> None:
        """Ask for confirmations while a larger share waits for them."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._awaited is not None:
                await self._try_to_grow(self._awaited)
                await asyncio.sleep(ASK_SECONDS)

    def _get_wanted(self) -> float:
        return self._configuration.document.shares.get(self._zone, 0.0)

    async def _try_to_grow(self, next_offset: int) -> None:
        status = await self._confirmer.ask(ANSWER_SECONDS)
        if self._awaited != next_offset or not status.is_everywhere(next_offset):
            return
        self._share = self._get_wanted()
        self._awaited = None
        self._on_change()

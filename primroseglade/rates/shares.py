"""This zone's share of every rate, which grows only when all others know."""

import asyncio
from collections.abc import Callable

from ..fleet.configuration import Configuration
from ..fleet.confirm import Confirmer

CONFIRMATION_INTERVAL_SECONDS = 1.0
CONFIRMATION_TIMEOUT_SECONDS = 2.0


class ZoneShare:
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
        self._awaited_offset: int | None = None
        self._changed = asyncio.Event()

    @property
    def share(self) -> float:
        """The share in force."""
        return self._share or 0.0

    @property
    def awaited_offset(self) -> int | None:
        """The offset that has to be confirmed for a larger share, or None."""
        return self._awaited_offset

    def activate(self, reported_shares: list[float]) -> None:
        """Begin, with the configuration that this instance started from.

        Args:
            shares_told: Shares in force at other instances of the zone. One of them
                may know of a share that others still have to confirm.
        """
        configured_share = self._get_configured_share()
        self._share = min([configured_share, *reported_shares])
        self.apply_document()

    def apply_document(self) -> None:
        """Look at what the document says now."""
        if self._share is None:
            return
        configured_share = self._get_configured_share()
        if configured_share > self._share:
            self._awaited_offset = self._configuration.next_offset
            self._changed.set()
            return
        self._awaited_offset = None
        if configured_share < self._share:
            self._share = configured_share
        self._on_change()

    async def run(self) -> None:
        """Ask for confirmations while a larger share waits for them."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._awaited_offset is not None:
                await self._try_to_raise(self._awaited_offset)
                await asyncio.sleep(CONFIRMATION_INTERVAL_SECONDS)

    def _get_configured_share(self) -> float:
        return self._configuration.document.shares.get(self._zone, 0.0)

    async def _try_to_raise(self, next_offset: int) -> None:
        status = await self._confirmer.ask(CONFIRMATION_TIMEOUT_SECONDS)
        if self._awaited_offset != next_offset or not status.is_everywhere(next_offset):
            return
        self._share = self._get_configured_share()
        self._awaited_offset = None
        self._on_change()

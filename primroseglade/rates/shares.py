"""This zone's share of every rate, raised only once all instances know the change."""

import asyncio
from collections.abc import Callable

from ..fleet.configuration import Configuration
from ..fleet.confirm import Confirmer

CONFIRMATION_INTERVAL_SECONDS = 1.0
CONFIRMATION_TIMEOUT_SECONDS = 2.0


class ZoneShare:
    """Applies a smaller share at once, a larger one once all instances confirm it.

    If part of a share moves from one zone to another, both could spend it until the
    losing zone has received the change. So the gaining zone waits until every instance
    has confirmed the change. A zone that is partitioned off does not confirm: the moved
    part remains unused until the zone is back, or until its instances are removed from
    the members.

    Args:
        zone: Availability zone of this instance.
        configuration: Holds the configuration document.
        confirmer: Collects confirmations from the fleet.
        on_change: Called when the share in force may have changed.
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
        self._raise_pending = asyncio.Event()

    @property
    def share(self) -> float:
        """The share in force, as a fraction of every rate."""
        return self._share or 0.0

    @property
    def awaited_offset(self) -> int | None:
        """Offset in the configuration log that instances have to reach, or None.

        A larger share comes into force once all instances have confirmed this offset.
        """
        return self._awaited_offset

    def activate(self, reported_shares: list[float]) -> None:
        """Initialize the share from the configuration that this instance loaded.

        Args:
            reported_shares: Shares in force at other instances of the zone. A larger
                configured share may still await confirmations.
        """
        configured_share = self._get_configured_share()
        self._share = min([configured_share, *reported_shares])
        self.apply_document()

    def apply_document(self) -> None:
        """Apply the configured share, or await confirmations of a larger one."""
        if self._share is None:
            return
        configured_share = self._get_configured_share()
        if configured_share > self._share:
            self._awaited_offset = self._configuration.next_offset
            self._raise_pending.set()
            return
        self._awaited_offset = None
        if configured_share < self._share:
            self._share = configured_share
        self._on_change()

    async def run(self) -> None:
        """Collect confirmations while a larger share awaits them."""
        while True:
            await self._raise_pending.wait()
            self._raise_pending.clear()
            while self._awaited_offset is not None:
                await self._try_to_raise(self._awaited_offset)
                await asyncio.sleep(CONFIRMATION_INTERVAL_SECONDS)

    def _get_configured_share(self) -> float:
        return self._configuration.document.shares.get(self._zone, 0.0)

    async def _try_to_raise(self, next_offset: int) -> None:
        status = await self._confirmer.collect(CONFIRMATION_TIMEOUT_SECONDS)
        if self._awaited_offset != next_offset or not status.is_confirmed_by_all(
            next_offset
        ):
            return
        self._share = self._get_configured_share()
        self._awaited_offset = None
        self._on_change()

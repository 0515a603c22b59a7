"""What the queue of a backend server needs of a limit on the calls that start there."""

from typing import Protocol

from ..verdicts import Reason


class StartLimit(Protocol):
    """A limit on the calls that start at the backend server.

    A start is reserved when a call gets its slot, and counts from then on. Otherwise
    calls that wait for connections could be sent all at once, together with later ones.
    """

    @property
    def reason(self) -> Reason:
        """Reason of a refusal because of this limit."""

    def describe(self) -> str:
        """Return why starts are limited, for the detail of a refusal."""

    def get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start; 0 if it may start now.

        Args:
            calls_ahead: Number of calls that start before it.
        """

    def reserve_start(self, slot: int) -> None:
        """Reserve a start for the call that holds a slot."""

    def cancel_start(self, slot: int) -> None:
        """Cancel the reservation of a call that was not sent, if there is one."""

    def record_start(self, slot: int | None = None) -> None:
        """Record that a request is sent.

        Args:
            slot: ID of the call's slot, whose reservation ends; None without one.
        """

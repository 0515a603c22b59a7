"""Reachability of addresses, where tests and the demo inject network partitions."""

import asyncio


class Network:
    """The real network, without injected faults."""

    def is_cut(self, address: str) -> bool:
        """Whether the link to an address is cut."""
        return False

    async def wait_if_cut(self, address: str, timeout: float) -> None:
        """Wait for the timeout and raise if the link is cut; here it never is.

        Args:
            address: Destination of a message.
            timeout: Seconds to wait before raising.

        Raises:
            TimeoutError: The link is cut; only in subclasses that inject partitions.
        """


class PartitionableNetwork(Network):
    """A network in which links can be cut; messages over a cut link are lost."""

    def __init__(self) -> None:
        self._cut: set[str] = set()

    def cut(self, addresses: set[str]) -> None:
        """Cut the links to addresses."""
        self._cut |= addresses

    def heal(self) -> None:
        """Restore all links."""
        self._cut.clear()

    def is_cut(self, address: str) -> bool:
        """Whether the link to an address is cut."""
        return address in self._cut

    async def wait_if_cut(self, address: str, timeout: float) -> None:
        """Return at once, or raise after ``timeout`` seconds if the link is cut.

        Raises:
            TimeoutError: The link is cut.
        """
        if address in self._cut:
            await asyncio.sleep(timeout)
            raise TimeoutError(f"the link to {address} is cut")

"""What a node can reach; the one place where tests and the demo cut links."""

import asyncio


class Network:
    """The network as it is: every address may be tried."""

    def is_cut(self, address: str) -> bool:
        """Whether nothing gets through to an address."""
        return False

    async def pass_through(self, address: str, timeout: float) -> None:
        """Wait as long as a cut link would keep a sender waiting.

        Args:
            address: Where something is to be sent.
            timeout: Seconds after which the sender gives up.

        Raises:
            TimeoutError: The link is cut.
        """


class CutNetwork(Network):
    """A network in which links can be cut; what is sent over one vanishes."""

    def __init__(self) -> None:
        self._cut: set[str] = set()

    def cut(self, addresses: set[str]) -> None:
        """Cut the links to addresses."""
        self._cut |= addresses

    def heal(self) -> None:
        """Bring every link back."""
        self._cut.clear()

    def is_cut(self, address: str) -> bool:
        """Whether nothing gets through to an address."""
        return address in self._cut

    async def pass_through(self, address: str, timeout: float) -> None:
        """Let a sender wait for its time-out if the link is cut."""
        if address in self._cut:
            await asyncio.sleep(timeout)
            raise TimeoutError(f"the link to {address} is cut")

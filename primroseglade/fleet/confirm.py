"""Asks the whole fleet how far its configuration is, down a tree of nodes.

Confirmations are asked for and never sent unasked: at 12,000 nodes and 9,800 edits a
day a report of every node on every edit would alone outrun a node's share of the
network. Each node asks at most ``FANOUT`` others, and they ask the rest.
"""

import asyncio

from ..proto import control_pb2 as pb
from .configuration import Configuration
from .control import ControlClient, ControlServer, PeerError
from .members import Members

FANOUT = 8
# Of its time a node keeps this share, so that its own answer is in time although
# one below it is not.
CHILD_TIMEOUT_RATIO = 0.8


class ConfirmationStatus:
    """Who is how far.

    Args:
        offsets: Next offset by instance, of those that answered.
        silent: Instances that did not answer.
    """

    __slots__ = ("offsets", "silent")

    def __init__(self, offsets: dict[str, int], silent: list[str]):
        self.offsets = offsets
        self.silent = silent

    def find_behind(self, next_offset: int) -> list[str]:
        """Return the instances that answered and are not that far."""
        return sorted(
            name for name, offset in self.offsets.items() if offset < next_offset
        )

    def is_everywhere(self, next_offset: int) -> bool:
        """Whether every known instance said that it is that far."""
        return not self.silent and not self.find_behind(next_offset)


class Confirmer:
    """Asks and answers for confirmations.

    Args:
        configuration: This instance's.
        members: Whom there is to ask.
        client: Asks them.
    """

    def __init__(
        self, configuration: Configuration, members: Members, client: ControlClient
    ):
        self._configuration = configuration
        self._members = members
        self._client = client

    def register(self, server: ControlServer) -> None:
        """Answer for this node and those below it."""
        server.register("Confirm", self._answer)

    async def ask(self, timeout: float) -> ConfirmationStatus:
        """Ask every member that has not left.

        Args:
            timeout: Seconds until whoever has not answered counts as silent.
        """
        own = self._members.own.instance
        others = {
            member.control: member.instance
            for member in self._members
            if member.instance != own and member.state.name != "LEFT"
        }
        # Dead members are listed as silent without being asked for long: an instance
        # that is cut off is dead to this one, and may well be serving.
        reply = await self._collect_groups(sorted(others), timeout)
        offsets = {item.instance: item.next_offset for item in reply.confirmations}
        offsets[own] = self._configuration.next_offset
        silent = {others[control] for control in reply.silent if control in others}
        return ConfirmationStatus(offsets, sorted(silent))

    async def _answer(self, request: pb.ConfirmRequest, _: str) -> pb.ConfirmReply:
        timeout = request.timeout_ms / 1000 * CHILD_TIMEOUT_RATIO
        reply = await self._collect_groups(list(request.controls), timeout)
        reply.confirmations.add(
            instance=self._members.own.instance,
            next_offset=self._configuration.next_offset,
        )
        return reply

    async def _collect_groups(
        self, controls: list[str], timeout: float
    ) -> pb.ConfirmReply:
        groups = [controls[start::FANOUT] for start in range(FANOUT)]
        requests = [self._collect_group(group, timeout) for group in groups if group]
        merged = pb.ConfirmReply()
        for reply in await asyncio.gather(*requests):
            merged.MergeFrom(reply)
        return merged

    async def _collect_group(self, group: list[str], timeout: float) -> pb.ConfirmReply:
        """Ask the group's first node for all; where it is silent, the next one."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + timeout
        silent: list[str] = []
        while group and clock() < deadline:
            first, *rest = group
            # Half of what is left: a silent node must leave time for the next.
            timeout_of_first = (deadline - clock()) / (2 if rest else 1)
            request = pb.ConfirmRequest(
                controls=rest, timeout_ms=int(timeout_of_first * 1000)
            )
            try:
                reply = await self._client.call(
                    first, "Confirm", request, timeout_of_first
                )
            except PeerError:
                silent.append(first)
                group = rest
                continue
            reply.silent.extend(silent)
            return reply
        return pb.ConfirmReply(silent=silent + group)

"""Collects the configuration offsets of the whole fleet over a tree of nodes.

Nodes send confirmations only on request: at 12,000 nodes and 9,800 edits a day, reports
of every node on every edit would alone exceed a node's share of the network. A node
requests confirmations from at most ``FANOUT`` others, which request those of the rest.
"""

import asyncio

from ..proto import control_pb2 as pb
from .configuration import Configuration
from .control import ControlClient, ControlServer, PeerError
from .members import Members

FANOUT = 8
# Fraction of its own timeout that a node gives the nodes below it in the tree, so that
# its reply is in time even if theirs are not.
CHILD_TIMEOUT_RATIO = 0.8


class ConfirmationStatus:
    """How far each instance has applied the configuration log.

    Args:
        offsets: Next offset of each instance that answered, by its name.
        silent: Names of the instances that did not answer.
    """

    __slots__ = ("offsets", "silent")

    def __init__(self, offsets: dict[str, int], silent: list[str]):
        self.offsets = offsets
        self.silent = silent

    def find_behind(self, next_offset: int) -> list[str]:
        """Return the names of instances that answered with an offset below this one."""
        return sorted(
            name for name, offset in self.offsets.items() if offset < next_offset
        )

    def is_confirmed_by_all(self, next_offset: int) -> bool:
        """Whether all instances answered with at least this offset."""
        return not self.silent and not self.find_behind(next_offset)


class Confirmer:
    """Collects confirmations, and answers requests for them.

    Args:
        configuration: The configuration of this instance.
        members: The member table.
        client: Client for messages to other nodes.
    """

    def __init__(
        self, configuration: Configuration, members: Members, client: ControlClient
    ):
        self._configuration = configuration
        self._members = members
        self._client = client

    def register(self, server: ControlServer) -> None:
        """Register the handler that answers for this node and the nodes below it."""
        server.register("Confirm", self._answer)

    async def collect(self, timeout: float) -> ConfirmationStatus:
        """Collect the confirmations of all members that have not left.

        Args:
            timeout: Seconds after which a member without an answer counts as silent.
        """
        own_name = self._members.own.instance
        names_by_address = {
            member.control: member.instance
            for member in self._members
            if member.instance != own_name and member.state.name != "LEFT"
        }
        # Dead members are asked too: an instance behind a network partition is dead in
        # this table, but may still serve calls. Without an answer it counts as silent.
        reply = await self._collect_groups(sorted(names_by_address), timeout)
        offsets = {item.instance: item.next_offset for item in reply.confirmations}
        offsets[own_name] = self._configuration.next_offset
        silent_names = {
            names_by_address[control]
            for control in reply.silent
            if control in names_by_address
        }
        return ConfirmationStatus(offsets, sorted(silent_names))

    async def _answer(self, request: pb.ConfirmRequest, _: str) -> pb.ConfirmReply:
        timeout = request.timeout_ms / 1000 * CHILD_TIMEOUT_RATIO
        reply = await self._collect_groups(list(request.controls), timeout)
        reply.confirmations.add(
            instance=self._members.own.instance,
            next_offset=self._configuration.next_offset,
        )
        return reply

    async def _collect_groups(
        self, addresses: list[str], timeout: float
    ) -> pb.ConfirmReply:
        groups = [addresses[start::FANOUT] for start in range(FANOUT)]
        requests = [self._collect_group(group, timeout) for group in groups if group]
        merged = pb.ConfirmReply()
        for reply in await asyncio.gather(*requests):
            merged.MergeFrom(reply)
        return merged

    async def _collect_group(self, group: list[str], timeout: float) -> pb.ConfirmReply:
        """Request the group's confirmations from its first node that answers."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + timeout
        silent_addresses: list[str] = []
        while group and clock() < deadline:
            first_address, *rest = group
            # Half of the remaining time, so that the next node can still be tried.
            first_timeout = (deadline - clock()) / (2 if rest else 1)
            request = pb.ConfirmRequest(
                controls=rest, timeout_ms=int(first_timeout * 1000)
            )
            try:
                reply = await self._client.call(
                    first_address, "Confirm", request, first_timeout
                )
            except PeerError:
                silent_addresses.append(first_address)
                group = rest
                continue
            reply.silent.extend(silent_addresses)
            return reply
        return pb.ConfirmReply(silent=silent_addresses + group)

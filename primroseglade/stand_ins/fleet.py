"""A small fleet in one process: the log, nodes and their backend servers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from ..document.records import Edit, SectionEdit
from ..network import PartitionableNetwork
from ..node import Node
from ..platform.log import CONFIGURATION_TOPIC
from ..settings.node import build_node_settings
from .backend import BackendBehavior, BackendStandIn
from .log import LogStandIn

POLL_INTERVAL_SECONDS = 0.02
FLEET_SECRET = "a secret that only this embedded fleet knows"


class EmbeddedInstance:
    """A node, its own simulated network, and its local backend server, if any."""

    def __init__(
        self, node: Node, network: PartitionableNetwork, backend: BackendStandIn | None
    ):
        self.node = node
        self.network = network
        self.backend = backend
        self.stopped = False

    @property
    def zone(self) -> str:
        """Availability zone of the node and its backend server."""
        return self.node.settings.zone

    @property
    def caller_address(self) -> str:
        """``IP:PORT`` of the node for callers."""
        return self.node.listeners["callers"]

    @property
    def internal_addresses(self) -> set[str]:
        """Addresses of the node for other nodes: relayed calls and control traffic."""
        return {self.node.listeners["relay"], self.node.listeners["control"]}


class EmbeddedFleet:
    """Starts, partitions and stops the parts of a fleet.

    Args:
        settings: Node settings that differ from the defaults, by group.
        max_topic_records: Maximum number of records per topic of the log.
    """

    def __init__(
        self, settings: dict[str, Any] | None = None, max_topic_records: int = 100_000
    ):
        self._settings = settings or {}
        self._tasks: list[asyncio.Task[None]] = []
        self._started_nodes = 0
        self.log = LogStandIn(max_topic_records=max_topic_records)
        self.instances: list[EmbeddedInstance] = []

    async def __aenter__(self) -> "EmbeddedFleet":
        self._start_task(self.log.run())
        await self.log.wait_started()
        return self

    async def __aexit__(self, *_: object) -> None:
        for instance in self.instances:
            if instance.backend is not None:
                instance.backend.kill()
            if not instance.stopped:
                await instance.node.kill()
        self.log.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def nodes(self) -> list[Node]:
        """Nodes that have not been stopped or killed."""
        return [instance.node for instance in self.instances if not instance.stopped]

    async def publish(self, author: str = "operator", **kinds: dict[str, Any]) -> int:
        """Append an edit that is based on the first node's versions of the sections.

        Args:
            author: Name of the operator who publishes.
            **kinds: New section values by kind and name.

        Returns:
            Offset of the record.
        """
        known = self.nodes[0].configuration.document.sections if self.nodes else {}
        edits = []
        for kind, named in kinds.items():
            for name, value in named.items():
                section = f"{kind}/{name}"
                base = known[section].version if section in known else None
                edits.append(SectionEdit(section, base, value))
        return await self.log.append(
            CONFIGURATION_TOPIC, Edit(edits, author).to_value()
        )

    async def add(
        self,
        zone: str,
        service: str = "",
        behavior: BackendBehavior | None = None,
        instance: str = "",
        **settings: Any,
    ) -> EmbeddedInstance:
        """Start a node, and a backend server beside it if ``service`` is given."""
        self._started_nodes += 1
        instance = instance or f"{zone}-{service or 'node'}-{self._started_nodes}"
        fields = {
            "instance": instance,
            "zone": zone,
            "platform": self.log.address,
            "fleet_secret": FLEET_SECRET,
        }
        network = PartitionableNetwork()
        fields |= self._settings | settings
        node = Node(build_node_settings(fields), network)
        await node.start()
        backend = None
        if service:
            backend = BackendStandIn(
                service, node.listeners["backend"], behavior, seed=self._started_nodes
            )
            self._start_task(backend.run())
            await backend.wait_started()
        started = EmbeddedInstance(node, network, backend)
        self.instances.append(started)
        return started

    async def stop(self, instance: EmbeddedInstance) -> None:
        """Drain an instance, then stop its node and after that its backend server."""
        instance.stopped = True
        if instance.backend is not None:
            await instance.backend.drain()
        await instance.node.stop()
        if instance.backend is not None:
            instance.backend.stop()

    async def kill(self, instance: EmbeddedInstance) -> None:
        """Kill an instance without draining it."""
        instance.stopped = True
        if instance.backend is not None:
            instance.backend.kill()
        await instance.node.kill()

    def cut_zone(self, zone: str, from_platform: bool, from_zones: bool) -> None:
        """Cut a zone off from the platform, from all other zones, or from both."""
        inside = [instance for instance in self.instances if instance.zone == zone]
        outside = [instance for instance in self.instances if instance.zone != zone]
        for instance in inside:
            if from_platform:
                instance.network.cut({self.log.address})
            if from_zones:
                for other in outside:
                    instance.network.cut(other.internal_addresses)
                    other.network.cut(instance.internal_addresses)

    def heal(self) -> None:
        """Restore all network connectivity."""
        for instance in self.instances:
            instance.network.heal()

    async def wait(
        self, condition: Callable[[], bool], timeout: float = 20.0, what: str = ""
    ) -> None:
        """Wait until a condition holds.

        Args:
            condition: Polled until it returns True.
            timeout: Maximum wait in seconds.
            what: Description of the condition for the error message.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        try:
            async with asyncio.timeout(timeout):
                while not condition():
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            raise TimeoutError(
                f"timed out after {timeout} s waiting for {what or condition}"
            ) from None

    async def wait_ready(self) -> None:
        """Wait until the fleet is ready.

        That is when nodes know each other, backend servers serve, and each rate has a
        lease holder in every zone that has a share of the rates.
        """
        await self.wait(self._is_ready, what="the fleet to be ready")

    async def wait_offset(self, next_offset: int) -> None:
        """Wait until every node has applied all records before an offset."""
        await self.wait(
            lambda: all(n.configuration.next_offset >= next_offset for n in self.nodes),
            what=f"all nodes to reach offset {next_offset}",
        )

    def _is_ready(self) -> bool:
        nodes = self.nodes
        for node in nodes:
            others = node.members.get_reachable()
            if len(others) < len(nodes) or node.configuration.next_offset < 1:
                return False
        for instance in self.instances:
            if (
                instance.backend is None
                or instance.stopped
                or instance.backend.draining
            ):
                continue
            name = instance.node.settings.instance
            known = [node.members.get(name) for node in nodes]
            if not all(member and member.serving for member in known):
                return False
        return self._has_rate_lease_holders()

    def _has_rate_lease_holders(self) -> bool:
        """Return whether each rate has a lease holder in every zone with a share."""
        nodes = self.nodes
        document = nodes[0].configuration.document
        for zone in {node.settings.zone for node in nodes}:
            if not document.shares.get(zone):
                continue
            local = [node for node in nodes if node.settings.zone == zone]
            for workspace in document.rates:
                if not any(node.rates.holder.holds(workspace) for node in local):
                    return False
        return True

    def _start_task(self, awaitable: Awaitable[None]) -> None:
        self._tasks.append(asyncio.ensure_future(awaitable))

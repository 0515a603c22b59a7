"""Open-loop load generator: calls start on schedule, whether or not others ended."""

import asyncio
import json
import random

from ..client import Client
from ..stand_ins.fleet import EmbeddedFleet
from ..verdicts import Refusal
from .deployments import Deployment, get_key
from .records import CallRecord

TIMEOUT_SECONDS = 2.0
# Fraction of calls sent with POST, which must not run twice.
POST_RATIO = 0.3
GREEDY_RATE_FACTOR = 4.0


class Callers:
    """Sends the calls of all workspaces and records their outcomes.

    Args:
        fleet: Fleet to call.
        deployment: Services and workspaces.
        rate_per_second: Calls per second of all workspaces together; the greedy one's
            calls beyond its share come on top.
        greedy_workspace: Workspace that sends several times its share, or empty.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        fleet: EmbeddedFleet,
        deployment: Deployment,
        rate_per_second: float,
        greedy_workspace: str,
        seed: int,
    ):
        self._fleet = fleet
        self._deployment = deployment
        self._rate_per_second = rate_per_second
        self._greedy_workspace = greedy_workspace
        self._random = random.Random(seed)
        self._clients: dict[tuple[str, int], Client] = {}
        self._in_flight: set[asyncio.Task[None]] = set()
        self._call_count = 0
        self.records: list[CallRecord] = []

    async def run(self, end_time: float) -> None:
        """Send calls until a time of the loop's clock and wait for all responses."""
        clock = asyncio.get_running_loop().time
        names = list(self._deployment.workspaces)
        weights = [
            weight * (GREEDY_RATE_FACTOR if name == self._greedy_workspace else 1.0)
            for name, weight in self._deployment.workspaces.items()
        ]
        next_call_at = clock()
        while next_call_at < end_time:
            next_call_at += self._random.expovariate(
                self._rate_per_second * sum(weights)
            )
            await asyncio.sleep(max(0.0, next_call_at - clock()))
            workspace = self._random.choices(names, weights)[0]
            self._start(workspace)
        if self._in_flight:
            await asyncio.wait(self._in_flight)
        for client in self._clients.values():
            await client.close()

    def _start(self, workspace: str) -> None:
        services = self._deployment.services
        weights = [size.call_ratio for size in services.values()]
        service = self._random.choices(list(services), weights)[0]
        method = "POST" if self._random.random() < POST_RATIO else "GET"
        key_number = self._random.choice((1, 2))
        self._call_count += 1
        record = CallRecord(
            f"c{self._call_count}", workspace, key_number, service, method
        )
        self.records.append(record)
        task = asyncio.create_task(self._call(record))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _call(self, record: CallRecord) -> None:
        client = self._get_client(record.workspace, record.key_number)
        headers = {"X-Echo": record.id, "X-Operation": record.id}
        try:
            reply = await client.call(
                record.service,
                f"/{record.id}",
                record.method,
                b"x" * 100 if record.method == "POST" else b"",
                headers,
                operation=record.id,
            )
        except Refusal as refusal:
            record.record_refusal(refusal)
            return
        record.record_response(reply.status, _is_complete_response(reply.body, record))

    def _get_client(self, workspace: str, key_number: int) -> Client:
        client = self._clients.get((workspace, key_number))
        if client is None:
            nodes = [instance.caller_address for instance in self._fleet.instances]
            client = Client(nodes, get_key(workspace, key_number), TIMEOUT_SECONDS)
            self._clients[workspace, key_number] = client
        return client


def _is_complete_response(body: bytes, record: CallRecord) -> bool:
    try:
        fields = json.loads(body)
    except ValueError:
        return False
    return (
        fields.get("echo") == record.id
        and fields.get("workspace") == record.workspace
        and fields.get("service") == record.service
    )

"""Runs the demo: starts a fleet, sends load, injects failures and reports."""

import asyncio
import time
from collections.abc import Callable

from ..stand_ins.backend import BackendBehavior
from ..stand_ins.fleet import EmbeddedFleet, EmbeddedInstance
from .callers import Callers
from .checks import check_guarantees, Evidence
from .deployments import Deployment, MIN_SLOTS, SLOTS_DIVISOR
from .report import Report

# Load and rate limit of all workspaces together; each gets its share of both.
OFFERED_CALLS_PER_SECOND = 60.0
TOTAL_RATE_LIMIT_PER_SECOND = 120.0
PROCESSING_SECONDS = 0.03
SLOWDOWN_FACTOR = 40.0
FLEET_SETTINGS = {
    "fleet": {"period": 0.5, "suspicion": 1.5, "lease": 1.5, "grant": 0.5},
    "timeouts": {"lame_duck": 1.0},
    "log": {"level": "warning"},
}

# Times of the events, as fractions of the run's duration. The deep service is slow from
# SLOW_START_RATIO to SLOW_END_RATIO, and the last zone is cut off from CUT_START_RATIO
# to CUT_END_RATIO.
WITHDRAW_AT_RATIO = 0.15
DRAIN_AT_RATIO = 0.25
SLOW_START_RATIO, SLOW_END_RATIO = 0.4, 0.55
CUT_START_RATIO, CUT_END_RATIO = 0.75, 0.9

ProgressCallback = Callable[[str], None]


class Demo:
    """A single run of the demo.

    Args:
        deployment: Deployment to run.
        seconds: Duration of the load in seconds.
        seed: Seed of the callers' random choices.
        report_progress: Called with a line of text at each event.
    """

    def __init__(
        self,
        deployment: Deployment,
        seconds: float,
        seed: int,
        report_progress: ProgressCallback,
    ):
        self._deployment = deployment
        self._duration_seconds = seconds
        self._seed = seed
        self._report_progress = report_progress
        # The last workspace sends several times its share; the first loses a key.
        names = list(deployment.workspaces)
        self._greedy_workspace = names[-1]
        self._withdrawn_key_workspace = names[0]

    async def run(self) -> Report:
        """Run the deployment, check its guarantees and return the report."""
        async with EmbeddedFleet(FLEET_SETTINGS) as fleet:
            await self._start(fleet)
            callers = Callers(
                fleet,
                self._deployment,
                OFFERED_CALLS_PER_SECOND,
                self._greedy_workspace,
                self._seed,
            )
            evidence = self._build_evidence(fleet, callers)
            loop = asyncio.get_running_loop()
            end_time = loop.time() + self._duration_seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(callers.run(end_time))
                group.create_task(self._withdraw_key(fleet, evidence))
                group.create_task(self._drain_and_stop(fleet, evidence))
                group.create_task(self._slow_down(fleet, evidence))
                group.create_task(self._cut_zone(fleet))
                group.create_task(self._show_progress(callers))
            evidence.seen = {
                instance.backend.address: list(instance.backend.seen)
                for instance in fleet.instances
                if instance.backend is not None
            }
            return Report(evidence, check_guarantees(evidence), self._greedy_workspace)

    async def _start(self, fleet: EmbeddedFleet) -> None:
        document = self._deployment.build_document(
            TOTAL_RATE_LIMIT_PER_SECOND, TOTAL_RATE_LIMIT_PER_SECOND
        )
        await fleet.publish(**document)
        zones = self._deployment.zones
        self._report_progress(f"starting {self._deployment.name} in {len(zones)} zones")
        number = 0
        for service, size in self._deployment.services.items():
            for _ in range(size.server_count):
                behavior = BackendBehavior(
                    processing_seconds=PROCESSING_SECONDS,
                    slots=max(MIN_SLOTS, size.slots // SLOTS_DIVISOR),
                    nested=size.nested,
                )
                await fleet.add(zones[number % len(zones)], service, behavior)
                number += 1
        await fleet.wait_ready()
        self._report_progress(f"{len(fleet.instances)} nodes are ready")

    def _build_evidence(self, fleet: EmbeddedFleet, callers: Callers) -> Evidence:
        rates = fleet.nodes[0].configuration.document.rates
        return Evidence(
            self._deployment,
            callers.records,
            {},
            {name: (rate.per_second, rate.burst) for name, rate in rates.items()},
            fleet.nodes[0].settings.retries.tokens,
        )

    async def _withdraw_key(self, fleet: EmbeddedFleet, evidence: Evidence) -> None:
        await asyncio.sleep(self._duration_seconds * WITHDRAW_AT_RATIO)
        key = f"{self._withdrawn_key_workspace}-1"
        self._report_progress(f"a recall withdraws key {key}")
        await fleet.publish(recalls={"lost-tablet": {"keys": [key]}})
        evidence.withdrawn = (self._withdrawn_key_workspace, 1, time.monotonic())

    async def _drain_and_stop(self, fleet: EmbeddedFleet, evidence: Evidence) -> None:
        await asyncio.sleep(self._duration_seconds * DRAIN_AT_RATIO)
        instance = self._find_instances(fleet, self._deployment.deep_service)[0]
        assert instance.backend is not None
        self._report_progress(f"{instance.node.settings.instance} drains and stops")
        started = time.monotonic()
        evidence.drained = (instance.backend.address, started)
        await fleet.stop(instance)
        evidence.stop = (started, time.monotonic())
        self._report_progress("it has stopped")

    async def _slow_down(self, fleet: EmbeddedFleet, evidence: Evidence) -> None:
        await asyncio.sleep(self._duration_seconds * SLOW_START_RATIO)
        deep = self._deployment.deep_service
        self._report_progress(f"{deep} becomes {SLOWDOWN_FACTOR:g} times slower")
        instances = self._find_instances(fleet, deep)
        started = time.monotonic()
        for instance in instances:
            assert instance.backend is not None
            instance.backend.behavior.processing_seconds = (
                PROCESSING_SECONDS * SLOWDOWN_FACTOR
            )
        await asyncio.sleep(
            self._duration_seconds * (SLOW_END_RATIO - SLOW_START_RATIO)
        )
        for instance in instances:
            assert instance.backend is not None
            instance.backend.behavior.processing_seconds = PROCESSING_SECONDS
        evidence.overload = (started, time.monotonic())
        self._report_progress(f"{deep} is as fast as before")

    async def _cut_zone(self, fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(self._duration_seconds * CUT_START_RATIO)
        zone = self._deployment.zones[-1]
        self._report_progress(
            f"{zone} is cut off from the platform and all other zones"
        )
        fleet.cut_zone(zone, from_platform=True, from_zones=True)
        await asyncio.sleep(self._duration_seconds * (CUT_END_RATIO - CUT_START_RATIO))
        fleet.heal()
        self._report_progress(f"{zone} is back")

    async def _show_progress(self, callers: Callers) -> None:
        loop = asyncio.get_running_loop()
        end_time = loop.time() + self._duration_seconds
        shown = 0
        while loop.time() < end_time:
            await asyncio.sleep(1.0)
            recent = [call for call in callers.records[shown:] if call.ended_at]
            shown = len(callers.records)
            served = sum(call.fully_served for call in recent)
            self._report_progress(
                f"{len(callers.records):6d} calls, last second {served} served"
            )

    def _find_instances(
        self, fleet: EmbeddedFleet, service: str
    ) -> list[EmbeddedInstance]:
        return [
            instance
            for instance in fleet.instances
            if instance.backend
            and instance.backend.service == service
            and not instance.stopped
        ]

"""Distribution of the configuration, from the log and from peers, under faults."""

import asyncio
import contextlib

import pytest

from primroseglade.client import Client
from primroseglade.document.records import Edit, SectionEdit
from primroseglade.operator_client import OperatorClient
from primroseglade.platform.log import CONFIGURATION_TOPIC, LogClient
from primroseglade.publishing import build_edit, publish
from primroseglade.stand_ins.backend import BackendBehavior
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Reason, Refusal, Verdict

from .helpers import build_document, FAST_SETTINGS, KEY

RECALL = {"lost-tablet": {"keys": ["north-key"]}}


@contextlib.asynccontextmanager
async def run_fleet(zones: str = "ab", max_topic_records: int = 100_000, **behavior):
    async with EmbeddedFleet(FAST_SETTINGS, max_topic_records) as fleet:
        await fleet.publish(**build_document(tuple(sorted(set(zones)))))
        for zone in zones:
            await fleet.add(zone, "archive", BackendBehavior(**behavior))
        await fleet.wait_ready()
        yield fleet


async def expect_refusal(address: str, **options) -> Refusal:
    async with Client([address], KEY, timeout=3.0, attempts=1) as client:
        with pytest.raises(Refusal) as caught:
            await client.call("archive", "/x", **options)
    return caught.value


async def test_withdrawn_key_is_refused_everywhere_also_on_open_connections():
    """A key is withdrawn while connections that used it are still open."""
    async with run_fleet("aabb") as fleet:
        clients = [
            Client([instance.caller_address], KEY) for instance in fleet.instances
        ]
        for client in clients:
            assert (await client.call("archive", "/x")).status == 200
        offset = await fleet.publish(recalls=RECALL)
        await fleet.wait_offset(offset + 1)
        for client in clients:
            with pytest.raises(Refusal) as caught:
                await client.call("archive", "/x")
            assert caught.value.reason is Reason.KEY_WITHDRAWN
            assert caught.value.verdict is Verdict.NOT_RUN
            await client.close()


async def test_withdrawal_refuses_calls_that_are_queued():
    """All slots are in use, and calls with the withdrawn key are queued."""
    async with run_fleet("a", slots=1, processing_seconds=1.5, jitter_ratio=0) as fleet:
        instance = fleet.instances[0]
        queue = instance.node.backend.queue
        queue._max_wait_seconds = 5.0
        async with Client([instance.caller_address], KEY, attempts=1) as client:
            calls = [
                asyncio.create_task(client.call("archive", f"/{n}")) for n in range(4)
            ]
            await fleet.wait(lambda: queue.size == 3)
            await fleet.publish(recalls=RECALL)
            await fleet.wait(lambda: queue.size == 0)
            # Refused at once, not on reaching a slot: the first call is still running.
            assert instance.backend.in_flight == 1
            results = await asyncio.gather(*calls, return_exceptions=True)
        refused = [r for r in results if isinstance(r, Refusal)]
    assert len(refused) == 3
    assert {r.reason for r in refused} == {Reason.KEY_WITHDRAWN}
    assert len(instance.backend.seen) == 1


async def test_withdrawal_stops_nested_calls_of_calls_in_flight():
    """The key of a running call is withdrawn before it calls the next service."""
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        services = ("archive", "dispatch")
        await fleet.publish(**build_document(("a",), services=services))
        await fleet.add("a", "archive")
        nested = BackendBehavior(nested=("/archive/history",))
        outer = await fleet.add("a", "dispatch", nested)
        await fleet.wait_ready()
        nested.never_responds = True
        async with Client([outer.caller_address], KEY, attempts=1) as client:
            call = asyncio.create_task(client.call("dispatch", "/go"))
            await fleet.wait(lambda: len(outer.backend.seen) == 1)
            offset = await fleet.publish(recalls=RECALL)
            await fleet.wait_offset(offset + 1)
            nested.never_responds = False
            reply = await call
        assert reply.status == 500
        assert not fleet.instances[0].backend.seen


async def test_recalled_backend_servers_get_no_further_call():
    async with run_fleet("ab") as fleet:
        bad = fleet.instances[0].backend.address
        offset = await fleet.publish(recalls={"bad": {"backend_servers": [bad]}})
        await fleet.wait_offset(offset + 1)
        before = len(fleet.instances[0].backend.seen)
        async with Client(
            [instance.caller_address for instance in fleet.instances], KEY
        ) as client:
            for _ in range(20):
                assert (await client.call("archive", "/x")).status == 200
        assert len(fleet.instances[0].backend.seen) == before


async def test_zone_without_the_platform_is_updated_by_other_zones():
    """One zone loses its link to the platform, and a key is withdrawn meanwhile."""
    async with run_fleet("aabb") as fleet:
        fleet.cut_zone("b", from_platform=True, from_zones=False)
        offset = await fleet.publish(recalls=RECALL)
        await fleet.wait_offset(offset + 1)
        refusal = await expect_refusal(fleet.instances[3].caller_address)
    assert refusal.reason is Reason.KEY_WITHDRAWN


async def test_isolated_zone_keeps_serving_and_catches_up():
    """One zone loses all links, keeps serving calls, and is then reconnected."""
    async with run_fleet("aabb") as fleet:
        fleet.cut_zone("b", from_platform=True, from_zones=True)
        offset = await fleet.publish(recalls=RECALL)
        async with Client(
            [fleet.instances[2].caller_address], KEY, attempts=3
        ) as client:
            assert (await client.call("archive", "/x")).status == 200
        status = await fleet.instances[0].node.confirmer.collect(1.0)
        names = {p.node.settings.instance for p in fleet.instances if p.zone == "b"}
        assert set(status.silent) == names
        assert not status.is_confirmed_by_all(offset + 1)
        fleet.heal()
        await fleet.wait_offset(offset + 1)
        refusal = await expect_refusal(fleet.instances[2].caller_address)
    assert refusal.reason is Reason.KEY_WITHDRAWN


async def test_workspace_with_stale_after_is_refused_on_old_configuration():
    async with run_fleet("aabb") as fleet:
        node = fleet.nodes[0]
        known = node.configuration.document.sections["workspaces/north"].value
        await fleet.publish(workspaces={"north": known | {"stale_after": 1.0}})
        await fleet.wait_offset(2)
        fleet.cut_zone("b", from_platform=True, from_zones=True)
        await fleet.wait(lambda: fleet.instances[2].node.configuration.age > 1.1)
        refusal = await expect_refusal(fleet.instances[2].caller_address)
    assert refusal.reason is Reason.CONFIGURATION_STALE
    assert refusal.verdict is Verdict.NOT_RUN


async def test_new_instance_starts_from_peers_while_the_platform_is_down():
    async with run_fleet("aa") as fleet:
        fleet.log.faults.outage = True
        seeds = [instance.node.listeners["control"] for instance in fleet.instances]
        instance = await fleet.add("a", "archive", seeds=seeds)
        assert instance.node.configuration.next_offset == 1
        await fleet.wait_ready()
        async with Client([instance.caller_address], KEY) as client:
            assert (await client.call("archive", "/x")).status == 200


async def test_new_instance_without_platform_or_peers_refuses_as_not_run():
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        fleet.log.faults.outage = True
        instance = await fleet.add("a")
        refusal = await expect_refusal(instance.caller_address)
    assert refusal.reason is Reason.CONFIGURATION_MISSING
    assert refusal.verdict is Verdict.NOT_RUN


async def test_snapshots_preserve_the_state_after_its_records_expire():
    """An instance starts after the platform has expired the first records."""
    fast_snapshots = FAST_SETTINGS | {
        "fleet": FAST_SETTINGS["fleet"] | {"snapshot": 1.0}
    }
    async with EmbeddedFleet(fast_snapshots, max_topic_records=4) as fleet:
        await fleet.publish(**build_document(("a",)))
        await fleet.add("a", "archive")
        await fleet.wait_ready()
        for number in range(3):
            await fleet.publish(recalls={f"r{number}": {"keys": [f"k{number}"]}})
        topic = fleet.log.get_topic(CONFIGURATION_TOPIC)
        await fleet.wait(lambda: topic.first_offset > 0)
        instance = await fleet.add("a", "archive")
        await fleet.wait(lambda: instance.node.configuration.ready)
        document = instance.node.configuration.document
        assert document.find_key_by_id("north-key") is not None
        assert {"recalls/r0", "recalls/r1", "recalls/r2"} <= set(document.sections)


async def test_forged_snapshot_is_rejected():
    """Someone who can write to the log, but lacks the fleet secret, appends one."""
    async with EmbeddedFleet(FAST_SETTINGS, max_topic_records=1) as fleet:
        await fleet.publish(**build_document(("a",)))
        body = {"id": "x", "next_offset": 1, "part": 0, "parts": 1, "sections": {}}
        forged = {"format": 1, "snapshot": body, "mac": "0" * 64}
        await fleet.log.append(CONFIGURATION_TOPIC, forged)
        instance = await fleet.add("a")
        assert not instance.node.configuration.ready
        numbers = [entry["event"] for entry in instance.node.journal.recent]
        assert 222 in numbers


async def test_publisher_learns_the_outcome_after_a_lost_response():
    """An append takes effect, but its response is lost."""
    async with run_fleet("a") as fleet:
        fleet.log.faults.lose_answers = 1
        log = LogClient(fleet.log.address)
        operator = fleet.nodes[0].listeners["operator"]
        async with OperatorClient(operator) as client:
            view = await client.get("/document")
            edit = build_edit({"recalls/r": {"keys": ["k"]}}, view, "ana", None)
            published = await publish(log, client, edit, wait=5.0)
        await log.close()
        assert published.accepted
        records = fleet.log.get_topic(CONFIGURATION_TOPIC).records
        assert [r.get("id") for r in records].count(edit.id) == 1


async def test_publish_succeeds_after_an_outage_of_the_log():
    async with run_fleet("a") as fleet:
        fleet.log.faults.outage = True
        log = LogClient(fleet.log.address)
        operator = fleet.nodes[0].listeners["operator"]
        async with OperatorClient(operator) as client:
            view = await client.get("/document")
            edit = build_edit({"recalls/r": {"keys": ["k"]}}, view, "ana", None)
            running = asyncio.create_task(publish(log, client, edit, wait=15.0))
            await fleet.wait(lambda: fleet.log.reads > 3)
            fleet.log.faults.outage = False
            published = await running
        await log.close()
    assert published.accepted


async def test_calls_are_served_while_the_platform_is_down():
    async with run_fleet("ab") as fleet:
        fleet.log.faults.outage = True
        async with Client(
            [instance.caller_address for instance in fleet.instances], KEY
        ) as client:
            for _ in range(50):
                assert (await client.call("archive", "/x")).status == 200


async def test_outage_of_the_log_does_not_make_the_whole_fleet_poll_it():
    """The log fails, and the configuration of every node becomes stale.

    If all nodes polled the log every second or two, it could not recover.
    """
    settings = FAST_SETTINGS | {"fleet": FAST_SETTINGS["fleet"] | {"readers": 1}}
    async with EmbeddedFleet(settings) as fleet:
        await fleet.publish(**build_document(("a",)))
        for _ in range(3):
            await fleet.add("a")
        await fleet.wait_ready()
        pauses = {
            node._reader.is_reader(): node._reader._choose_retry_delay(2.0)
            for node in fleet.nodes
        }
    assert pauses[True] <= 2.0
    assert pauses[False] >= 15.0


async def test_truncated_log_does_not_revert_the_state():
    """The platform restores an old copy of the log that lacks the last records."""
    async with run_fleet("a") as fleet:
        offset = await fleet.publish(recalls=RECALL)
        await fleet.wait_offset(offset + 1)
        del fleet.log.get_topic(CONFIGURATION_TOPIC).records[1:]
        stale = Edit([SectionEdit("recalls/lost-tablet", None, None)], "old")
        await fleet.log.append(CONFIGURATION_TOPIC, stale.to_value())
        refusal = await expect_refusal(fleet.instances[0].caller_address)
        assert refusal.reason is Reason.KEY_WITHDRAWN
        assert fleet.nodes[0].configuration.next_offset == offset + 1

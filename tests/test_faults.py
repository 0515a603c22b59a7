"""Effects on callers: crashes, draining, unresponsive connections, overload, rates."""

import asyncio
import contextlib

import aiohttp
import pytest

from primroseglade.calls.dispatch import RetryBudget
from primroseglade.client import Client
from primroseglade.stand_ins.backend import BackendBehavior, BackendStandIn
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.stand_ins.link import TcpForwarder
from primroseglade.verdicts import Reason, Refusal, Verdict

from .helpers import build_document, FAST_SETTINGS, KEY


@contextlib.asynccontextmanager
async def run_fleet(zones: str = "ab", settings=FAST_SETTINGS, **behavior):
    async with EmbeddedFleet(settings) as fleet:
        await fleet.publish(**build_document(tuple(sorted(set(zones)))))
        for zone in zones:
            await fleet.add(zone, "archive", BackendBehavior(**behavior))
        await fleet.wait_ready()
        yield fleet


@contextlib.asynccontextmanager
async def run_behind_link():
    """Run two nodes of a service; the first one's backend server is behind a link."""
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(("a",)))
        instance = await fleet.add("a")
        backend = BackendStandIn("archive")
        running = asyncio.create_task(backend.run())
        await backend.wait_started()
        link = TcpForwarder(backend.address)
        await link.start()
        fields = {"service": "archive", "address": link.address, "connections": 8}
        url = f"http://{instance.node.listeners['backend']}/-/backend-server"
        async with aiohttp.ClientSession() as session:
            async with session.put(url, json=fields) as response:
                assert response.status == 200
        await fleet.add("a", "archive")
        await fleet.wait_ready()
        yield fleet, instance, backend, link
        backend.kill()
        await link.stop()
        await running


async def call_at_once(client: Client, count: int) -> list:
    calls = [client.call("archive", f"/{number}") for number in range(count)]
    return await asyncio.gather(*calls)


async def test_idempotent_calls_survive_the_crash_of_an_instance():
    """Guards against failed reads: calls are retried elsewhere if a machine dies."""
    async with run_fleet("aab") as fleet:
        async with Client([fleet.instances[0].caller_address], KEY) as client:
            await fleet.kill(fleet.instances[1])
            for _ in range(60):
                assert (await client.call("archive", "/x")).status == 200
        name = fleet.instances[1].node.settings.instance
        await fleet.wait(lambda: not fleet.nodes[0].members.get(name).reachable)


async def test_draining_backend_server_gets_no_new_call_at_any_entry():
    async with run_fleet("aabb") as fleet:
        draining = fleet.instances[1]
        await draining.backend.drain()
        name = draining.node.settings.instance
        await fleet.wait(
            lambda: not any(n.members.get(name).serving for n in fleet.nodes)
        )
        before = len(draining.backend.seen)
        async with Client(
            [instance.caller_address for instance in fleet.instances], KEY
        ) as client:
            for _ in range(40):
                assert (await client.call("archive", "/x")).status == 200
        assert len(draining.backend.seen) == before


async def test_unresponsive_connections_are_replaced():
    """Guards against calls that hang until their deadline on dead connections.

    A device between node and backend server drops the state of open connections. What
    is sent on them is lost without an error, while new connections work.
    """
    async with run_behind_link() as (_, instance, _, link):
        async with Client(
            [instance.caller_address], KEY, timeout=8.0, attempts=1
        ) as client:
            await call_at_once(client, 6)
            assert link.blackhole_connections() > 0
            responses = await call_at_once(client, 6)
            assert instance.node.metrics.read("silent_connections_total") > 0
            responses += await call_at_once(client, 6)
        assert {response.status for response in responses} == {200}


async def test_non_idempotent_call_on_an_unresponsive_connection_is_not_retried():
    """Guards against running a payout twice.

    The call is sent on a connection whose state was dropped on the way. The node cannot
    know whether it arrived, so it must not retry it or report "not run".
    """
    async with run_behind_link() as (fleet, instance, backend, link):
        async with Client([instance.caller_address], KEY, timeout=1.5) as client:
            await call_at_once(client, 30)
            link.blackhole_connections()
            ids = [f"payout-{n}" for n in range(10)]
            responses = await asyncio.gather(
                *(
                    client.call("archive", "/pay", "POST", headers={"X-Operation": i})
                    for i in ids
                ),
                return_exceptions=True,
            )
        refused = [r for r in responses if isinstance(r, Refusal)]
        seen = [
            item.operation_id
            for server in (backend, fleet.instances[1].backend)
            for item in server.seen
            if item.operation_id
        ]
        assert refused
        assert {r.verdict for r in refused} == {Verdict.MAY_HAVE_RUN}
        assert len(seen) == len(set(seen))


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_slow_call_is_not_mistaken_for_an_unresponsive_connection(method):
    """Guards against retries of calls that are merely slow, on reused connections.

    Otherwise a slow service would receive each slow call twice, and become even
    slower.
    """
    async with run_fleet("aa", processing_seconds=0.001) as fleet:
        instance = fleet.instances[0]
        url = f"http://{instance.caller_address}/archive/x"
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession() as session:

            async def call() -> int:
                async with session.request(method, url, headers=headers) as response:
                    return response.status

            await asyncio.gather(*(call() for _ in range(4)))
            before = sum(len(p.backend.seen) for p in fleet.instances)
            for other in fleet.instances:
                other.backend.behavior.processing_seconds = 1.0
            statuses = await asyncio.gather(*(call() for _ in range(12)))
        assert statuses == [200] * 12
        assert sum(len(p.backend.seen) for p in fleet.instances) == before + 12


async def test_retries_of_a_chain_are_bounded_however_it_fails():
    """Guards against retries that multiply at each hop of a deep call chain.

    Each relay keeps one retry token and passes on the others, so that of four at most
    two are left at the last hop, where five instances shed all calls.
    """
    services = ("s0", "s1", "s2", "s3")
    settings = FAST_SETTINGS | {"retries": {"tokens": 4}}
    async with EmbeddedFleet(settings) as fleet:
        await fleet.publish(**build_document(("a",), services=services))
        backends = []
        for number, service in enumerate(services):
            nested = (f"/s{number + 1}/x",) if number < 3 else ()
            for _ in range(5 if service == "s3" else 2):
                behavior = BackendBehavior(nested=nested, processing_seconds=0.001)
                instance = await fleet.add("a", service, behavior)
                backends.append(instance.backend)
        await fleet.wait_ready()
        for backend in backends:
            if backend.service == "s3":
                backend.behavior.max_queued = 0
        async with Client(
            [fleet.instances[0].caller_address], KEY, attempts=1
        ) as client:
            for _ in range(4):
                await client.call("s0", "/x")
        retries = sum(n.metrics.read("retries_total") for n in fleet.nodes)
        per_root: dict[str, int] = {}
        for backend in backends:
            for item in backend.seen:
                root = item.headers["traceparent"][3:35]
                per_root[root] = per_root.get(root, 0) + 1
    assert 0 < retries <= 4 * 2
    assert max(per_root.values()) <= len(services) + 4


async def test_retry_budget_of_a_node_holds_when_all_calls_fail():
    """Guards against retries that sustain an overload when all backend servers shed."""
    async with run_fleet("aaa", max_queued=0, processing_seconds=0.001) as fleet:
        node = fleet.instances[0].node
        async with Client(
            [fleet.instances[0].caller_address], KEY, attempts=1
        ) as client:
            for _ in range(200):
                with pytest.raises(Refusal):
                    await client.call("archive", "/x")
        retries = node.metrics.read("retries_total")
        assert retries <= 5 + 200 * node.settings.retries.share + 1
        assert node.metrics.read("retries_denied_total", bound="share") > 0


def test_retry_budgets_of_workspaces_are_independent():
    """Guards against one workspace using up the retries of the others.

    One workspace sends five times its share; its calls are shed and retried. With a
    common budget, no retry was left for another workspace, of which one call in six met
    a full queue: that call failed although the next server was free.
    """
    retry_budget = RetryBudget(0.1)
    for _ in range(100):
        retry_budget.record_first_attempt("greedy")
        retry_budget.try_spend("greedy")
    assert not retry_budget.try_spend("greedy")
    retry_budget.record_first_attempt("modest")
    assert retry_budget.try_spend("modest")


async def test_operation_retried_in_another_zone_is_refused():
    """Guards against running a payout twice if its response is lost."""
    async with run_fleet("ab") as fleet:
        headers = {
            "Authorization": f"Bearer {KEY}",
            "Idempotency-Key": "payout-1",
            "Primroseglade-Attempt": "1",
        }
        async with aiohttp.ClientSession() as session:
            url = f"http://{fleet.instances[0].caller_address}/archive/pay"
            async with session.post(url, headers=headers) as response:
                assert response.status == 200
            for instance, verdict in zip(
                fleet.instances, ("ran", "may have run"), strict=True
            ):
                headers["Primroseglade-Attempt"] = "2"
                url = f"http://{instance.caller_address}/archive/pay"
                async with session.post(url, headers=headers) as response:
                    assert response.status == 409
                    assert response.headers["Primroseglade-Verdict"] == verdict
        assert sum(len(instance.backend.seen) for instance in fleet.instances) == 1


async def test_nodes_that_start_simultaneously_discover_each_other():
    """Guards against nodes that stay alone when all start with an empty stream."""
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(("a", "b")))
        await asyncio.gather(*(fleet.add(zone) for zone in "aabb"))
        await fleet.wait_ready()


async def test_zones_rejoin_after_members_have_expired():
    """Guards against a permanent split after an hour-long partition.

    By then the tombstones of the other zone's members have expired.
    """
    settings = FAST_SETTINGS | {"fleet": FAST_SETTINGS["fleet"] | {"discovery": 0.5}}
    async with run_fleet("ab", settings) as fleet:
        fleet.cut_zone("b", from_platform=False, from_zones=True)
        one, two = fleet.nodes
        for node, other in ((one, two), (two, one)):
            name = other.settings.instance
            await fleet.wait(lambda n=node, m=name: not n.members.get(m).reachable)
            node.members._remove(name)
        fleet.heal()
        await fleet.wait_ready()


async def test_workspace_over_its_rate_is_told_so_at_once():
    """Guards against slow refusals when no zone has a whole token left.

    A workspace sends many times its rate through all nodes. The lease holders requested
    fractions of tokens from each other without end; callers waited for seconds, and the
    refusal said that no holder responds.
    """
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        document = build_document(("a", "b"), per_second=2.0, burst=2.0)
        await fleet.publish(**document)
        for zone in "aabb":
            await fleet.add(zone, "archive")
        await fleet.wait_ready()
        nodes = [instance.caller_address for instance in fleet.instances]
        reasons = set()
        async with Client(nodes, KEY, timeout=5.0, attempts=1) as client:
            for _ in range(20):
                calls = [client.call("archive", f"/{n}") for n in range(10)]
                responses = await asyncio.gather(*calls, return_exceptions=True)
                reasons |= {r.reason for r in responses if isinstance(r, Refusal)}
    assert reasons == {Reason.RATE_EXCEEDED}


async def test_call_waits_while_the_holder_of_its_rate_is_replaced():
    """Guards against long refusals after the only lease holder of a workspace dies."""
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(("a",)))
        for _ in range(5):
            await fleet.add("a", "archive")
        await fleet.wait_ready()
        holders = [p for p in fleet.instances if p.node.rates.holder.holds("north")]
        entry = next(
            instance for instance in fleet.instances if instance is not holders[0]
        )
        await fleet.kill(holders[0])
        async with Client([entry.caller_address], KEY, timeout=20.0) as client:
            outcomes = []
            while "served" not in outcomes:
                try:
                    await client.call("archive", "/x")
                    outcomes.append("served")
                except Refusal as refusal:
                    assert refusal.reason is Reason.RATE_UNAVAILABLE
                    assert refusal.verdict is Verdict.NOT_RUN
                    outcomes.append("refused")
        # Each refusal comes after one second of waiting for the new lease holder.
        assert len(outcomes) <= 6

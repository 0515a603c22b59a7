"""The whole path of a call: caller, node, backend server, and back."""

import asyncio
import contextlib
import json

import aiohttp
import pytest

from primroseglade import http_guard
from primroseglade.client import Client
from primroseglade.stand_ins.backend import BackendBehavior
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Reason, Refusal, Verdict

from .helpers import build_document, FAST_SETTINGS, KEY


@contextlib.asynccontextmanager
async def run_fleet(*instances: tuple[str, str, BackendBehavior | None], **document):
    services = tuple({service for _, service, _ in instances})
    async with EmbeddedFleet(FAST_SETTINGS) as fleet:
        await fleet.publish(**build_document(services=services, **document))
        for zone, service, behavior in instances:
            await fleet.add(zone, service, behavior)
        await fleet.wait_ready()
        yield fleet


async def send_raw(address: str, request: bytes) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return answer


async def test_call_reaches_backend_server_without_its_key():
    async with run_fleet(("a", "archive", None)) as fleet:
        async with Client([fleet.instances[0].caller_address], KEY) as client:
            reply = await client.call("archive", "/records/1?year=2026")
        fields = json.loads(reply.body)
        seen = fleet.instances[0].backend.seen[0]
    assert reply.status == 200
    assert fields["target"] == "/records/1?year=2026"
    assert fields["workspace"] == "north"
    assert "authorization" not in seen.headers
    assert KEY not in str(seen.headers)


async def test_any_node_is_an_entry_and_relays_once():
    instances = [("a", "archive", None), ("b", "imagery", None)]
    async with run_fleet(*instances) as fleet:
        async with Client([fleet.instances[1].caller_address], KEY) as client:
            reply = await client.call("archive", "/x")
        relayed = fleet.instances[1].node.metrics.read("relayed_total")
    assert reply.status == 200
    assert relayed == 1
    assert reply.headers["primroseglade-nodes"] == fleet.instances[0].caller_address


async def test_nested_call_carries_workspace_and_trace():
    nested = BackendBehavior(nested=("/archive/history",))
    instances = [("a", "archive", None), ("b", "dispatch", nested)]
    async with run_fleet(*instances) as fleet:
        async with Client([fleet.instances[0].caller_address], KEY) as client:
            reply = await client.call("dispatch", "/go")
        inner = fleet.instances[0].backend.seen[0]
    assert reply.status == 200
    assert inner.workspace == "north"
    assert inner.target == "/history"
    assert inner.headers["traceparent"][3:35] == reply.headers["primroseglade-trace"]


@pytest.mark.parametrize("size", [0, 100, 65_537, 3_000_000])
async def test_bodies_of_all_sizes_arrive_complete(size):
    big = BackendBehavior(response_bytes=max(size, 200))
    async with run_fleet(("a", "archive", big), ("b", "imagery", None)) as fleet:
        for instance in fleet.instances:
            async with Client([instance.caller_address], KEY) as client:
                reply = await client.call("archive", "/x", "POST", b"x" * size)
            assert json.loads(reply.body)["received"] == size
            assert len(reply.body) == max(size, 200)


@pytest.mark.parametrize(
    ("headers", "path", "reason"),
    [
        ({}, "/archive/x", Reason.KEY_MISSING),
        ({"Authorization": "Bearer nobody's"}, "/archive/x", Reason.KEY_UNKNOWN),
        ({"Authorization": f"Bearer {KEY}"}, "/nothing/x", Reason.SERVICE_UNKNOWN),
        (
            {"Authorization": f"Bearer {KEY}", "Primroseglade-Timeout-Ms": "soon"},
            "/archive/x",
            Reason.MALFORMED_REQUEST,
        ),
    ],
)
async def test_refusals_state_the_reason_and_that_nothing_ran(headers, path, reason):
    async with run_fleet(("a", "archive", None)) as fleet:
        url = f"http://{fleet.instances[0].caller_address}{path}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url, headers=headers) as response:
                body = await response.json()
        seen = len(fleet.instances[0].backend.seen)
    assert response.status == reason.status
    assert response.content_type == "application/problem+json"
    assert response.headers["Primroseglade-Verdict"] == "not run"
    assert body["reason"] == reason.code
    assert body["verdict"] == "not run"
    assert seen == 0


HEAD = f"POST /archive/x HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {KEY}\r\n"


@pytest.mark.parametrize(
    "request_bytes",
    [
        HEAD + "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD + "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        HEAD + "content-length: nine\r\n\r\n",
        HEAD + "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        HEAD + "x-injected: a\rprimroseglade-verdict: b\r\n\r\n",
        HEAD + "bad header: a\r\n\r\n",
        HEAD + "x-huge: " + "x" * 70_000 + "\r\n\r\n",
        "NONSENSE\r\n\r\n",
    ],
    ids=[
        "both framings",
        "two lengths",
        "no number",
        "chunked not last",
        "carriage return in a value",
        "space in a name",
        "huge head",
        "not http",
    ],
)
async def test_ambiguous_framing_is_refused_and_forwards_nothing(request_bytes):
    """Guards against request smuggling.

    If a proxy in front of the node and the backend server disagree on a request's
    length, one takes for a body what the other takes for a further request, which was
    never checked. The node refuses and closes the connection; the backend server
    gets nothing.
    """
    async with run_fleet(("a", "archive", None)) as fleet:
        smuggled = request_bytes + "GET /archive/smuggled HTTP/1.1\r\nhost: n\r\n\r\n"
        answer = await send_raw(fleet.instances[0].caller_address, smuggled.encode())
        seen = [item.target for item in fleet.instances[0].backend.seen]
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 431"))
    assert answer.count(b"HTTP/1.1 ") == 1
    assert b"primroseglade-verdict: not run" in answer
    assert seen == []


async def test_body_cut_short_is_not_forwarded():
    async with run_fleet(("a", "archive", None)) as fleet:
        request = HEAD + "content-length: 100\r\n\r\nonly this"
        host, port = fleet.instances[0].caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request.encode())
        await writer.drain()
        writer.close()
        node = fleet.instances[0].node
        await fleet.wait(
            lambda: (
                node.metrics.read(
                    "calls_total", listener="callers", outcome="cancelled"
                )
                == 1
            )
        )
        assert not fleet.instances[0].backend.seen


@pytest.mark.parametrize("sent", [b"", b"POST /archive/x HTTP/1.1\r\nhost: n\r\n"])
async def test_connection_without_a_complete_head_is_closed(sent, monkeypatch):
    """Guards against slow clients that hold connections without a complete head."""
    monkeypatch.setattr(http_guard, "HEAD_TIMEOUT_SECONDS", 0.2)
    async with run_fleet(("a", "archive", None)) as fleet:
        assert await send_raw(fleet.instances[0].caller_address, sent) == b""


async def test_missing_body_times_out_at_the_deadline():
    async with run_fleet(("a", "archive", None)) as fleet:
        head = HEAD + "primroseglade-timeout-ms: 200\r\ncontent-length: 9\r\n\r\n"
        host, port = fleet.instances[0].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode())
        line = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        assert b"504" in line
        assert not fleet.instances[0].backend.seen


@pytest.mark.parametrize("size", [1_000, 500_000])
@pytest.mark.parametrize("entry", [0, 1], ids=["own backend", "relayed"])
async def test_truncated_response_is_never_passed_off_as_complete(size, entry):
    """A backend server dies in the middle of a response.

    Its first half has been forwarded already. If the node ended the response properly,
    the caller would store half a photo as a complete one.
    """
    behavior = BackendBehavior(response_bytes=size)
    behavior.responses_to_truncate = 100
    async with run_fleet(("a", "archive", behavior), ("b", "other", None)) as fleet:
        async with Client(
            [fleet.instances[entry].caller_address], KEY, attempts=1
        ) as client:
            with pytest.raises(Refusal) as caught:
                await client.call("archive", "/photo", "POST")
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_caller_disconnect_cancels_the_call():
    """A caller disconnects; its call must not go on occupying a slot."""
    slow = BackendBehavior(processing_seconds=30)
    async with run_fleet(("a", "archive", slow)) as fleet:
        instance = fleet.instances[0]
        async with Client([instance.caller_address], KEY) as client:
            call = asyncio.create_task(client.call("archive", "/x"))
            await fleet.wait(lambda: len(instance.backend.seen) == 1)
            call.cancel()
            await fleet.wait(lambda: instance.backend.seen[0].cancelled)
        await fleet.wait(lambda: instance.node.backend.queue.in_flight == 0)


async def test_deadline_ends_a_call_and_says_that_it_may_have_run():
    slow = BackendBehavior(processing_seconds=30)
    async with run_fleet(("a", "archive", slow), ("b", "other", None)) as fleet:
        for instance in fleet.instances:
            url = f"http://{instance.caller_address}/archive/x"
            headers = {
                "Authorization": f"Bearer {KEY}",
                "Primroseglade-Timeout-Ms": "200",
            }
            async with aiohttp.ClientSession() as session:
                async with session.post(url, headers=headers) as response:
                    body = await response.json()
            assert response.status == 504
            assert body["verdict"] == "may have run"
        backend = fleet.instances[0].backend
        await fleet.wait(lambda: all(item.cancelled for item in backend.seen))


async def test_graceful_stop_cuts_off_no_call():
    """A node is stopped gracefully while non-idempotent calls are in flight."""
    slow = BackendBehavior(processing_seconds=0.5, jitter_ratio=0)
    async with run_fleet(("a", "archive", slow), ("a", "archive", slow)) as fleet:
        instance = fleet.instances[0]
        async with Client([instance.caller_address], KEY) as client:
            calls = [
                asyncio.create_task(client.call("archive", f"/{n}", "POST"))
                for n in range(10)
            ]
            await fleet.wait(lambda: len(instance.backend.seen) > 0)
            await fleet.stop(instance)
            replies = await asyncio.gather(*calls)
            assert [reply.status for reply in replies] == [200] * 10

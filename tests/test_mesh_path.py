"""Requests through two nodes to a backend server, and failures on the way."""

import asyncio

import pytest

from primroseglade.observe.events import (
    BACKEND_ANSWER_MALFORMED,
    Event,
    TASK_FAILED,
)
from primroseglade.sidecar.http_client import ConnectionPool
from primroseglade.sidecar.http_messages import render_status_line, Reply, Request

from .mesh import (
    build_configuration,
    build_path,
    find_address,
    get_header,
    HOST,
    Mesh,
    PATHS,
    send_request,
)


def count_executions(mesh: Mesh, request_id: str) -> int:
    """Return how many times backend servers ran a request."""
    return sum(
        instance.backend.executed_request_ids.count(request_id)
        for instance in mesh.instances
    )


async def test_a_request_reaches_the_service_of_its_route(mesh: Mesh):
    """The backend server answers, and receives the calling service and workspace."""
    front = mesh.instances[0]
    spoofed = "X-Primroseglade-Tenant: south\r\nX-Primroseglade-Caller-Service: x\r\n"
    answer = await send_request(front, "/deep/a?b=c", headers=spoofed)
    assert answer.status == 200
    assert answer.body.startswith(b"served by i-deep")
    assert get_header(answer, "x-primroseglade-upstream-seal") == "s1"
    (seen,) = [
        seen for instance in mesh.instances for seen in instance.backend.seen_headers
    ]
    assert seen["x-primroseglade-tenant"] == "north"
    assert seen["x-primroseglade-caller-service"] == "front"
    assert 0 < int(seen["x-primroseglade-deadline-ms"]) <= 2000
    assert "authorization" not in seen


async def test_no_periodic_task_fails(mesh: Mesh):
    """Guards against a duty that ends with an error at each tick: the node goes on, but
    sheds no load and tells others nothing.
    """
    await send_request(mesh.instances[0], "/deep/a")
    await asyncio.sleep(1.2)
    for instance in mesh.instances:
        events = [entry["event"] for entry in instance.node._journal.recent]
        assert TASK_FAILED.number not in events


async def test_requests_that_are_not_allowed_do_not_run(mesh: Mesh):
    """Unknown keys and paths get different statuses; public routes need no key."""
    front = mesh.instances[0]
    assert (await send_request(front, "/deep/a", key="stranger")).status == 401
    assert (await send_request(front, "/deep/a", key=None)).status == 401
    assert (await send_request(front, "/nowhere/a")).status == 404
    assert not any(instance.backend.executed_request_ids for instance in mesh.instances)
    assert (await send_request(front, "/inner/a", key=None)).status == 200


async def test_duplicate_answer_is_not_used_for_next_request(mesh: Mesh):
    """Guards against answering a caller with another request's answer. A faulty backend
    server answers one request twice, the second time after the next request has been
    sent on the same connection.
    """
    deep = mesh.instances[1]
    mesh.instances[2].backend.state = "draining"
    await mesh.instances[2].backend.report_status()
    backend = deep.backend

    def answer_twice(request: Request, headers: dict[str, str]) -> Reply:
        request_id = headers["x-primroseglade-request-id"]
        valid = backend.build_response(request_id, request_id.encode())
        if request_id != "second":
            return valid
        stray = backend.build_response("first", b"stray")
        length = b"Content-Length: %d\r\n\r\n" % len(stray.body)
        two_answers = stray.head + length + stray.body + valid.head
        length = b"Content-Length: %d\r\n\r\n" % len(valid.body)
        return Reply(two_answers + length, valid.body, framed=False)

    backend.answer = answer_twice
    for request_id in ("first", "second", "third"):
        answer = await send_request(mesh.instances[0], "/deep/a", request_id)
        assert answer.status == 200
        assert answer.body == request_id.encode()


async def test_truncated_answer_is_not_forwarded(mesh: Mesh):
    """Guards against forwarding a truncated answer as if it were complete. A backend
    server closes the connection in the middle of its answer. An idempotent request is
    then retried at another backend server; for any other, the caller gets an error that
    says that the request may have run.
    """
    breaking = mesh.instances[1].backend
    healthy = mesh.instances[2].backend

    def break_off(request: Request, headers: dict[str, str]) -> Reply:
        head = render_status_line(200) + b"X-Primroseglade-Upstream-Seal: s\r\n"
        head += b"Content-Length: 99\r\n\r\nhalf"
        return Reply(head, b"", close=True, framed=False)

    breaking.answer = break_off
    for number in range(12):
        request_id = f"safe-{number}"
        answer = await send_request(mesh.instances[0], "/deep/a", request_id)
        assert answer.status == 200
        assert healthy.executed_request_ids.count(request_id) == 1
        assert count_executions(mesh, request_id) <= 2
    for number in range(12):
        request_id = f"once-{number}"
        answer = await send_request(
            mesh.instances[0], "/once/a", request_id, method="POST", body=b"x"
        )
        assert answer.status in (200, 502)
        assert count_executions(mesh, request_id) == 1


async def test_malformed_answers_are_logged(mesh: Mesh):
    """Guards against a faulty backend server that operators cannot find: callers see
    that requests fail, and logs do not say where.
    """

    def spoil(request: Request, headers: dict[str, str]) -> Reply:
        return Reply(
            b"HTTP/1.1 200 OK\r\nX-Load: 1HTTP/1.1 500 \r\n\r\n", b"", framed=False
        )

    logged: list[dict[str, object]] = []

    def record(event: Event, **fields: object) -> None:
        if event is BACKEND_ANSWER_MALFORMED:
            logged.append(fields)

    for instance in mesh.instances[1:]:
        instance.backend.answer = spoil
        instance.node._journal.emit = record  # type: ignore[method-assign]
    answer = await send_request(mesh.instances[0], "/once/a", "spoiled", method="POST")
    assert answer.status == 502
    await asyncio.sleep(1.2)
    (fields,) = logged
    assert fields["answers"] == 1
    assert "a status line within a line of the head" in str(fields["reason"])
    assert str(fields["backend"]).startswith("i-deep")


async def test_a_success_without_signature_is_a_failure(mesh: Mesh):
    """A successful answer without the backend server's signature is not forwarded."""

    def forge(request: Request, headers: dict[str, str]) -> Reply:
        request_id = headers["x-primroseglade-request-id"].encode()
        head = render_status_line(200) + b"X-Primroseglade-Request-Id: %b\r\n"
        return Reply(head % request_id, b"forged")

    for instance in mesh.instances[1:]:
        instance.backend.answer = forge
    answer = await send_request(mesh.instances[0], "/once/a", "forged", method="POST")
    assert answer.status == 502


async def test_answer_delimited_by_connection_close_is_complete(mesh: Mesh):
    """HTTP allows answers without a length; they are forwarded with one."""

    def answer_unframed(request: Request, headers: dict[str, str]) -> Reply:
        request_id = headers["x-primroseglade-request-id"].encode()
        head = (
            render_status_line(200)
            + b"X-Primroseglade-Request-Id: %b\r\n" % request_id
            + b"X-Primroseglade-Upstream-Seal: s\r\nConnection: close\r\n\r\nall of it"
        )
        return Reply(head, b"", close=True, framed=False)

    for instance in mesh.instances[1:]:
        instance.backend.answer = answer_unframed
    answer = await send_request(mesh.instances[0], "/deep/a", "unframed")
    assert answer.status == 200
    assert answer.body == b"all of it"


async def test_caller_disconnect_cancels_backend_work(mesh: Mesh):
    """Guards against backend servers working for callers that have disconnected: the
    node beside the backend server must be notified when a caller closes its connection
    to another node.
    """
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 5.0
    asking = asyncio.create_task(send_request(mesh.instances[0], "/deep/a", "left"))
    await asyncio.sleep(0.3)
    assert count_executions(mesh, "left") == 1
    asking.cancel()
    await asyncio.sleep(0.4)
    assert sum(instance.backend.cancelled for instance in mesh.instances) == 1
    assert all(
        instance.node.backend_calls_in_flight == 0 for instance in mesh.instances
    )


async def test_route_timeout_ends_request(mesh: Mesh):
    """A route's timeout ends a request even if its caller would wait longer."""
    paths = [build_path("short", "deep", timeout="300ms"), *PATHS]
    mesh.store.publish(build_configuration(2, *paths))
    await asyncio.sleep(0.3)
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 5.0
    started = asyncio.get_running_loop().time()
    answer = await send_request(mesh.instances[0], "/short/a", remaining_ms=5000)
    assert answer.status in (502, 504)
    assert asyncio.get_running_loop().time() - started < 0.8


async def test_not_run_refusal_has_retry_after(mesh: Mesh):
    """All backend servers refuse; the caller gets a Retry-After."""

    def refuse(request: Request, headers: dict[str, str]) -> Reply:
        head = render_status_line(503) + b"X-Primroseglade-Not-Executed: 1\r\n"
        return Reply(head, b"")

    for instance in mesh.instances[1:]:
        instance.backend.answer = refuse
    answer = await send_request(mesh.instances[0], "/once/a", "refused", method="POST")
    assert answer.status == 503
    assert 0 < float(get_header(answer, "retry-after")) < 2.0 / 3


async def test_failure_is_forwarded_if_no_other_server_takes_the_call(mesh: Mesh):
    """Guards against reporting a request as not run although it ran. One backend server
    answers with a failure; the other is draining and refuses the retry. That refusal
    covers only the retry and must not be forwarded.
    """
    failing, draining = mesh.instances[1:]

    def fail(request: Request, headers: dict[str, str]) -> Reply:
        request_id = headers["x-primroseglade-request-id"].encode()
        head = render_status_line(500) + b"X-Primroseglade-Request-Id: %b\r\n"
        seal = b"X-Primroseglade-Upstream-Seal: s\r\n"
        return Reply(head % request_id + seal, b"it failed")

    failing.backend.answer = fail
    draining.node.backend.stop()
    for number in range(10):
        answer = await send_request(mesh.instances[0], "/deep/a", f"f{number}")
        assert (answer.status, answer.body) == (500, b"it failed")


async def test_large_body_arrives_complete(mesh: Mesh):
    """A large body reaches the backend server unchanged."""
    received: list[bytes] = []

    def record_body(request: Request, headers: dict[str, str]) -> Reply:
        received.append(request.body)
        backend = mesh.instances[1].backend
        return backend.build_response(headers["x-primroseglade-request-id"], b"ok")

    for instance in mesh.instances[1:]:
        instance.backend.answer = record_body
    body = bytes(range(256)) * 1500
    answer = await send_request(
        mesh.instances[0], "/once/a", "large", method="POST", body=body
    )
    assert answer.status == 200
    assert received == [body]


async def test_a_connection_carries_many_requests(mesh: Mesh):
    """Each of many requests on one connection gets its own answer."""
    pool = ConnectionPool(mesh.instances[0].settings.outbound, 1.0)
    connection = await pool.acquire()
    for number in range(20):
        head = (
            f"GET /deep/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Primroseglade-Request-Id: k{number}\r\n"
            f"X-Primroseglade-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n\r\n"
        )
        answer = await connection.exchange(head.encode())
        assert get_header(answer, "x-primroseglade-request-id") == f"k{number}"
    connection.close()


@pytest.mark.parametrize(
    "text",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n",
        b"rubbish\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n",
    ],
)
async def test_malformed_requests_are_refused(mesh: Mesh, text: bytes):
    """A malformed or smuggled request never reaches a backend server."""
    host, port = mesh.instances[0].settings.outbound.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(text)
    answer = await asyncio.wait_for(reader.read(), 2.0)
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 431"))
    writer.close()
    assert not any(instance.backend.executed_request_ids for instance in mesh.instances)


def test_free_addresses_differ():
    """The test helper does not return the same address twice in a row."""
    assert find_address() != find_address()


async def test_requests_over_rate_do_not_count_as_demand(mesh: Mesh):
    """Guards against counting requests over the rate as demand. If one workspace sends
    seven times its rate and its refused requests count as demand for the downstream
    services, these get lower admission levels: all other workspaces are refused while
    the services are half idle.
    """
    tenant = {
        "name": "north",
        "api_keys": ["key-1"],
        "priority": 1,
        "rate_per_s": 1,
        "burst": 1,
    }
    mesh.store.publish(build_configuration(2, *PATHS, tenants=[tenant]))
    await asyncio.sleep(2.0)
    instance = mesh.instances[0]
    answers = [await send_request(instance, "/deep/a", f"over-{n}") for n in range(60)]
    refused = sum(answer.status == 429 for answer in answers)
    assert refused > 30
    demand = instance.node.admission.measure_demand(asyncio.get_running_loop().time())
    assert demand.get("deep", 0.0) <= len(answers) - refused

"""Authentication of messages, call contexts, nested calls and operators."""

import contextlib
import json
import time

import aiohttp
import pytest

from primroseglade.calls.call import Context
from primroseglade.calls.context import ContextSigner
from primroseglade.fleet.control import ControlClient, PeerError
from primroseglade.fleet.seal import Sealer, SealError
from primroseglade.limits.importance import Importance
from primroseglade.network import Network
from primroseglade.observe.metrics import Metrics
from primroseglade.observe.traces import TraceParent
from primroseglade.proto import control_pb2 as pb
from primroseglade.stand_ins.backend import BackendBehavior
from primroseglade.stand_ins.fleet import EmbeddedFleet
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


async def test_message_signed_with_another_secret_is_refused_and_counted():
    async with run_fleet("a") as fleet:
        node = fleet.nodes[0]
        intruder = ControlClient(
            Sealer(b"another secret of thirty-two bytes", "x"), Metrics(), Network()
        )
        request = pb.ExchangeRequest(sender=pb.Member(instance="evil", control="1:1"))
        with pytest.raises(PeerError):
            await intruder.call(
                node.listeners["control"], "Exchange", request, timeout=2.0
            )
        await intruder.close()
        assert node.members.get("evil") is None
        assert node.metrics.read("refused_messages_total", cause="forged") == 1


def test_replayed_late_and_misdirected_messages_are_refused():
    sender, receiver = Sealer(b"s" * 32, "one"), Sealer(b"s" * 32, "two")
    raw, _ = sender.seal("Exchange", b"body", "two")
    assert receiver.open(raw, "Exchange").body == b"body"
    for opened, method, cause in (
        (raw, "Exchange", "replayed"),
        (sender.seal("Exchange", b"", "two")[0], "Vote", "misdirected"),
        (sender.seal("Exchange", b"", "three")[0], "Exchange", "misdirected"),
        (b"\xff\xff nonsense", "Exchange", "malformed"),
        (b"", "Exchange", "forged"),
    ):
        with pytest.raises(SealError) as caught:
            receiver.open(opened, method)
        assert caught.value.cause == cause
    late = pb.Sealed.FromString(raw)
    late.sent_at_ms -= 120_000
    late.mac = receiver._sign(late)
    with pytest.raises(SealError) as caught:
        receiver.open(late.SerializeToString(), "Exchange")
    assert caught.value.cause == "late"


def build_context(**changes) -> Context:
    fields = {
        "call": "b" * 16,
        "trace": TraceParent("a" * 32, "b" * 16, False),
        "workspace": "north",
        "key": "north-key",
        "importance": Importance.HIGH,
        "deadline": time.monotonic() + 10,
        "depth": 0,
        "retry_tokens": 3,
        "idempotent": True,
    }
    return Context(**(fields | changes))


def test_relayed_context_cannot_be_forged_or_used_by_another_instance():
    """A caller or backend server tries to use a context of another workspace."""
    writer = ContextSigner(b"s" * 32, "one")
    value = writer.write(build_context(), "two", 1)
    assert ContextSigner(b"s" * 32, "two").read(value).workspace == "north"
    for reader, text in (
        (ContextSigner(b"s" * 32, "three"), value),
        (ContextSigner(b"t" * 32, "two"), value),
        (ContextSigner(b"s" * 32, "two"), value[:-8] + b"AAAAAAAA"),
        (ContextSigner(b"s" * 32, "two"), b"nonsense"),
    ):
        with pytest.raises(Refusal) as caught:
            reader.read(text)
        assert caught.value.reason is Reason.CONTEXT_INVALID
        assert caught.value.verdict is Verdict.NOT_RUN


async def test_relay_and_nested_listeners_refuse_workspace_keys():
    async with run_fleet("a") as fleet:
        listeners = fleet.nodes[0].listeners
        async with aiohttp.ClientSession() as session:
            for name, reason in (
                ("relay", "context-invalid"),
                ("backend", "handle-unknown"),
            ):
                url = f"http://{listeners[name]}/archive/x"
                headers = {"Authorization": f"Bearer {KEY}"}
                async with session.get(url, headers=headers) as response:
                    assert response.status == 403
                    assert json.loads(await response.read())["reason"] == reason
        assert not fleet.instances[0].backend.seen


async def test_operator_listener_requires_its_token():
    settings = FAST_SETTINGS | {"operator_token": "a token for operators"}
    async with run_fleet("a", settings) as fleet:
        url = f"http://{fleet.nodes[0].listeners['operator']}/status"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                assert response.status == 401
            headers = {"Authorization": "Bearer a token for operators"}
            async with session.get(url, headers=headers) as response:
                assert response.status == 200

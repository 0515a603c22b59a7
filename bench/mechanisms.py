"""Switches that take one mechanism out, to see what it earns."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, ExitStack
from random import getrandbits
from typing import Any
from unittest import mock

from primroseglade.limits import admission, throttle
from primroseglade.limits.concurrency import ConcurrencyLimit
from primroseglade.limits.importance import Importance

Switch = Callable[[dict[str, Any]], Any]

_switches: dict[str, Switch] = {}
NO_LIMIT = 100_000


def switch(name: str) -> Callable[[Switch], Switch]:
    """Register what switches a mechanism off; it may change settings and patch."""

    def register(function: Switch) -> Switch:
        _switches[name] = function
        return function

    return register


def get_names() -> list[str]:
    """Return what can be switched off."""
    return sorted(_switches)


@contextmanager
def switched_off(names: list[str], settings: dict[str, Any]) -> Iterator[None]:
    """Run a block without some mechanisms."""
    with ExitStack() as stack:
        for name in names:
            patches = _switches[name](settings) or ()
            for patch in patches:
                stack.enter_context(patch)
        yield


@switch("limit")
def _switch_limit(_: dict[str, Any]) -> list[Any]:
    """Let every call through to the backend server."""
    return [mock.patch.object(ConcurrencyLimit, "value", NO_LIMIT)]


@switch("importance")
def _switch_importance(_: dict[str, Any]) -> list[Any]:
    """Treat all calls alike."""
    original = admission.Waiter.__init__

    def build(waiter: Any, context: Any, turn: Any, arrived: float) -> None:
        context.importance = Importance.NORMAL
        original(waiter, context, turn, arrived)

    return [mock.patch.object(admission.Waiter, "__init__", build)]


@switch("fair-shares")
def _switch_shares(_: dict[str, Any]) -> list[Any]:
    """Put all workspaces into one line."""
    add = admission.AdmissionQueue._add

    def add_to_one(queue: Any, waiter: Any) -> None:
        waiter.context.workspace = "all"
        add(queue, waiter)

    return [mock.patch.object(admission.AdmissionQueue, "_add", add_to_one)]


@switch("same-order")
def _switch_order(_: dict[str, Any]) -> list[Any]:
    """Let each hop shed other calls."""
    return [
        mock.patch.object(admission, "hash_root", lambda _: getrandbits(32)),
    ]


@switch("throttle")
def _switch_throttle(_: dict[str, Any]) -> list[Any]:
    """Let every call go, however many are shed further on."""
    return [mock.patch.object(throttle.Throttle, "admits", lambda *_: True)]


@switch("doomed")
def _switch_doomed(_: dict[str, Any]) -> list[Any]:
    """Let calls through that can no longer be answered in time."""
    return [
        mock.patch.object(
            admission.AdmissionQueue, "_is_doomed", lambda *_: False, create=True
        )
    ]


@switch("retry-tokens")
def _switch_tokens(settings: dict[str, Any]) -> None:
    """Leave retries of a root call unbounded."""
    settings.setdefault("retries", {})["tokens"] = 1000


@switch("retry-share")
def _switch_share(settings: dict[str, Any]) -> None:
    """Leave retries of a node unbounded."""
    settings.setdefault("retries", {})["share"] = 1000.0


@switch("queue")
def _switch_queue(settings: dict[str, Any]) -> None:
    """Keep a long line in order of arrival, as a plain server does."""
    settings.setdefault("limits", {})["queue"] = 10_000
    settings.setdefault("timeouts", {})["queue"] = 60.0

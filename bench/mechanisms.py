"""Switches that take one mechanism out, to see what it earns."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, ExitStack
from random import getrandbits
from typing import Any
from unittest import mock

from primroseglade.limits import admission, throttle
from primroseglade.limits.concurrency import ConcurrencyLimit
from primroseglade.limits.importance import Importance

Disabler = Callable[[dict[str, Any]], Any]

_disablers: dict[str, Disabler] = {}
UNLIMITED_CALLS = 100_000


def disables(name: str) -> Callable[[Disabler], Disabler]:
    """Register what switches a mechanism off; it may change settings and patch."""

    def register(function: Disabler) -> Disabler:
        _disablers[name] = function
        return function

    return register


def get_mechanism_names() -> list[str]:
    """Return what can be switched off."""
    return sorted(_disablers)


@contextmanager
def mechanisms_disabled(names: list[str], settings: dict[str, Any]) -> Iterator[None]:
    """Run a block without some mechanisms."""
    with ExitStack() as stack:
        for name in names:
            patches = _disablers[name](settings) or ()
            for patch in patches:
                stack.enter_context(patch)
        yield


@disables("limit")
def _disable_limit(_: dict[str, Any]) -> list[Any]:
    """Let every call through to the backend server."""
    return [mock.patch.object(ConcurrencyLimit, "value", UNLIMITED_CALLS)]


@disables("importance")
def _disable_importance(_: dict[str, Any]) -> list[Any]:
    """Treat all calls alike."""
    original = admission.Waiter.__init__

    def init_waiter(waiter: Any, context: Any, turn: Any, arrived: float) -> None:
        context.importance = Importance.NORMAL
        original(waiter, context, turn, arrived)

    return [mock.patch.object(admission.Waiter, "__init__", init_waiter)]


@disables("fair-shares")
def _disable_fair_shares(_: dict[str, Any]) -> list[Any]:
    """Put all workspaces into one line."""
    add = admission.AdmissionQueue._add

    def add_to_shared_queue(queue: Any, waiter: Any) -> None:
        waiter.context.workspace = "all"
        add(queue, waiter)

    return [mock.patch.object(admission.AdmissionQueue, "_add", add_to_shared_queue)]


@disables("same-order")
def _disable_same_order(_: dict[str, Any]) -> list[Any]:
    """Let each hop shed other calls."""
    return [
        mock.patch.object(admission, "hash_root", lambda _: getrandbits(32)),
    ]


@disables("throttle")
def _disable_throttle(_: dict[str, Any]) -> list[Any]:
    """Let every call go, however many are shed further on."""
    return [mock.patch.object(throttle.Throttle, "admits", lambda *_: True)]


@disables("doomed")
def _disable_deadline_check(_: dict[str, Any]) -> list[Any]:
    """Let calls through that can no longer be answered in time."""
    return [
        mock.patch.object(
            admission.AdmissionQueue, "_is_doomed", lambda *_: False, create=True
        )
    ]


@disables("retry-tokens")
def _disable_retry_tokens(settings: dict[str, Any]) -> None:
    """Leave retries of a root call unbounded."""
    settings.setdefault("retries", {})["tokens"] = 1000


@disables("retry-share")
def _disable_retry_share(settings: dict[str, Any]) -> None:
    """Leave retries of a node unbounded."""
    settings.setdefault("retries", {})["share"] = 1000.0


@disables("queue")
def _disable_queue_bounds(settings: dict[str, Any]) -> None:
    """Keep a long line in order of arrival, as a plain server does."""
    settings.setdefault("limits", {})["queue"] = 10_000
    settings.setdefault("timeouts", {})["queue"] = 60.0

"""Disables single mechanisms, to measure what each contributes."""

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
# Concurrency limit that no benchmark reaches.
UNLIMITED_CALLS = 100_000


def disables(name: str) -> Callable[[Disabler], Disabler]:
    """Register a function that disables a mechanism by settings or patches.

    The function gets the settings, may change them and may return patches to apply.
    """

    def register(function: Disabler) -> Disabler:
        _disablers[name] = function
        return function

    return register


def get_mechanism_names() -> list[str]:
    """Return the names of the mechanisms that can be disabled."""
    return sorted(_disablers)


@contextmanager
def mechanisms_disabled(names: list[str], settings: dict[str, Any]) -> Iterator[None]:
    """Disable some mechanisms while the block runs."""
    with ExitStack() as stack:
        for name in names:
            patches = _disablers[name](settings) or ()
            for patch in patches:
                stack.enter_context(patch)
        yield


@disables("limit")
def _disable_limit(_: dict[str, Any]) -> list[Any]:
    """Admit every call to the backend server."""
    return [mock.patch.object(ConcurrencyLimit, "value", UNLIMITED_CALLS)]


@disables("importance")
def _disable_importance(_: dict[str, Any]) -> list[Any]:
    """Give all calls the same importance."""
    original = admission.Waiter.__init__

    def init_waiter(waiter: Any, context: Any, turn: Any, arrived: float) -> None:
        context.importance = Importance.NORMAL
        original(waiter, context, turn, arrived)

    return [mock.patch.object(admission.Waiter, "__init__", init_waiter)]


@disables("fair-shares")
def _disable_fair_shares(_: dict[str, Any]) -> list[Any]:
    """Put the calls of all workspaces into a single queue."""
    add = admission.AdmissionQueue._add

    def add_to_shared_queue(queue: Any, waiter: Any) -> None:
        waiter.context.workspace = "all"
        add(queue, waiter)

    return [mock.patch.object(admission.AdmissionQueue, "_add", add_to_shared_queue)]


@disables("same-order")
def _disable_same_order(_: dict[str, Any]) -> list[Any]:
    """Let each hop choose at random which calls to shed, not all hops the same ones."""
    return [
        mock.patch.object(admission, "hash_root", lambda _: getrandbits(32)),
    ]


@disables("throttle")
def _disable_throttle(_: dict[str, Any]) -> list[Any]:
    """Send every call, however many the next hop sheds."""
    return [mock.patch.object(throttle.Throttle, "admits", lambda *_: True)]


@disables("doomed")
def _disable_deadline_check(_: dict[str, Any]) -> list[Any]:
    """Admit calls that cannot meet their deadline."""
    return [
        mock.patch.object(
            admission.AdmissionQueue, "_is_doomed", lambda *_: False, create=True
        )
    ]


@disables("retry-tokens")
def _disable_retry_tokens(settings: dict[str, Any]) -> None:
    """Lift the limit on retries of one root call."""
    settings.setdefault("retries", {})["tokens"] = 1000


@disables("retry-share")
def _disable_retry_share(settings: dict[str, Any]) -> None:
    """Lift the limit on a node's ratio of retries to first attempts."""
    settings.setdefault("retries", {})["share"] = 1000.0


@disables("queue")
def _disable_queue_bounds(settings: dict[str, Any]) -> None:
    """Allow a long queue and long waits, as a plain server does."""
    settings.setdefault("limits", {})["queue"] = 10_000
    settings.setdefault("timeouts", {})["queue"] = 60.0

"""Benchmarks by name."""

import argparse
from collections.abc import Awaitable, Callable
from typing import Any

Bench = Callable[[argparse.Namespace], Awaitable[dict[str, Any]]]

_benches: dict[str, Bench] = {}


def bench(name: str) -> Callable[[Bench], Bench]:
    """Register a benchmark."""

    def register(function: Bench) -> Bench:
        _benches[name] = function
        return function

    return register


def get_benches() -> dict[str, Bench]:
    """Return every registered benchmark by name."""
    return _benches

"""Registry of the benchmarks by name."""

import argparse
from collections.abc import Awaitable, Callable
from typing import Any

Benchmark = Callable[[argparse.Namespace], Awaitable[dict[str, Any]]]

_benchmarks: dict[str, Benchmark] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a function as the benchmark of this name."""

    def register(function: Benchmark) -> Benchmark:
        _benchmarks[name] = function
        return function

    return register


def get_benchmarks() -> dict[str, Benchmark]:
    """Return all registered benchmarks by name."""
    return _benchmarks

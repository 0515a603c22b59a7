"""Costs of a node's lookups in its member table, at several table sizes."""

import argparse
import time
from collections.abc import Callable
from typing import Any

from primroseglade.calls.routing import Router
from primroseglade.document.fold import Fold
from primroseglade.document.records import Edit, SectionEdit
from primroseglade.fleet.hashing import rank
from primroseglade.fleet.members import Member, Members
from primroseglade.rates.lease import Partitions

from .members import build_member
from .registry import benchmark

TABLE_SIZES = (1000, 4000, 12000)
EDIT_COUNT = 2000
DEFAULT_ROUNDS = 20


def measure_microseconds(
    function: Callable[[], Any], rounds: int = DEFAULT_ROUNDS
) -> float:
    """Return microseconds of CPU time per run, after one run to warm up."""
    function()
    started = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started) / rounds * 1e6


def measure_table(size: int) -> dict[str, Any]:
    """Return the costs of a node's operations on a table of this size."""
    members = Members(Member("own", 1, zone="zone-0", control="10.255.0.1:1"))
    for number in range(size):
        members.merge(build_member(number))
    partitions = Partitions(members)
    router = Router(members)
    names = [member.instance for member in members]

    def rank_uncached() -> None:
        partitions._ranking._cached_rankings.clear()
        partitions.rank("zone-1", 3)

    def route_uncached() -> None:
        router._members_version = -1
        router.choose("service-3", set())

    def merge_update() -> None:
        known = members.get("archive-eu-1-5")
        assert known is not None
        members.merge(known.replace(sequence=known.sequence + 1))

    return {
        "zone ranked anew, us": measure_microseconds(rank_uncached),
        "zone's ranking as kept, us": measure_microseconds(
            lambda: partitions.rank("zone-1", 3), 2000
        ),
        "neighbours chosen anew, us": measure_microseconds(
            lambda: rank("own", names, 2), 5
        ),
        "services indexed anew, us": measure_microseconds(route_uncached),
        "a call routed, us": measure_microseconds(
            lambda: router.choose("service-3", set()), 2000
        ),
        "a member merged, us": measure_microseconds(merge_update, 500),
        "suspicions checked, us": measure_microseconds(
            lambda: members.expire(3.0), 2000
        ),
    }


def measure_fold() -> dict[str, Any]:
    """Return the cost of applying an edit that adds one section to a document."""
    fold = Fold(b"s" * 32)
    started = time.process_time()
    for number in range(EDIT_COUNT):
        value = {"keys": [f"k{number}"], "note": "x" * 200}
        edit = Edit([SectionEdit(f"recalls/r{number}", None, value)], "bench")
        fold.apply(number, edit.to_value())
    microseconds = (time.process_time() - started) / EDIT_COUNT * 1e6
    return {"an edit folded in, us": microseconds}


@benchmark("tables")
async def measure_tables(options: argparse.Namespace) -> dict[str, Any]:
    """Measure member tables of several sizes, and applying edits to a document."""
    figures: dict[str, Any] = {f"{n} members": measure_table(n) for n in TABLE_SIZES}
    figures["the fold"] = measure_fold()
    return figures

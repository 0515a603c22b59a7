"""The soak itself: a short run of one seed, and that its checks see what breaks."""

import pathlib

import pytest

from soak.checks import find_broken, Ran, Record, Sent
from soak.run import Soak

# A short run for every change; more seeds are run by hand with `python -m soak`.
SEED = 1
SECONDS = 6.0
NODES = 4


async def test_a_short_run_keeps_all_promises(tmp_path: pathlib.Path):
    """Real processes, paused, killed, stopped and cut from the store; what callers
    and backend servers saw keeps every promise, and at the end all is served again.
    """
    soak = Soak(SEED, SECONDS, NODES, tmp_path)
    broken = await soak.run()
    assert broken == []
    assert sum(sent.status == 200 for sent in soak.record.sent.values()) > 500


def build_record() -> Record:
    """Return a record of one unsafe request that ran once and was served."""
    record = Record()
    record.tenants = {"key-a": "north"}
    sent = Sent("r1", "key-a", False, 10.0)
    sent.status = 200
    record.sent["r1"] = sent
    record.ran["r1"] = [Ran("r1", "i-1", "north", False, 10.1)]
    return record


def run_twice(record: Record) -> None:
    """Let it run again."""
    record.ran["r1"].append(Ran("r1", "i-2", "north", False, 10.2))


def refuse(record: Record) -> None:
    """Say that it has not run."""
    record.sent["r1"].status = 503


def mix(record: Record) -> None:
    """Hand out another request's body."""
    record.sent["r1"].whole = False


def withdraw(record: Record) -> None:
    """Withdraw its key long before."""
    record.withdrawn["key-a"] = 4.0


def drain(record: Record) -> None:
    """Have its backend server leave long before."""
    record.drained["i-1"] = 7.0


def swap_tenant(record: Record) -> None:
    """Run it for another workspace."""
    record.ran["r1"][0].tenant = "south"


def show_key(record: Record) -> None:
    """Show its key to the backend server."""
    record.ran["r1"][0].key_seen = True


def forge(record: Record) -> None:
    """Run what nobody sent."""
    record.ran["r2"] = [Ran("r2", "i-1", "north", False, 10.1)]


def test_what_is_kept_is_not_reported():
    """A served request breaks nothing."""
    assert find_broken(build_record()) == []


@pytest.mark.parametrize(
    "harm",
    [run_twice, refuse, mix, withdraw, drain, swap_tenant, show_key, forge],
)
def test_each_broken_promise_is_seen(harm):
    """A check that sees nothing would pass every run."""
    record = build_record()
    harm(record)
    assert len(find_broken(record)) == 1

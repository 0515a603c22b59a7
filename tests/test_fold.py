"""Applying log records: every node builds the same document from the same log."""

import json

import pytest
from hypothesis import given, strategies as st

from primroseglade.document.document import digest_key
from primroseglade.document.fold import Fold
from primroseglade.document.records import Edit, SectionEdit

from .helpers import build_workspace

SECRET = b"s" * 32
SERVICE = {"backend_servers": [{"network": "10.0.0.0/8", "batch": "b1"}]}


def make_edit(section: str, base: int | None, value, author: str = "ops") -> dict:
    return Edit([SectionEdit(section, base, value)], author).to_value()


def dump(fold: Fold) -> str:
    stored = {name: s.to_stored() for name, s in fold.document.sections.items()}
    return json.dumps(stored, sort_keys=True)


def apply_all(records: list) -> Fold:
    fold = Fold(SECRET)
    for offset, value in enumerate(records):
        fold.apply(offset, value)
    return fold


def test_concurrent_edits_have_one_winner_and_the_loser_learns_by_whom():
    """Two operators read the same section and publish edits of it at the same time.

    Both records are in the log. The first is applied on every node. The second must
    not undo it, and its outcome must name the author of the first.
    """
    fold = Fold(SECRET)
    fold.apply(0, make_edit("services/archive", None, SERVICE))
    first = fold.apply(1, make_edit("services/archive", 0, SERVICE, "ana"))
    second = fold.apply(
        2, make_edit("services/archive", 0, {"backend_servers": []}, "ikenna")
    )
    assert first.accepted
    assert not second.accepted
    assert "ana changed it at 1" in second.reason
    assert fold.document.services["archive"].trusted


def test_edit_of_several_sections_is_accepted_or_rejected_as_a_whole():
    fold = Fold(SECRET)
    fold.apply(0, make_edit("zones/a", None, {"share": 0.5}))
    edit = Edit(
        [
            SectionEdit("zones/b", None, {"share": 0.5}),
            SectionEdit("zones/a", 7, {"share": 0.1}),
        ],
        "ops",
    )
    assert not fold.apply(1, edit.to_value()).accepted
    assert fold.document.shares == {"a": 0.5}


def test_edit_appended_again_after_a_lost_response_changes_nothing():
    """An append takes effect, its response is lost, and the tool appends it again.

    In between, another operator removed the section. The second copy of the record must
    not restore it.
    """
    record = make_edit("recalls/tablet", None, {"keys": ["k1"]})
    fold = apply_all([record, make_edit("recalls/tablet", 0, None), record])
    assert fold.find_outcome(record["id"]).accepted
    assert fold.document.sections["recalls/tablet"].value is None


@pytest.mark.parametrize(
    "value",
    [
        None,
        17,
        "text",
        [],
        {},
        {"format": 2, "id": "x", "author": "a", "edits": []},
        {"snapshot": "forged", "format": 1},
        {"snapshot": {"next_offset": 3}, "format": 1, "mac": "00"},
        make_edit("nonsense/x", None, {}),
        make_edit("zones/a", None, {"share": 2}),
        make_edit("zones/a", None, {"share": 0.5, "typo": 1}),
        make_edit("rates/nobody", None, {"per_second": 1, "burst": 1}),
    ],
)
def test_invalid_record_is_rejected_and_later_ones_are_applied(value):
    fold = apply_all([value, make_edit("zones/b", None, {"share": 1.0})])
    assert fold.next_offset == 2
    assert fold.document.shares == {"b": 1.0}


def test_shares_of_all_zones_never_add_up_to_more_than_one():
    fold = apply_all([make_edit("zones/a", None, {"share": 0.7})])
    outcome = fold.apply(1, make_edit("zones/b", None, {"share": 0.4}))
    assert not outcome.accepted
    assert "1.1" in outcome.reason


def test_key_cannot_be_in_two_workspaces():
    """A workspace publishes the digest of another workspace's key as its own."""
    fold = apply_all([make_edit("workspaces/one", None, build_workspace("one", "k"))])
    stolen = {"keys": [{"id": "mine", "digest": digest_key("k")}]}
    assert not fold.apply(1, make_edit("workspaces/two", None, stolen)).accepted
    assert fold.document.find_key_by_digest(digest_key("k")).workspace == "one"


def test_key_moved_by_one_edit_acts_for_its_new_workspace():
    fold = apply_all([make_edit("workspaces/one", None, build_workspace("one", "k"))])
    edit = Edit(
        [
            SectionEdit("workspaces/two", None, build_workspace("two", "k")),
            SectionEdit("workspaces/one", 0, {"keys": []}),
        ],
        "ops",
    )
    assert fold.apply(1, edit.to_value()).accepted
    assert fold.document.find_key_by_digest(digest_key("k")).workspace == "two"


def test_one_recall_withdraws_a_batch_of_keys_workspaces_and_backend_servers():
    fold = apply_all(
        [
            make_edit("workspaces/one", None, build_workspace("one", "k1", "bad")),
            make_edit("workspaces/two", None, build_workspace("two", "k2", "good")),
            make_edit("services/archive", None, SERVICE),
        ]
    )
    document = fold.document
    assert document.is_key_valid("one", "one-key")
    assert document.trusts("archive", "10.1.1.1:80")
    recall = {"key_batches": ["bad"], "backend_server_batches": ["b1"]}
    fold.apply(3, make_edit("recalls/r", None, recall))
    assert not document.is_key_valid("one", "one-key")
    assert document.is_key_valid("two", "two-key")
    assert not document.trusts("archive", "10.1.1.1:80")
    fold.apply(4, make_edit("recalls/r2", None, {"workspaces": ["two"]}))
    assert not document.is_key_valid("two", "two-key")


def test_late_snapshot_never_reverts():
    early = apply_all([make_edit("zones/a", None, {"share": 0.2})])
    parts = early.build_snapshot()
    late = apply_all(
        [
            make_edit("zones/a", None, {"share": 0.2}),
            make_edit("zones/a", 0, {"share": 0.9}),
        ]
    )
    assert not late.load(parts)
    assert late.document.shares == {"a": 0.9}


def test_late_record_does_not_revert_the_document():
    """A peer sends records after newer ones were read from the log."""
    log_values = [make_edit("zones/a", None, {"share": 0.2}), "garbage"]
    fold = apply_all(log_values)
    fold.apply(0, log_values[0])
    assert fold.next_offset == 2


section_names = st.sampled_from(["zones/a", "zones/b", "services/x", "recalls/r"])
section_values = {
    "zones/a": [{"share": 0.3}, {"share": 0.8}, None],
    "zones/b": [{"share": 0.4}, {"share": 3}, None],
    "services/x": [SERVICE, {"backend_servers": []}, None],
    "recalls/r": [{"keys": ["k"]}, {"keys": 3}, None],
}


@st.composite
def records(draw):
    """Edits with current, stale or invalid versions, repeated ones, invalid records."""
    log_values: list = []
    for _ in range(draw(st.integers(1, 25))):
        kind = draw(st.integers(0, 9))
        if kind == 0:
            log_values.append(draw(st.sampled_from([None, 3, "x", {"format": 9}])))
        elif kind == 1 and log_values:
            log_values.append(draw(st.sampled_from(log_values)))
        else:
            name = draw(section_names)
            base = draw(st.one_of(st.none(), st.integers(0, len(log_values) + 1)))
            log_values.append(
                make_edit(name, base, draw(st.sampled_from(section_values[name])))
            )
    return log_values


@given(records(), st.data())
def test_replays_and_snapshots_give_the_same_document(log_values, data):
    """Records are applied in order, some repeated, or a snapshot replaces the first."""
    expected = apply_all(log_values)
    replayed = Fold(SECRET)
    snapshot_at = data.draw(st.integers(0, len(log_values)))
    for offset in range(snapshot_at):
        replayed.apply(offset, log_values[offset])
        if data.draw(st.booleans()):
            late = data.draw(st.integers(0, offset))
            replayed.apply(late, log_values[late])
    restored = Fold(SECRET)
    if snapshot_at:
        restored.load(replayed.build_snapshot())
    for offset in range(restored.next_offset, len(log_values)):
        restored.apply(offset, log_values[offset])
    assert dump(restored) == dump(expected)
    assert sum(restored.document.shares.values()) <= 1 + 1e-9

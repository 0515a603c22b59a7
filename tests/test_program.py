"""The program: commands, settings, documents, reference pages and examples."""

import json
import pathlib

import pytest

from primroseglade.demo.deployments import DEPLOYMENTS
from primroseglade.errors import InputError
from primroseglade.exits import ExitStatus
from primroseglade.observe.events import (
    EVENT_CATALOG,
    EventHandler,
    Journal,
    NODE_STARTED,
)
from primroseglade.reference import PAGES
from primroseglade.settings.node import build_node_settings, load_node_settings
from primroseglade.settings.reader import parse_text

from .helpers import run_program

ROOT = pathlib.Path(__file__).parent.parent
NODE = {
    "instance": "a",
    "zone": "z",
    "platform": "127.0.0.1:1",
    "fleet_secret": "s" * 32,
}


@pytest.mark.parametrize("name", sorted(PAGES))
def test_reference_page_is_current(name):
    page = ROOT / "docs" / name
    assert page.read_text(encoding="utf-8") == PAGES[name]()


def test_every_event_that_the_code_names_is_in_the_catalogue():
    defined = {event.number for event in EVENT_CATALOG.values()}
    assert len(defined) == len(EVENT_CATALOG)
    assert all(event.meaning.endswith(".") for event in EVENT_CATALOG.values())


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/*/*.jsonc")), ids=str)
def test_examples_are_valid(path):
    if path.name.startswith("node"):
        assert load_node_settings(str(path)).instance
    elif path.name != "recall.jsonc":
        result = run_program("config", "check", str(path))
        assert result.status is ExitStatus.SUCCESS, result.stderr


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_examples_have_the_zones_services_and_workspaces_of_the_demo(name):
    path = ROOT / "examples" / name / "document.jsonc"
    document = parse_text(path.read_text(encoding="utf-8"), str(path))
    deployment = DEPLOYMENTS[name]
    assert set(document["zones"]) == set(deployment.zones)
    assert set(document["services"]) == set(deployment.services)
    assert set(document["workspaces"]) == set(deployment.workspaces)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("{", "not JSON"),
        ('{"zones": 1}', "/zones"),
        ('{"zoons": {}}', "unknown field 'zoons'"),
        ('{"zones": {}, "zones": {}}', "duplicate field 'zones'"),
        ('{"zones": {"a": {"share": 2}}}', "/share"),
        ('{"zones": {"a": {"share": 0.7}, "b": {"share": 0.7}}}', "1.4"),
        ('{"rates": {"x": {"per_second": 1, "burst": 1}}}', "workspaces/x"),
        ('{"zones": {"A!": {"share": 1}}}', "is not valid"),
        ('{"services": {"s": {"backend_servers": [{"network": "x"}]}}}', "network"),
    ],
)
def test_invalid_document_gives_one_line_of_error(tmp_path, text, words):
    path = tmp_path / "document.jsonc"
    path.write_text(text)
    result = run_program("config", "check", str(path))
    assert result.status is ExitStatus.BAD_INPUT
    assert result.stderr.count("\n") == 1
    assert words in result.stderr


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"instance": "Upper Case"}, "/instance"),
        ({"fleet_secret": "short"}, "/fleet_secret"),
        ({"platform": "localhost:1"}, "/platform"),
        ({"extra": 1}, "unknown field 'extra'"),
        ({"timeouts": {"call": 0}}, "/timeouts/call"),
        ({"limits": {"quue": 1}}, "'quue'"),
        ({"log": {"format": "xml"}}, "/log/format"),
    ],
)
def test_invalid_settings_report_path_reason_and_expectation(change, words):
    with pytest.raises(InputError) as caught:
        build_node_settings(NODE | change)
    assert words in str(caught.value)
    assert "expected" in str(caught.value)


def test_absent_settings_have_defaults():
    settings = build_node_settings(NODE)
    assert settings.timeouts.call == 10.0
    assert settings.limits.queue == 200


def test_help_succeeds():
    for arguments in (["--help"], ["config", "publish", "--help"], ["demo", "--help"]):
        result = run_program(*arguments)
        assert result.status is ExitStatus.SUCCESS


def test_invalid_arguments_are_a_usage_error():
    assert run_program("config", "check").status is ExitStatus.USAGE
    assert run_program("nonsense").status is ExitStatus.USAGE


def test_unreachable_node_gives_one_line_of_error():
    result = run_program("config", "status", "--node", "127.0.0.1:1")
    assert result.status is ExitStatus.UNREACHABLE
    assert result.stderr.startswith("primroseglade: node 127.0.0.1:1")


def test_key_prints_a_key_and_its_digest():
    result = run_program("key", "--json")
    output = json.loads(result.stdout)
    assert output["digest"].startswith("sha256:")
    assert output["key"] not in output["digest"]


@pytest.mark.parametrize("form", ["text", "json"])
def test_events_are_written_with_number_and_fields(form, tmp_path):
    path = tmp_path / "log"
    with path.open("w") as stream, EventHandler(stream, form).applicationbound():
        Journal("a").emit(NODE_STARTED, callers="127.0.0.1:1")
    line = path.read_text()
    if form == "json":
        assert json.loads(line)["event"] == 101
    assert "101" in line
    assert "127.0.0.1:1" in line

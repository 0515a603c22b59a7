"""The platform's names stay in the adapter."""

import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "primroseglade"
# The stand-ins play the platform's part and speak its protocol.
ALLOWED = (ROOT / "platform", ROOT / "stand_ins")
NAMES = (
    "x-primroseglade-",
    "/log-append",
    "/log-read",
    "/log-newest",
    "virtual_hosts",
    "traffic_split",
    "capacity_slots",
    "api_keys",
    "primroseglade_settings",
)
FILES = [
    path
    for path in ROOT.rglob("*.py")
    if not any(folder in path.parents for folder in ALLOWED)
]


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_platform_names_occur_only_in_the_adapter(path: pathlib.Path):
    """What the platform calls things is decoded once."""
    text = path.read_text().lower()
    assert not [name for name in NAMES if name in text]

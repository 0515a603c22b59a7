"""Names of the platform's protocol occur only in the platform adapter."""

import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "primroseglade"
# The stand-ins emulate the platform and use the names of its protocol.
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
    """The platform's protocol is decoded in one place only."""
    text = path.read_text().lower()
    assert not [name for name in NAMES if name in text]

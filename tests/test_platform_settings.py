"""Values of the settings file that the platform writes."""

import pytest

from primroseglade.errors import InputError
from primroseglade.platform.settings import decode_settings
from primroseglade.platform.values import Fields


def build_fields(**bounds: object) -> Fields:
    """Return the fields of a settings file with some bounds."""
    value = {
        "node_name": "n",
        "zone": "a",
        "service": "deep",
        "app_addr": "127.0.0.1:1",
        "ip": "127.0.0.1",
        "listen": {name: "127.0.0.1:2" for name in ("outbound", "ready", "control")},
        "internal_ports": [7000, 7015],
        "bounds": bounds,
        "platform": {"address": "127.0.0.1:3"},
    }
    return Fields(value, "settings")


def test_blocks_of_requests_have_defaults():
    """The platform states neither of the two."""
    node = decode_settings(build_fields()).node
    assert (node.max_ended_servers, node.request_block) == (3, 600.0)
    node = decode_settings(build_fields(max_ended_servers=2, request_block="90s")).node
    assert (node.max_ended_servers, node.request_block) == (2, 90.0)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("max_ended_servers", 0),
        ("max_ended_servers", 101),
        ("max_ended_servers", 2.5),
        ("max_ended_servers", "3"),
        ("request_block", "0s"),
        ("request_block", "2000000s"),
        ("request_block", 600),
    ],
)
def test_bad_value_is_named_with_what_is_expected(name: str, value: object):
    """Guards against a node that starts with requests blocked at once, or never."""
    with pytest.raises(InputError) as error:
        decode_settings(build_fields(**{name: value}))
    assert name in str(error.value)

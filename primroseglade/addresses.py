"""Parsing and formatting of ``IP:PORT`` addresses."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Split an address into IP address and port, and check both.

    Args:
        text: An IPv4 or bracketed IPv6 address, a colon and a port (0 to 65535).

    Raises:
        ValueError: The text has another form, such as a host name.

    >>> parse_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    >>> parse_address("[::1]:80")
    ('::1', 80)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is not IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Join an IP address and a port.

    >>> join_address("::1", 80)
    '[::1]:80'
    """
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

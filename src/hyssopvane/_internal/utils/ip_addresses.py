"""Check addresses that consist of an IP address and a port."""

import ipaddress
from functools import lru_cache

_MAX_PORT = 65_535
_MAX_LENGTH = 64
"""Longest text that is parsed, in characters: IPv6 with a port has 47."""


@lru_cache(maxsize=4_096)
def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port, as in 10.0.0.7:8080."""
    if len(text) > _MAX_LENGTH:
        return False
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or int(port) > _MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True

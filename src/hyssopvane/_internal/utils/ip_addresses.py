"""Tell whether a text names a port of a machine."""

import ipaddress
from functools import lru_cache

_MAX_PORT = 65_535
_MAX_LENGTH = 64
"""Characters of the longest address that is looked at: IPv6 with a port has 47."""


@lru_cache(maxsize=4_096)
def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port, as in 10.0.0.7:8080."""
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

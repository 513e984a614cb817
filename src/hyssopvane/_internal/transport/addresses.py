"""Parse, format and bind addresses of the form "ip:port"."""

import ipaddress
import socket
from functools import lru_cache

from hyssopvane._internal.exceptions import SettingsError


def bind_listener(bind: str) -> socket.socket:
    """Bind a TCP socket to "ip:port"; the kernel chooses the port for port 0."""
    host, port = parse_address(bind)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise SettingsError(
            f"the address can't be bound: {error.strerror}",
            context=bind,
            hint="choose an address of this VM and a free port",
        ) from error
    return listener


@lru_cache(maxsize=4_096)
def parse_address(address: str) -> tuple[str, int]:
    """Split "ip:port" or "[ipv6]:port" into IP address and port."""
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise SettingsError(
            f"{address!r} is not an IP address and a port",
            hint="write it as in 10.0.0.7:8080 or [::1]:8080",
        ) from error
    return host, number


def format_address(name: tuple[str, int] | tuple[str, int, int, int]) -> str:
    """Format the address of a socket as "ip:port" or "[ipv6]:port"."""
    host, port = name[0], name[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def replace_port(address: str, port: int) -> str:
    """Return an address with its port replaced."""
    return f"{address.rpartition(':')[0]}:{port}"

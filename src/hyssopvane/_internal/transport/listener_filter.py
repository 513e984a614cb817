"""Drop new connections to a listener that is about to close."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26

# A classic BPF program on the TCP header. It drops segments with SYN and without ACK,
# which open a connection, and accepts all others. Each step is (code, jump if true,
# jump if false, operand).
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte of the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # if only SYN is set, continue, else skip one step
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # accept
)


def drop_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop new connections to a listener; raise `OSError`.

    A caller that connects meanwhile retries after its first timeout, when the listener
    is closed. Connections that are already established can still be accepted.
    """
    program = b"".join(struct.pack("=HBBI", *step) for step in _DROP_SYN)
    buffer = ctypes.create_string_buffer(program, len(program))
    filter_program = struct.pack("@HP", len(_DROP_SYN), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_program)

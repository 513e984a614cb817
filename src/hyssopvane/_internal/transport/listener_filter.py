"""Keep new connections away from a listener that is about to close."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26

# A classic BPF program over the TCP header: segments with SYN and without ACK, which
# begin a connection, are dropped; all others pass. (Code, jump if true, jump if false,
# operand.)
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte with the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # go on if SYN alone is set, else skip the next
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel begin no more connections to a listener; raise `OSError`.

    Whoever connects meanwhile tries again after its first timeout, and finds the
    listener closed. Those whose connections stand can still be accepted.
    """
    program = b"".join(struct.pack("=HBBI", *step) for step in _DROP_SYN)
    buffer = ctypes.create_string_buffer(program, len(program))
    filter_program = struct.pack("@HP", len(_DROP_SYN), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_program)

"""Read the limits of this process, and what it uses of them."""

import errno
import os
import resource
from pathlib import Path

_STATM = Path("/proc/self/statm")
_DESCRIPTORS = "/proc/self/fd"
_OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})


class ProcessUsage:
    """Measure the memory and the descriptors of this process.

    The file is kept open, since none can be opened when no descriptor is left.
    """

    def __init__(self, memory_limit: int | None) -> None:
        self._memory_limit = memory_limit
        """Limit of the resident memory in bytes, None for that of the address space."""
        self._statm = os.open(_STATM, os.O_RDONLY | os.O_CLOEXEC)
        self._page_bytes = os.sysconf("SC_PAGESIZE")

    def close(self) -> None:
        """Close the file."""
        os.close(self._statm)

    def measure_memory_share(self) -> float | None:
        """Return the used share of the memory, None if there is no limit."""
        size, resident = os.pread(self._statm, 256, 0).split()[:2]
        if self._memory_limit is not None:
            return int(resident) * self._page_bytes / self._memory_limit
        limit = read_memory_limit()
        return None if limit is None else int(size) * self._page_bytes / limit

    def measure_descriptor_share(self) -> float | None:
        """Return the used share of the descriptors, None if there is no limit."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            return None
        try:
            return len(os.listdir(_DESCRIPTORS)) / limit
        except OSError as error:
            if error.errno not in _OUT_OF_DESCRIPTORS:
                raise
            return 1.0


def read_memory_limit() -> int | None:
    """Return the limit of the address space in bytes, None if there is none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_AS)
    return None if soft == resource.RLIM_INFINITY else soft

"""Name the exit codes of the command line."""

from enum import IntEnum


class StatusCode(IntEnum):
    """Tell a shell how a command ended."""

    OK = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    CUT = 6
    """A shutdown reached its time limit with requests still in progress."""

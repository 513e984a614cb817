"""Define the exit codes of the command line."""

from enum import IntEnum

from hyssopvane._internal.exceptions import (
    EditConflict,
    HyssopvaneError,
    KeyValueError,
    SettingsError,
)


class StatusCode(IntEnum):
    """List the exit codes."""

    OK = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    DRAIN_TIMEOUT = 6
    """The shutdown reached its time limit with requests in progress."""


_STATUS_BY_ERROR: tuple[tuple[type[HyssopvaneError], StatusCode], ...] = (
    (SettingsError, StatusCode.BAD_SETTINGS),
    (EditConflict, StatusCode.CONFLICT),
    (KeyValueError, StatusCode.UNAVAILABLE),
    (HyssopvaneError, StatusCode.ERROR),
)


def get_status(error: HyssopvaneError) -> StatusCode:
    """Return the exit code of an error."""
    for kind, status in _STATUS_BY_ERROR:
        if isinstance(error, kind):
            return status
    return StatusCode.ERROR

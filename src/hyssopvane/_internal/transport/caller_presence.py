"""Tell whether the caller of a request is known to be still there."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from math import inf
from typing import Any

import trio

from hyssopvane._internal.transport.watched_input import WatchedInput

_EXTENSION = "hyssopvane.caller"


class CallerPresence(ABC):
    """Tell whether a caller has left, as far as its connection tells."""

    received_at: float
    """Time at which the request was received, as far as known."""

    @property
    @abstractmethod
    def read_delay_s(self) -> float:
        """Return for how long what was read last had waited, as far as known."""

    @abstractmethod
    def is_known(self) -> bool:
        """Return whether the caller is there and nothing that it has sent is unread."""

    @abstractmethod
    async def wait_until_known(self) -> None:
        """Wait until the caller is known to be there, for ever if it has left."""


class AssumedPresence(CallerPresence):
    """Take a caller for present whose connection is not watched."""

    def __init__(self) -> None:
        self.received_at = inf

    @property
    def read_delay_s(self) -> float:
        return 0.0

    def is_known(self) -> bool:
        return True

    async def wait_until_known(self) -> None:
        return


class ConnectedCaller(CallerPresence):
    """Watch the connection on which a caller has sent a request."""

    def __init__(
        self,
        received: WatchedInput,
        *,
        is_open: Callable[[], bool],
        received_at: float,
    ) -> None:
        self._input = received
        self.received_at = received_at
        self._is_open = is_open
        """Returns whether the caller has neither left nor cancelled the request."""

    @property
    def read_delay_s(self) -> float:
        return self._input.delay_s

    def is_known(self) -> bool:
        return self._input.is_current() and self._is_open()

    async def wait_until_known(self) -> None:
        await self._input.wait_until_current()
        if not self._is_open():
            # The task of the request is about to be told that its caller has left.
            await trio.sleep_forever()


ASSUMED_PRESENCE = AssumedPresence()


def add_presence(scope: Any, presence: CallerPresence) -> None:
    """Add the presence of the caller to the scope of its request."""
    scope["extensions"][_EXTENSION] = presence


def get_presence(scope: Any) -> CallerPresence:
    """Return the presence of the caller of a request."""
    presence = scope.get("extensions", {}).get(_EXTENSION, ASSUMED_PRESENCE)
    assert isinstance(presence, CallerPresence)
    return presence

"""Bound the bytes that an entry holds for slow readers, and lead callers elsewhere.

The load are callers and replicas that read slowly or not at all, many of them at once.
Without a bound on all buffers together the kernel ends the process for its memory, and
all of its callers lose their answers. Entries also differ in power and get equally many
connections: callers of the weakest one would wait while others are idle.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from math import inf

DEFAULT_MEMORY_BYTES = 200_000_000
"""Memory limit that is assumed if none is known: that of the smallest entry."""

BUFFER_SHARE = 0.25
"""Share of the memory limit that buffers may take.

An entry itself takes some 40 MB of 200, and bytes that arrive until stalled readers are
cut come on top: 19 MB over a link of 100 Mbit/s.
"""

CONNECTION_BYTES = 256 * 1024
"""Unread bytes that the answers on one connection may hold: four reads of a replica."""

STALL_S = 1.5
"""Time without progress after which a reader may be cut.

A lost packet and its first two repeats take 1.4 s. A replica cuts off a response itself
that remains unread for some seconds.
"""

MIN_READ_BYTES_PER_S = 4_096
"""Rate below which a reader falls behind.

A stream is generated at 1.3 to 3 KB/s: some 200 bytes for each pass of 0.07 to 0.15 s.
"""


REFUSAL_S = 2 * STALL_S
"""Time for which a refusal makes the entry cut readers that stall."""


NEAR_SHARE = 0.85
"""Share of a limit from which it counts as near."""

LEFT_SHARE = 0.7
"""Share of a limit below which it no longer counts as near."""

LAG_SHARE = 1 / 3
"""Share of the longest pause between two events that the event loop may be late: an
event passes it twice, and the replica needs the rest."""

LAG_WEIGHT = 0.25
"""Weight of the last of four measurements a second in the mean lag."""

MAX_LAG_SAMPLE = 2.0
"""Largest lag that one measurement counts, in limits: a process that stood still once
has no lack of processor time."""

CLOSE_SHARE_PER_S = 0.1
"""Share of the open connections that may be closed in a second.

Usage is measured each second, so the effect of a tenth is seen before the next one. If
all entries are near a limit, closing more would cost them the processor time of as many
new connections.
"""


class ReaderKind(StrEnum):
    """Name who reads what an account holds."""

    CALLER = "caller"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """Hold the bounds on the buffers of an entry."""

    total_bytes: int
    connection_bytes: int = CONNECTION_BYTES


def make_buffer_limits(memory_bytes: int | None) -> BufferLimits:
    """Return the bounds for a process with a memory limit, None if it has none."""
    return BufferLimits(int((memory_bytes or DEFAULT_MEMORY_BYTES) * BUFFER_SHARE))


@dataclass(slots=True)
class _Connection:
    unread: int = 0
    readers: int = 0
    """Number of accounts with unread bytes."""
    accounts: int = 0


@dataclass(slots=True, eq=False)
class BufferAccount:
    """Hold what is buffered for one request of a caller, or one call of a replica."""

    kind: ReaderKind
    connection: Hashable
    resumable: bool = False
    """Whether the caller can resume the answer if it is cut."""
    held: int = 0
    """Bytes that count toward the total."""
    unread: int = 0
    """Bytes that are being sent and that the kernel has not taken."""
    receiving: bool = False
    """Whether the caller still sends the body of its request."""
    progress_at: float = -inf
    """Time up to which the other side has kept up with the minimum rate.

    It may lie ahead by `longest_gap_s`.
    """
    taken_at: float = 0.0
    """Time at which bytes were last taken, or began to be sent."""
    longest_gap_s: float = 0.0
    """Longest time without progress after which the reader went on."""
    is_cut: bool = False
    state: _Connection | None = None
    """State that all requests on the connection of a caller share; None for a replica,
    as a call has a connection of its own, and its body is bounded by itself."""

    @property
    def size(self) -> int:
        """Return the number of bytes that a cut frees."""
        return max(self.held, self.unread)

    def measure_stall_s(self, now: float) -> float:
        """Return for how long the other side has made no sufficient progress."""
        return now - self.progress_at if self.unread or self.receiving else 0.0


class BufferLedger:
    """Count what is buffered, and choose the readers to cut when a bound is exceeded.

    Back-pressure bounds what a single reader holds, but neither the sum over all
    readers nor that over the streams of one connection.
    """

    def __init__(self, limits: BufferLimits) -> None:
        self.limits = limits
        self.total = 0
        """Number of bytes held."""
        self._leaving = 0
        """Bytes of accounts that are cut and not closed yet."""
        self._wanted = 0
        """Bytes of a refused request, for which readers that stall make room."""
        self._wanted_until = 0.0
        self._accounts: set[BufferAccount] = set()
        self._connections: dict[Hashable, _Connection] = {}
        self._exceeding: set[Hashable] = set()
        """Connections with more unread bytes than they may hold."""

    def open(self, kind: ReaderKind, connection: Hashable) -> BufferAccount:
        """Open the account of a request or call on a connection."""
        account = BufferAccount(kind, connection)
        if kind is ReaderKind.CALLER:
            account.state = self._connections.setdefault(connection, _Connection())
            account.state.accounts += 1
        self._accounts.add(account)
        return account

    def close(self, account: BufferAccount) -> None:
        """Release everything that an account holds."""
        self.end_sending(account)
        self.hold(account, -account.held)
        self._accounts.discard(account)
        if account.state is not None:
            account.state.accounts -= 1
            if not account.state.accounts:
                del self._connections[account.connection]

    def hold(self, account: BufferAccount, size: int) -> None:
        """Add bytes to what an account holds; a negative number releases them."""
        before = account.held
        account.held += size
        self.total += size
        if account.is_cut:
            self._leaving += max(account.held, account.unread)
            self._leaving -= max(before, account.unread)

    def record_received(
        self, account: BufferAccount, size: int, *, more: bool, now: float
    ) -> None:
        """Record a part of a request body, and whether `more` of it follows.

        A caller that stops within its body holds what it has sent until its deadline,
        and others would be refused for it.
        """
        progress_s = size / MIN_READ_BYTES_PER_S
        since = account.progress_at if account.receiving else now
        account.progress_at = min(now, since + progress_s)
        account.receiving = more
        self.hold(account, size)

    def begin_sending(self, account: BufferAccount, size: int, *, now: float) -> None:
        """Record that bytes are handed over to be sent; the account holds them."""
        account.progress_at = max(now, account.progress_at)
        account.taken_at = now
        self._change_unread(account, size)

    def record_sent(self, account: BufferAccount, size: int, *, now: float) -> None:
        """Record that the kernel has taken bytes.

        It takes them in bursts: a receiver announces room only once it has read much of
        its buffer. So a reader that went on after a gap is given the time of the bytes
        it took, but no longer than it was seen to need.
        """
        account.longest_gap_s = max(account.longest_gap_s, now - account.taken_at)
        account.taken_at = now
        progress_at = account.progress_at + size / MIN_READ_BYTES_PER_S
        account.progress_at = min(now + account.longest_gap_s, progress_at)
        # The head of a request is sent with its body, and not counted.
        self._change_unread(account, -min(size, account.unread))

    def end_sending(self, account: BufferAccount) -> None:
        """Record that the bytes are sent or given up."""
        self._change_unread(account, -account.unread)

    def refuses(self, connection: Hashable) -> bool:
        """Return whether a new request on a connection would exceed a bound."""
        return self._measure_excess() > 0 or connection in self._exceeding

    def record_refusal(self, size: int, *, now: float) -> None:
        """Record that there was no room for so many bytes of a request.

        Otherwise readers that have stalled would keep their bytes just below the bound,
        and each large body would be refused.
        """
        self._wanted = max(self._wanted, size)
        self._wanted_until = now + REFUSAL_S

    def forgive(self, pause_s: float) -> None:
        """Don't count a time in which this process stood still against readers."""
        for account in self._accounts:
            account.progress_at += pause_s
            account.taken_at += pause_s

    def choose_cuts(self, now: float) -> list[BufferAccount]:
        """Return the stalled readers to cut now, and mark them.

        Those that hold much come first, so that few are cut. Among them, callers that
        can resume their streams lose least.
        """
        if now >= self._wanted_until:
            self._wanted = 0
        excess = self._measure_excess() + self._wanted
        if excess <= 0 and not self._exceeding:
            return []
        stalled = [
            account
            for account in self._accounts
            if not account.is_cut and account.measure_stall_s(now) >= STALL_S
        ]
        if not stalled:
            return []
        mean = sum(account.size for account in stalled) / len(stalled)
        stalled.sort(
            key=lambda account: (
                account.size >= mean,
                account.resumable,
                account.size * account.measure_stall_s(now),
            ),
            reverse=True,
        )
        chosen = []
        kept = self._copy_exceeding()
        for account in stalled:
            connection = kept.get(account.connection)
            if excess <= 0 and connection is None:
                continue
            account.is_cut = True
            excess -= account.size
            self._leaving += account.size
            chosen.append(account)
            if connection is not None:
                connection.unread -= account.unread
                connection.readers -= 1
                if not self._exceeds(connection):
                    del kept[account.connection]
        if excess <= 0:
            self._wanted = 0
        return chosen

    def _copy_exceeding(self) -> dict[Hashable, _Connection]:
        """Return the state of connections beyond their bound, less what is cut."""
        found = {}
        for key in self._exceeding:
            found[key] = replace(self._connections[key])
        for account in self._accounts if found else ():
            if account.is_cut and account.unread and account.connection in found:
                found[account.connection].unread -= account.unread
                found[account.connection].readers -= 1
        return {key: one for key, one in found.items() if self._exceeds(one)}

    def _measure_excess(self) -> int:
        return self.total - self._leaving - self.limits.total_bytes

    def _exceeds(self, connection: _Connection) -> bool:
        # One answer may be larger than the bound, as a plain one is read whole.
        return (
            connection.unread > self.limits.connection_bytes and connection.readers > 1
        )

    def _change_unread(self, account: BufferAccount, size: int) -> None:
        if not size:
            return
        before, was_unread = account.unread, account.unread > 0
        account.unread += size
        if account.is_cut:
            self._leaving += max(account.held, account.unread)
            self._leaving -= max(account.held, before)
        connection = account.state
        if connection is None:
            return
        connection.unread += size
        connection.readers += (account.unread > 0) - was_unread
        if self._exceeds(connection):
            self._exceeding.add(account.connection)
        elif self._exceeding:
            self._exceeding.discard(account.connection)


class Resource(StrEnum):
    """Name what an entry may run short of."""

    PROCESSOR = "processor"
    """Processor time, as the lag of the event loop."""
    MEMORY = "memory"
    BUFFERS = "buffers"
    DESCRIPTORS = "descriptors"
    LINK = "link"


@dataclass(frozen=True, slots=True)
class PressureChange:
    """Report that a resource is near its limit now, or no longer."""

    resource: Resource
    is_near: bool
    share: float


class PressureMonitor:
    """Decide when an entry is near a limit, and which connections it closes then.

    Callers whose connection closes after an answer come back on a new one, mostly to
    another entry. No answer is broken off, and new connections are accepted, as a
    refused one costs its caller a retry.
    """

    def __init__(self) -> None:
        self.near: set[Resource] = set()
        self._lag = 0.0
        """Mean lag of the event loop, in limits."""
        self._closes = 0.0
        """Connections that may be closed now."""
        self._closes_at = 0.0

    def observe(self, resource: Resource, share: float) -> PressureChange | None:
        """Record the share of a limit that is used; return a change of state."""
        is_near = resource in self.near
        if share >= NEAR_SHARE and not is_near:
            self.near.add(resource)
        elif share < LEFT_SHARE and is_near:
            self.near.discard(resource)
        else:
            return None
        return PressureChange(resource, not is_near, share)

    def observe_lag(self, lag_s: float, limit_s: float) -> PressureChange | None:
        """Record by how much the event loop was late; return a change of state."""
        sample = min(max(0.0, lag_s) / limit_s, MAX_LAG_SAMPLE)
        self._lag += LAG_WEIGHT * (sample - self._lag)
        return self.observe(Resource.PROCESSOR, self._lag)

    def take_close(self, connections: int, *, now: float) -> bool:
        """Return whether to close a connection after its answer, and count it if so."""
        if not self.near:
            return False
        rate = max(1.0, connections * CLOSE_SHARE_PER_S)
        earned = (now - self._closes_at) * rate
        self._closes_at = now
        self._closes = min(self._closes + earned, rate)
        if self._closes < 1.0:
            return False
        self._closes -= 1.0
        return True


def measure_lag_limit_s(waits_s: Iterable[float]) -> float | None:
    """Return the lag that callers bear, by the waits that they bear, None if unknown.

    The waits are the longest pauses of streams, and the objectives of other answers.
    """
    return min((wait_s * LAG_SHARE for wait_s in waits_s if wait_s > 0), default=None)

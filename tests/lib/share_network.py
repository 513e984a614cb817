"""Simulate entries that share a customer's limits over an unreliable network."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from hyssopvane._internal.policy.admission import Admission
from hyssopvane._internal.policy.entry_views import EntryView
from hyssopvane._internal.policy.share_grants import ShareGranter
from hyssopvane._internal.policy.shares import ShareHolder
from hyssopvane._internal.state.shares import EntryId, ShareRequest
from hyssopvane._internal.state.table import CustomerRow

CUSTOMER = "registry"
ROWS = {CUSTOMER: CustomerRow(CUSTOMER, rate_limit=25.0)}
_TICK_S = 1.0
_MAX_LIST_LAG_S = 4.0


class ShareNode:
    """Hold the components of one entry, and the demand that it receives."""

    def __init__(self, vm: str, incarnation: int) -> None:
        self.id = EntryId(vm, incarnation)
        self.view = EntryView(own_vm=vm)
        self.admission = Admission()
        self.admission.update_rows(ROWS)
        self.holder = ShareHolder(self.view, self.admission)
        self.granter = ShareGranter(self.view, own_vm=vm)
        self.rate = 0.0
        self.cut_off = False
        self.listed: frozenset[str] = frozenset()
        self.listed_at = -1

    def ask_for_requests(self, *, now: float) -> None:
        """Add the requests of one tick."""
        for _ in range(int(self.rate * _TICK_S)):
            self.admission.check(CUSTOMER, 1, hold_s=1.0, now=now)


class ShareNetwork:
    """Run entries on one simulated clock."""

    def __init__(self, random: Random, *, loss: float = 0.0, delay_s: float = 0.0):
        self.now = 1_000.0
        self.nodes: dict[str, ShareNode] = {}
        self.request_count = 0
        self._random = random
        self._loss = loss
        self._delay_s = delay_s
        self._incarnations = count(1)
        self._sequence = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def start(self, vm: str) -> ShareNode:
        """Start or restart an entry."""
        node = ShareNode(vm, next(self._incarnations))
        self.nodes[vm] = node
        self._publish_lists()
        self._schedule(0.0, lambda: self._tick(node))
        return node

    def kill(self, vm: str) -> None:
        """Stop an entry without notice."""
        del self.nodes[vm]
        self._publish_lists()

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        """Advance the clock; check after every event."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            check()
        self.now = until

    def sum_granted(self) -> float:
        """Return the sum of the grants in force at all entries."""
        return self.sum_in_force() - self.sum_safe()

    def sum_in_force(self) -> float:
        """Return the sum of the shares in force at all entries."""
        return sum(
            node.holder.get_fraction(CUSTOMER, now=self.now)
            for node in self.nodes.values()
        )

    def sum_safe(self) -> float:
        """Return the sum of the safe shares of all entries."""
        return sum(node.holder.safe_share for node in self.nodes.values())

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), action))

    def _publish_lists(self) -> None:
        names = frozenset(self.nodes)
        at = next(self._sequence)
        for node in self.nodes.values():
            lag_s = self._random.uniform(0, _MAX_LIST_LAG_S)
            self._schedule(lag_s, lambda one=node: self._deliver_list(one, names, at))

    def _deliver_list(self, node: ShareNode, names: frozenset[str], at: int) -> None:
        # A delayed list never replaces a later one.
        if at > node.listed_at:
            node.listed_at = at
            node.listed = names
            node.view.update(names - {node.id.vm}, now=self.now)

    def _is_up(self, node: ShareNode) -> bool:
        return self.nodes.get(node.id.vm) is node

    def _tick(self, node: ShareNode) -> None:
        if not self._is_up(node):
            return
        self._schedule(_TICK_S, lambda: self._tick(node))
        if not node.view.live:
            return
        node.view.update(node.listed - {node.id.vm}, now=self.now)
        node.holder.update_view(now=self.now)
        node.granter.update_customers(ROWS, now=self.now)
        node.ask_for_requests(now=self.now)
        node.holder.measure_demand(ROWS, now=self.now)
        for vm, requests in node.holder.choose_requests(now=self.now).items():
            self._send(node, vm, requests, self.now)

    def _send(
        self, node: ShareNode, vm: str, requests: list[ShareRequest], at: float
    ) -> None:
        self.request_count += 1
        if vm == node.id.vm:
            self._answer(node, vm, requests, at)
            return
        copies = 2 if self._random.random() < self._loss / 4 else 1
        for _ in range(copies):
            self._deliver(node, lambda: self._answer(node, vm, requests, at))

    def _answer(
        self, node: ShareNode, vm: str, requests: list[ShareRequest], at: float
    ) -> None:
        granter = self.nodes.get(vm)
        if granter is None or granter.cut_off != node.cut_off:
            return
        found = [
            granter.granter.answer(node.id, request, now=self.now)
            for request in requests
        ]
        grants = [one for one in found if one is not None]
        if granter is node:
            node.holder.apply(grants, sent_at=at)
        else:
            self._deliver(node, lambda: self._apply(node, grants, at))

    def _apply(self, node: ShareNode, grants: list, at: float) -> None:
        if self._is_up(node):
            node.holder.apply(grants, sent_at=at)

    def _deliver(self, node: ShareNode, action: Callable[[], None]) -> None:
        if not node.cut_off and self._random.random() >= self._loss:
            self._schedule(self._random.uniform(0, self._delay_s), action)

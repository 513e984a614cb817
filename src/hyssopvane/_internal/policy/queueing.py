"""Order waiting requests by priority, then fairly by customer."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

# Share of the served tokens that lower priorities earn while they are passed over.
# Under strict priority, urgent work that saturates the targets would make low
# priorities wait forever without notice to their callers. With a tenth, urgent work
# loses a tenth at most, and every waiting request is eventually served.
LOWER_PRIORITY_SHARE = 0.1

# Requests with at least this many tokens go to the lane of long requests. In a single
# lane a record check of a few hundred tokens would wait for all long drafts of the same
# customer before it. Two lanes that get equal tokens let it pass, and long requests
# still progress: each is served after about its own tokens of short work. 2,000 tokens
# lie between a check and a draft with its sources.
LONG_REQUEST_TOKENS = 2_000


@dataclass(frozen=True, slots=True)
class QueuedItem:
    """Describe a waiting request."""

    request_id: str
    customer: str
    priority: int
    tokens: int
    deadline: float
    arrived_at: float


@dataclass(slots=True)
class _Lane:
    """Hold the short or long requests of one flow, in order of arrival."""

    items: OrderedDict[str, QueuedItem] = field(default_factory=OrderedDict)
    tokens: int = 0
    served: float = 0.0

    @property
    def next_finish(self) -> float:
        """Return the tokens served by this lane once its next request is served."""
        return self.served + next(iter(self.items.values())).tokens


class Flow:
    """Hold the waiting requests of one customer in one priority class."""

    __slots__ = ("customer", "entry", "lanes", "start", "tokens", "weight")

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.weight = 1.0
        self.lanes = (_Lane(), _Lane())
        self.tokens = 0
        self.start = 0.0
        self.entry = 0

    @property
    def size(self) -> int:
        """Return the number of waiting requests."""
        return len(self.lanes[0].items) + len(self.lanes[1].items)

    def get_lane(self, tokens: int) -> _Lane:
        """Return the lane for a request of this many tokens."""
        return self.lanes[tokens >= LONG_REQUEST_TOKENS]

    def choose_lane(self) -> _Lane:
        """Return the lane that is served next."""
        short, long = self.lanes
        if not (short.items and long.items):
            return short if short.items else long
        return short if short.next_finish <= long.next_finish else long

    def count_ahead(self, tokens: int) -> int:
        """Return the tokens of this flow that are served before a new request."""
        lane = self.get_lane(tokens)
        return lane.tokens + min(lane.tokens, self.tokens - lane.tokens)

    def add(self, item: QueuedItem) -> None:
        """Append a request to its lane."""
        lane = self.get_lane(item.tokens)
        if not lane.items:
            # A lane that was empty must not have accumulated a claim on the other one.
            other = self.lanes[lane is self.lanes[0]]
            if other.items:
                lane.served = max(lane.served, other.served)
        lane.items[item.request_id] = item
        lane.tokens += item.tokens
        self.tokens += item.tokens

    def remove(self, item: QueuedItem) -> None:
        """Remove a request from its lane."""
        lane = self.get_lane(item.tokens)
        del lane.items[item.request_id]
        lane.tokens -= item.tokens
        self.tokens -= item.tokens

    def find_newest(self) -> QueuedItem:
        """Return the request that arrived last."""
        lasts = (
            next(reversed(lane.items.values())) for lane in self.lanes if lane.items
        )
        return max(lasts, key=lambda item: item.arrived_at)


class PriorityClass:
    """Order the flows of one priority by start-time fair queueing.

    Each flow has a virtual start time. The flow with the least is served, and its start
    time then advances by tokens / weight. A flow that was idle starts at the current
    virtual time: it can't accumulate service, nor is it penalized for what it got while
    no other flow waited. Where `add` is told to, it may use one turn that it missed.
    """

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}
        self.tokens = 0
        self.weight = 0.0
        """Sum over the flows with waiting requests."""
        self.credit = 0.0
        self._virtual = 0.0
        self._turn_tokens = 0
        """Tokens of the request that was served last."""
        self._heap: list[tuple[float, int, Flow]] = []
        self._sequence = count(1)

    def add(self, item: QueuedItem, weight: float, *, keeps_turn: bool = False) -> None:
        """Append a request to its customer's flow.

        With `keeps_turn`, a flow that was idle may start up to one request behind the
        virtual time. The limit is the smaller of its own request and the last one that
        was served, so that a large request that is withdrawn leaves no claim.
        """
        flow = self.flows.get(item.customer)
        if flow is None:
            flow = self.flows[item.customer] = Flow(item.customer)
        if not flow.tokens:
            flow.weight = weight
            missed = min(item.tokens, self._turn_tokens) if keeps_turn else 0
            flow.start = max(flow.start, self._virtual - missed / weight)
            self.weight += weight
            self._push(flow)
        flow.add(item)
        self.tokens += item.tokens

    def remove(self, item: QueuedItem) -> None:
        """Remove a request without serving it."""
        flow = self.flows[item.customer]
        flow.remove(item)
        self.tokens -= item.tokens
        if not flow.tokens:
            self._deactivate(flow)

    def peek(self) -> QueuedItem:
        """Return the request that is served next."""
        return next(iter(self._get_next_flow().choose_lane().items.values()))

    def serve(self, item: QueuedItem) -> None:
        """Remove a request and charge its customer for it."""
        flow = self.flows[item.customer]
        lane = flow.get_lane(item.tokens)
        self._virtual = max(self._virtual, flow.start)
        flow.start += item.tokens / flow.weight
        self._turn_tokens = item.tokens
        lane.served += item.tokens
        flow.remove(item)
        self.tokens -= item.tokens
        if flow.tokens:
            self._push(flow)
        else:
            self._deactivate(flow)

    def count_own_ahead(self, customer: str, tokens: int) -> int:
        """Return the customer's own tokens that are served before a new request."""
        flow = self.flows.get(customer)
        return flow.count_ahead(tokens) if flow is not None else 0

    def _push(self, flow: Flow) -> None:
        flow.entry = next(self._sequence)
        heapq.heappush(self._heap, (flow.start, flow.entry, flow))

    def _deactivate(self, flow: Flow) -> None:
        flow.entry = 0
        self.weight -= flow.weight
        if not self.tokens:
            self.weight = 0.0
            self._heap.clear()

    def _get_next_flow(self) -> Flow:
        # Stale heap entries of flows that emptied or advanced are dropped here, so that
        # removing a request needs no search of the heap.
        while self._heap[0][1] != self._heap[0][2].entry:
            heapq.heappop(self._heap)
        return self._heap[0][2]


class FairQueue:
    """Queue the requests for one service at one entry."""

    def __init__(self) -> None:
        self.classes: dict[int, PriorityClass] = {}
        self.tokens = 0
        self.changes = 0
        """Number of requests that were added or taken out."""
        self.keeps_turns = False
        """Whether a customer may use one turn that it missed as nothing of it waited.

        Of many entries, each has most customers' requests one at a time, with pauses. A
        customer with something waiting everywhere would take all the turns that the
        others miss for a moment, and get up to half as much again as its fair share.
        """
        self._items: dict[str, QueuedItem] = {}
        self._order: list[int] = []

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items

    def add(self, item: QueuedItem, *, weight: float) -> None:
        """Append a request.

        The weight applies as long as the customer has waiting requests in its priority
        class.
        """
        if item.priority not in self.classes:
            self.classes[item.priority] = PriorityClass()
            self._order = sorted(self.classes)
        self.classes[item.priority].add(item, weight, keeps_turn=self.keeps_turns)
        self._items[item.request_id] = item
        self.tokens += item.tokens
        self.changes += 1

    def restore(self, item: QueuedItem, *, weight: float) -> None:
        """Put a removed request back before all others of its customer's lane."""
        self.add(item, weight=weight)
        flow = self.classes[item.priority].flows[item.customer]
        flow.get_lane(item.tokens).items.move_to_end(item.request_id, last=False)

    def remove(self, request_id: str) -> QueuedItem | None:
        """Remove and return a cancelled or refused request; None if it isn't queued."""
        item = self._items.pop(request_id, None)
        if item is not None:
            self.changes += 1
            self.tokens -= item.tokens
            one = self.classes[item.priority]
            one.remove(item)
            if not one.tokens:
                one.credit = self._limit_idle_credit(one.credit)
        return item

    def peek(self) -> QueuedItem | None:
        """Return the request that is served next."""
        chosen = self._choose_class()
        return None if chosen is None else self.classes[chosen].peek()

    def pop(self) -> QueuedItem:
        """Serve the next request."""
        item = self.peek()
        assert item is not None
        self.serve(item.request_id)
        return item

    def find_next(self, is_allowed: Callable[[int], bool]) -> QueuedItem | None:
        """Return the request that is served next among those of allowed priorities."""
        chosen = self._choose_class(is_allowed)
        return None if chosen is None else self.classes[chosen].peek()

    def serve(self, request_id: str) -> None:
        """Serve a queued request, whatever its place in the order."""
        item = self._items.pop(request_id)
        self.changes += 1
        self.tokens -= item.tokens
        self.classes[item.priority].serve(item)
        self._update_credit(item.priority, item.tokens)

    def get_class(self, priority: int) -> PriorityClass | None:
        """Return a priority class, or None if it was never used."""
        return self.classes.get(priority)

    def count_ahead(self, customer: str, *, priority: int, tokens: int) -> int:
        """Return the queued tokens that are served before a new request.

        In its own class, only its customer's tokens count; those of others are
        accounted for in the rate that the customer can expect. A wait predicted from
        the whole queue would refuse the other customers when one floods it.
        """
        ahead = 0
        for number in self._order:
            if number > priority:
                break
            one = self.classes[number]
            if number < priority:
                ahead += one.tokens
            else:
                ahead += one.count_own_ahead(customer, tokens)
        return ahead

    def iterate_flows(self) -> Iterator[tuple[int, PriorityClass, Flow]]:
        """Yield each flow with waiting requests, the most urgent class first."""
        for number in self._order:
            one = self.classes[number]
            for flow in list(one.flows.values()):
                if flow.tokens:
                    yield number, one, flow

    def predict_waits(self) -> Iterator[tuple[QueuedItem, int]]:
        """Yield each waiting request with the queued tokens before it.

        Requests that the caller removes during the iteration don't count for later
        ones.
        """
        above = 0
        for number in self._order:
            one = self.classes[number]
            for flow in list(one.flows.values()):
                for lane in flow.lanes:
                    yield from _predict_lane(flow, lane, above)
            above += one.tokens

    def is_above_share(
        self, newcomer: QueuedItem, *, weight: float, limit: float, in_tokens: bool
    ) -> bool:
        """Return whether a customer would exceed its share of the queue."""
        total_weight = sum(one.weight for one in self.classes.values())
        own = self._find_flow(newcomer)
        amount = newcomer.tokens if in_tokens else 1
        if own is None:
            total_weight += weight
        else:
            amount += own.tokens if in_tokens else own.size
            weight = own.weight
        return amount > limit * weight / total_weight

    def choose_victim(
        self, newcomer: QueuedItem, *, weight: float, limit: int, in_tokens: bool
    ) -> QueuedItem:
        """Return the request to drop from a full queue: the newcomer or a waiting one.

        When one customer fills the queue, refusing the newcomer would mostly hit the
        other customers, who arrive at their usual rate. So a customer above its share
        of the queue loses its newest request; of several such customers, the one of the
        lowest priority, then the one furthest above its share. The newest request has
        waited least and can be retried soonest.
        """
        total_weight = sum(one.weight for one in self.classes.values())
        own = self._find_flow(newcomer)
        if own is None:
            total_weight += weight
        worst = (0, 0.0)
        victim: Flow | None = None
        for priority, _, flow in self.iterate_flows():
            amount = flow.tokens if in_tokens else flow.size
            if flow is own:
                amount += newcomer.tokens if in_tokens else 1
            excess = amount / flow.weight - limit / total_weight
            if excess > 0 and (priority, excess) > worst:
                worst = (priority, excess)
                victim = flow
        if victim is None or victim is own:
            return newcomer
        return victim.find_newest()

    def _find_flow(self, item: QueuedItem) -> Flow | None:
        one = self.classes.get(item.priority)
        flow = one.flows.get(item.customer) if one else None
        return flow if flow is not None and flow.tokens else None

    def _choose_class(
        self, is_allowed: Callable[[int], bool] = lambda priority: True
    ) -> int | None:
        first: int | None = None
        for number in self._order:
            one = self.classes[number]
            if not one.tokens or not is_allowed(number):
                continue
            if first is None:
                first = number
            elif one.credit >= one.peek().tokens:
                return number
        return first

    def _update_credit(self, served: int, tokens: int) -> None:
        passed = [number for number in self._order if self.classes[number].tokens]
        lower = [number for number in passed if number > served]
        for number in lower:
            self.classes[number].credit += tokens * LOWER_PRIORITY_SHARE / len(lower)
        one = self.classes[served]
        one.credit = max(0.0, one.credit - tokens)
        if not one.tokens:
            one.credit = self._limit_idle_credit(one.credit)

    def _limit_idle_credit(self, credit: float) -> float:
        """Return the credit that a class keeps while nothing waits in it.

        An emptied class is no longer passed over, so it loses its credit. Where turns
        are kept, requests that leave unserved are the reason, and their callers may
        come back: the class keeps what one long request takes.
        """
        return min(credit, LONG_REQUEST_TOKENS) if self.keeps_turns else 0.0


def _predict_lane(
    flow: Flow, lane: _Lane, above: int
) -> Iterator[tuple[QueuedItem, int]]:
    before = 0
    other = flow.tokens - lane.tokens
    for item in list(lane.items.values()):
        yield item, above + before + min(before, other)
        if item.request_id in lane.items:
            before += item.tokens

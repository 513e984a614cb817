"""Test over random interleavings that a key runs at most once, with true refusals."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hyssopvane._internal.models.refusals import (
    AgentRefusal,
    Outcome,
    Refusal,
    RefusalReason,
)
from hyssopvane._internal.policy.keyed_request import (
    Join,
    KeyedRequest,
    Place,
    ReadClaim,
    Refuse,
    Send,
    Write,
)
from hyssopvane._internal.protocol.idempotency import IdempotencyKey, check_key
from hyssopvane._internal.state.attempts import AttemptRegister, CustomerKey
from hyssopvane._internal.state.claims import ClaimPage, make_claim_key

WINDOW_S = 600.0
CREATED_AT = 1_000_000.0
KEY = IdempotencyKey("key", CREATED_AT)
CLAIM_KEY = make_claim_key("bidders", KEY.text, CREATED_AT)
OWNER = CustomerKey("bidders", KEY.text, CREATED_AT, WINDOW_S)
AGENTS = ("lots-1", "lots-2")
HOWS = ["done"] * 6 + ["cached", "reply lost", "late", "down"]
ACCEPTED = ["run", "run", "later", "unreachable", "body cut"]
DISTURBANCES = [
    *["kill entry", "lose connection", "restart agent", "restart agent"],
    *["restart agent", "land late write", "sweep", 570.0, 620.0],
]
WHICH = st.integers(0, 5)
CLOCKS = {"lots-1": -20.0, "lots-2": 20.0}


@dataclass(eq=False)
class Request:
    """Hold one submission of the key through one entry."""

    body: int
    flow: KeyedRequest
    step: object
    waits: bool = False
    final_refusal: Refusal | None = None
    answer: int | None = None


@dataclass(eq=False)
class Frame:
    """Hold an opening message in flight to an agent."""

    request: Request
    step: Send | Join


@dataclass(eq=False)
class Agent:
    """Hold the state of an agent in one incarnation."""

    register: AttemptRegister
    bodies: dict[int, int] = field(default_factory=dict)
    accepted: dict[int, Request] = field(default_factory=dict)
    ran: set[int] = field(default_factory=set)


class KeyedRequests(RuleBasedStateMachine):
    """Send one key through several entries under random faults."""

    def __init__(self):
        super().__init__()
        self.now = CREATED_AT
        self.incarnation = 0
        self.agents = {}
        for name in AGENTS:
            self.restart(name)
        self.versions = [ClaimPage()]
        self.late = []
        self.deleted = False
        self.runs = 0
        self.bodies_run = set()
        self.reported_not_run = False
        self.attempts = 0
        self.requests = []
        self.frames = []

    # The caller.

    @initialize(looks=st.lists(st.booleans(), min_size=2, max_size=2))
    def begin(self, looks):
        for look in looks:
            self.arrive(0, look)

    @rule(body=st.sampled_from([0, 0, 0, 1]), look=st.booleans())
    def arrive(self, body, look):
        refusal = check_key(KEY, required=True, window_s=WINDOW_S, now=self.now)
        if refusal is not None:
            assert refusal.outcome is Outcome.UNKNOWN
            return
        flow = KeyedRequest(CLAIM_KEY, body)
        self.requests.append(Request(body, flow, flow.begin(look=look)))

    # Faults.

    @rule(which=WHICH, what=st.sampled_from(DISTURBANCES))
    def disturb(self, which, what):
        waiting = [one for one in self.requests if one.waits]
        if what == "kill entry" and self.requests:
            # Messages that the entry sent stay in flight.
            self.requests.pop(which % len(self.requests))
        elif what == "lose connection" and waiting:
            request = waiting[which % len(waiting)]
            self.set_step(request, request.flow.handle_lost_connection())
        elif what == "restart agent":
            self.restart(AGENTS[which % len(AGENTS)])
        elif what == "land late write" and self.late:
            change = self.late.pop()
            if not self.deleted:
                self.apply(change)
        elif what == "sweep" and self.now > CREATED_AT + WINDOW_S:
            self.deleted = True
            self.versions.append(ClaimPage())
        elif isinstance(what, float):
            self.pass_time(what)

    def pass_time(self, seconds):
        self.now += seconds
        for name, agent in self.agents.items():
            for attempt in agent.register.expire(now=self.get_time(name)):
                number = int.from_bytes(attempt)
                agent.bodies.pop(number, None)
                agent.accepted.pop(number, None)
                agent.ran.discard(number)

    # The entry and the key-value service.

    @precondition(lambda self: self.find_active())
    @rule(
        which=WHICH,
        agent=st.sampled_from(AGENTS),
        refuse=st.sampled_from([None, None, None, None, 1.0, 0.0]),
        hows=st.lists(st.sampled_from(HOWS), min_size=1, max_size=4),
        stale=st.integers(0, 2),
    )
    def advance(self, which, agent, refuse, hows, stale):
        """Take the next steps of a request that is not waiting for a reply."""
        active = self.find_active()
        request = active[which % len(active)]
        for how in hows:
            if isinstance(request.step, ReadClaim):
                self.look(request, how, stale)
            elif isinstance(request.step, Place):
                self.place(request, agent, refuse)
            elif isinstance(request.step, Write):
                self.write(request, request.step.change, how, stale)
            elif isinstance(request.step, Send | Join) and not request.waits:
                self.send(request, how)

    def look(self, request, how, stale):
        if how == "down":
            self.set_step(request, request.flow.handle_write_failure("out"))
        else:
            self.set_step(request, request.flow.handle_claim(self.read(stale)))

    def place(self, request, agent, refuse):
        self.attempts += 1
        if refuse is None:
            incarnation = self.agents[agent].register.incarnation
            step = request.flow.handle_target(agent, incarnation, self.attempts)
        else:
            reason = RefusalReason.QUEUE_FULL
            refusal = Refusal(reason, Outcome.NOT_RUN, refuse or None)
            step = request.flow.handle_no_target(refusal, attempt=self.attempts)
        self.set_step(request, step)

    def write(self, request, change, how, stale):
        if how == "late":
            self.late.append(change)
        elif how in {"done", "reply lost"}:
            if self.deleted:
                self.end(request, Refusal(RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN))
                return
            self.apply(change)
        if how == "done":
            self.set_step(request, request.flow.handle_written(self.read(0)))
        elif how == "cached":
            # A writer that finds its change applied, or superseded, in its cached page
            # writes nothing.
            page = self.versions[max(0, len(self.versions) - 1 - stale)]
            if page.apply([change]) == page:
                claim = page.claims.get(CLAIM_KEY.key_hash)
                self.set_step(request, request.flow.handle_written(claim))
        else:
            self.set_step(request, request.flow.handle_write_failure("unknown"))

    def send(self, request, how):
        if how == "down":
            self.refuse(request, request.step, AgentRefusal.NOT_CONNECTED)
        else:
            request.waits = True
            self.frames.append(Frame(request, request.step))

    # The agent.

    def restart(self, name):
        self.incarnation += 1
        self.agents[name] = Agent(AttemptRegister(self.incarnation))

    @precondition(lambda self: self.frames)
    @rule(which=WHICH, keep=st.booleans(), how=st.sampled_from(ACCEPTED))
    def deliver(self, which, keep, how):
        """Deliver a frame, in any order and possibly again later."""
        frame = self.frames[which % len(self.frames)]
        if not keep:
            self.frames.remove(frame)
        claim = frame.step.claim
        agent = self.agents[claim.target]
        if isinstance(frame.step, Send):
            refusal = self.accept(agent, frame)
        else:
            refusal = self.join(agent, frame)
        if refusal is not None and self.is_current(frame):
            self.refuse(frame.request, frame.step, refusal)
        if how != "later":
            self.go_on_with_accepted(claim.target, how)

    def accept(self, agent, frame):
        claim = frame.step.claim
        refusal = agent.register.accept(
            to_bytes(claim.attempt),
            incarnation=claim.incarnation,
            owner=OWNER,
            now=self.get_time(claim.target),
        )
        if refusal is None:
            agent.accepted[claim.attempt] = frame.request
            agent.bodies[claim.attempt] = frame.request.body
        return refusal

    def join(self, agent, frame):
        claim = frame.step.claim
        if claim.incarnation != agent.register.incarnation:
            return AgentRefusal.WRONG_INCARNATION
        if claim.attempt in agent.ran:
            if self.is_current(frame):
                self.answer(frame.request, agent.bodies[claim.attempt])
            return None
        if claim.attempt in agent.accepted:
            return None
        return agent.register.add_tombstone(
            to_bytes(claim.attempt), owner=OWNER, now=self.get_time(claim.target)
        )

    @precondition(lambda self: any(a.accepted for a in self.agents.values()))
    @rule(name=st.sampled_from(AGENTS), how=st.sampled_from(ACCEPTED))
    def go_on_with_accepted(self, name, how):
        agent = self.agents[name]
        if not agent.accepted:
            return
        attempt, request = agent.accepted.popitem()
        if how == "body cut":
            agent.register.add_tombstone(
                to_bytes(attempt), owner=OWNER, now=self.get_time(name)
            )
        elif agent.register.start(to_bytes(attempt)):
            if how == "unreachable":
                agent.register.revert_start(to_bytes(attempt))
                step = request.step
                if self.waits_for(request, attempt):
                    reason = AgentRefusal.TARGET_UNREACHABLE
                    self.refuse(request, step, reason)
                return
            agent.ran.add(attempt)
            self.runs += 1
            self.bodies_run.add(agent.bodies[attempt])
            if self.waits_for(request, attempt):
                self.answer(request, agent.bodies[attempt])

    # Invariants.

    @invariant()
    def key_runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def outcome_not_run_holds(self):
        assert not (self.reported_not_run and self.runs)

    # Helpers.

    def find_active(self):
        return [one for one in self.requests if one.step is not None and not one.waits]

    def get_time(self, name):
        return self.now + CLOCKS[name]

    def read(self, stale):
        page = self.versions[max(0, len(self.versions) - 1 - stale)]
        return page.claims.get(CLAIM_KEY.key_hash)

    def apply(self, change):
        self.versions.append(self.versions[-1].apply([change]))

    def is_current(self, frame):
        return frame.request.waits and frame.request.step is frame.step

    def waits_for(self, request, attempt):
        return (
            request.waits
            and isinstance(request.step, Send)
            and request.step.claim.attempt == attempt
        )

    def refuse(self, request, step, reason):
        joined = isinstance(step, Join)
        self.set_step(request, request.flow.handle_agent_refusal(reason, joined=joined))

    def answer(self, request, body):
        assert body == request.body, "a caller gets the answer to its own request"
        assert self.runs == 1
        request.step, request.waits, request.answer = None, False, body

    def set_step(self, request, step):
        request.waits = False
        request.step = step
        if isinstance(step, Refuse):
            self.end(request, step.refusal)

    def end(self, request, refusal):
        request.step, request.waits, request.final_refusal = None, False, refusal
        if refusal.outcome is Outcome.NOT_RUN:
            self.reported_not_run = True


def to_bytes(attempt):
    return attempt.to_bytes(8)


TestKeyedRequests = KeyedRequests.TestCase
TestKeyedRequests.settings = settings(
    derandomize=True, max_examples=600, stateful_step_count=40, deadline=None
)

"""Refuse work at an agent that leaves or whose target has asked for back-off."""

import math

import trio

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol.headers import index_headers, read_backoff_s
from hyssopvane._internal.protocol.messages import Refused
from hyssopvane._internal.transport.target_client import TargetAnswer
from hyssopvane._internal.utils.logs import log_event

_MILLISECONDS = 1_000


def observe_backoff(backoff: TargetBackoff, response: TargetAnswer) -> None:
    """Record the back-off that an answer of the target asks for with Retry-After."""
    try:
        backoff_s = read_backoff_s(response.status, index_headers(response.headers))
    except ProtocolError as error:
        log_event("warning", "rest-unreadable", why=error)
        return
    if backoff_s is not None and backoff.record(backoff_s, now=trio.current_time()):
        log_event("info", "target-resting", rest_s=backoff_s)


def find_refusal(backoff: TargetBackoff, *, leaving: bool) -> AgentRefusal | None:
    """Return why an agent accepts no new work now; None if it does."""
    if leaving:
        return AgentRefusal.LEAVING
    if backoff.measure_remaining_s(trio.current_time()):
        return AgentRefusal.TARGET_FULL
    return None


def make_refused(refusal: AgentRefusal, backoff: TargetBackoff) -> Refused:
    """Return the message of a refusal; a target in back-off adds its remaining time."""
    if refusal is not AgentRefusal.TARGET_FULL:
        return Refused(refusal.value)
    remaining_s = backoff.measure_remaining_s(trio.current_time())
    return Refused(refusal.value, math.ceil(remaining_s * _MILLISECONDS))

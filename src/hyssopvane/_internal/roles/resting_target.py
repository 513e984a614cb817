"""Refuse work at an agent whose target leaves or has asked for rest."""

import math

import httpcore
import trio

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol.headers import index_headers, read_backoff_s
from hyssopvane._internal.protocol.messages import Refused
from hyssopvane._internal.utils.logs import log_event

_MILLISECONDS = 1_000


def observe_rest(rest: TargetBackoff, response: httpcore.Response) -> None:
    """Take what an answer of the target says of when to come back."""
    try:
        rest_s = read_backoff_s(response.status, index_headers(response.headers))
    except ProtocolError as error:
        log_event("warning", "rest-unreadable", why=error)
        return
    if rest_s is not None and rest.note(rest_s, now=trio.current_time()):
        log_event("info", "target-resting", rest_s=rest_s)


def find_refusal(rest: TargetBackoff, *, leaving: bool) -> AgentRefusal | None:
    """Return why an agent takes no new work now, None where it does."""
    if leaving:
        return AgentRefusal.LEAVING
    if rest.measure_remaining_s(trio.current_time()):
        return AgentRefusal.TARGET_FULL
    return None


def make_refused(refusal: AgentRefusal, rest: TargetBackoff) -> Refused:
    """Return the message of a refusal, with the time that a resting target asks for."""
    if refusal is not AgentRefusal.TARGET_FULL:
        return Refused(refusal.value)
    left_s = rest.measure_remaining_s(trio.current_time())
    return Refused(refusal.value, math.ceil(left_s * _MILLISECONDS))

"""Record what the answers to one request report of the state of its replicas."""

import trio

from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.headers import read_backoff_s
from hyssopvane._internal.protocol.replica_headers import (
    indicates_leaving,
    read_cold_left_s,
    read_request_limit,
)
from hyssopvane._internal.roles.direct_request import CallDependencies, DirectRequest
from hyssopvane._internal.state.routing import Replica
from hyssopvane._internal.transport.replica_client import AnswerHead
from hyssopvane._internal.utils.logs import log_event

MISDIRECTED = 421
"""Status of an answer from another replica than the one that was asked."""


class ReplicaReports:
    """Record the state that answers to a request report of their replicas."""

    def __init__(self, request: DirectRequest, dependencies: CallDependencies) -> None:
        self._request = request
        self._dependencies = dependencies

    def record_late(self, replica: Replica, head: AnswerHead) -> None:
        # The state that a replica reports in an answer is valid even if the caller has
        # left in the meantime.
        echoed = head.fields.get(self._dependencies.names.request_id, b"")
        if echoed.decode("latin1") == self._request.request_id:
            self.record(replica, head)

    def record(self, replica: Replica, response: AnswerHead) -> None:
        """Record limit, back-off, cold time and leaving that an answer reports."""
        if response.status == MISDIRECTED:
            # The address now belongs to another replica.
            return
        self._record_limit(replica, response)
        self._record_backoff(replica, response)
        self._record_cold(replica, response)
        if indicates_leaving(response.fields, self._dependencies.names):
            self._dependencies.gates.observe_leaving(self._request.service, replica)

    def _record_limit(self, replica: Replica, response: AnswerHead) -> None:
        names = self._dependencies.names
        try:
            per_s = read_request_limit(response.fields, names)
        except ProtocolError as error:
            # The previous limit stays; the caller still gets its answer.
            self._dependencies.metrics.count_event("limit-unreadable")
            log_event("warning", "limit-unreadable", replica=replica.id, why=error)
            return
        if per_s is not None or names.signature in response.fields:
            self._dependencies.gates.observe_answer(
                self._request.service, replica, per_s
            )

    def _record_cold(self, replica: Replica, response: AnswerHead) -> None:
        try:
            left_s = read_cold_left_s(response.fields, self._dependencies.names)
        except ProtocolError as error:
            # The previous state stays; the caller still gets its answer.
            self._dependencies.metrics.count_event("cold-unreadable")
            log_event("warning", "cold-unreadable", replica=replica.id, why=error)
            return
        if left_s is not None:
            gate = self._dependencies.gates.get_gate(self._request.service)
            gate.cold.record_answer(replica, left_s, now=trio.current_time())

    def _record_backoff(self, replica: Replica, response: AnswerHead) -> None:
        try:
            backoff_s = read_backoff_s(response.status, response.fields)
        except ProtocolError as error:
            self._dependencies.metrics.count_event("rest-unreadable")
            log_event("warning", "rest-unreadable", replica=replica.id, why=error)
            return
        if backoff_s is not None:
            self._dependencies.gates.observe_backoff(
                self._request.service, replica, backoff_s
            )

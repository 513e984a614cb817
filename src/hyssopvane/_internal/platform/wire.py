"""Define the platform's headers and paths, and its format of routing data."""

from hyssopvane._internal.coordination.routing_feed import RoutingFormat
from hyssopvane._internal.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from hyssopvane._internal.platform.evacuations import (
    EVACUATIONS_PREFIX,
    OPERATIONS_PREFIX,
    decode_evacuation,
)
from hyssopvane._internal.platform.registrations import (
    REPLICAS_PREFIX,
    decode_replica,
)
from hyssopvane._internal.protocol.replica_headers import ReplicaHeaders
from hyssopvane._internal.state.routing import Replica, RoutingTable

READY_PATH = "/api/ready"

HEADERS = ReplicaHeaders(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    customer=b"x-tenant",
    expected_replica=b"x-expect-instance",
    not_executed=b"x-not-executed",
    signature=b"x-response-signature",
    failed_replica=b"at-server",
    resume_after=b"last-event-id",
    token_counts=b"x-token-count",
    prompt_parts=b"x-prompt-prefix",
    length_hint=b"x-length-hint",
    priority=b"x-request-priority",
    request_limit=b"server-limit",
    leaving=b"server-leaving",
    cold_left=b"x-cold-ms",
)


class PlatformFormat(RoutingFormat):
    """Decode the configuration and the registrations in the platform's format."""

    configuration_key = CONFIGURATION_KEY
    replicas_prefix = REPLICAS_PREFIX
    operations_prefix = OPERATIONS_PREFIX
    evacuations_prefix = EVACUATIONS_PREFIX

    def decode_configuration(self, value: bytes) -> RoutingTable:
        return decode_configuration(value)

    def decode_replica(self, key: str, value: bytes) -> Replica:
        return decode_replica(key, value)

    def decode_evacuation(self, key: str, value: bytes) -> str:
        return decode_evacuation(key, value)

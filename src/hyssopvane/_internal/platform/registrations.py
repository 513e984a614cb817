"""Decode the registrations that replicas write to the store."""

import re
from typing import Annotated, Literal

from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.models.lean_models import Field
from hyssopvane._internal.platform.documents import (
    Count,
    Document,
    Name,
    read_document,
)
from hyssopvane._internal.state.routing import Replica

REPLICAS_PREFIX = "servers/"

MAX_SLOTS = 65_535
"""Largest accepted number of concurrent requests, a 16-bit field in messages."""

MAX_REGISTRATION_BYTES = 65_536
"""Largest registration that is decoded.

Real ones have some 300 bytes, and each process reads all of them at each start.
"""

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
"""Ids are forwarded in a header, where a line break would begin another header."""

_OCTET = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
Address = Annotated[str, Field(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:[1-9]\d{{0,4}}$")]

_MAX_PORT = 65_535
_HINT = "the replica is ignored until it registers again"


class Registration(Document):
    """Represent the registration document of a replica."""

    service: Name
    address: Address
    zone: Name
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # The replica's start by its own clock, in ms. Not all deployments send it. Anything
    # but a whole number makes the registration invalid.
    born: Count = 0


def decode_replica(key: str, value: bytes) -> Replica:
    """Return the replica of a registration; raise `ConfigurationError`."""
    replica_id = key.removeprefix(REPLICAS_PREFIX)
    if not _ID.fullmatch(replica_id):
        raise ConfigurationError(
            "the id of a replica may contain only letters, digits and . _ : -",
            context=repr(key[:200]),
            hint=_HINT,
        )
    if len(value) > MAX_REGISTRATION_BYTES:
        raise ConfigurationError(
            f"the registration has {len(value)} bytes", context=key, hint=_HINT
        )
    registration = read_document(Registration, value, context=key, hint=_HINT)
    if int(registration.address.rpartition(":")[2]) > _MAX_PORT:
        raise ConfigurationError(
            f"the port is out of range: {registration.address}", context=key, hint=_HINT
        )
    return Replica(
        id=replica_id,
        service=registration.service,
        address=registration.address,
        availability_zone=registration.zone,
        slots=registration.slots,
        draining=registration.state == "draining",
        started_ms=registration.born,
    )

"""Decode the evacuations of availability zones that operators write to the store."""

import re

from hyssopvane._internal.exceptions import ConfigurationError
from hyssopvane._internal.platform.documents import Document, read_document

OPERATIONS_PREFIX = "op/"
"""Prefix of all keys that operators write; most of them are of no concern here."""

EVACUATIONS_PREFIX = "op/evacuate/"

MAX_EVACUATION_BYTES = 65_536
"""Largest value that is decoded; entries send it to each other."""

_ZONE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_HINT = "write an empty JSON object under the name of the zone, or remove the key"


class Evacuation(Document):
    """Represent the value of an evacuation, which has no fields at present."""


def decode_evacuation(key: str, value: bytes) -> str:
    """Return the availability zone of a key; raise `ConfigurationError`."""
    zone = key.removeprefix(EVACUATIONS_PREFIX)
    if not _ZONE.fullmatch(zone):
        raise ConfigurationError(
            "the name of a zone may contain only letters, digits and . _ : -",
            context=repr(key[:200]),
            hint=_HINT,
        )
    if len(value) > MAX_EVACUATION_BYTES:
        raise ConfigurationError(
            f"the evacuation has {len(value)} bytes", context=key, hint=_HINT
        )
    read_document(Evacuation, value, context=key, hint=_HINT)
    return zone

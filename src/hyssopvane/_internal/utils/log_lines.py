"""Parse the log lines that `utils.logs` writes."""

import json
from collections.abc import Iterable, Iterator, Mapping

_START = "time="
_JSON = json.JSONDecoder()


def parse_line(line: str) -> Mapping[str, str] | None:
    """Return the fields of a line, or None if it has another format.

    A log collector may have added a prefix, which is ignored.
    """
    at = line.find(_START)
    if at < 0:
        return None
    remaining = line[at:].rstrip("\n")
    fields: dict[str, str] = {}
    while remaining:
        name, separator, remaining = remaining.partition("=")
        if not separator or not name:
            return None
        if remaining.startswith('"'):
            try:
                value, end = _JSON.raw_decode(remaining)
            except ValueError:
                return None
            fields[name] = str(value)
            remaining = remaining[end:].removeprefix(" ")
        else:
            fields[name], _, remaining = remaining.partition(" ")
    return fields if "event" in fields else None


def find_request_lines(
    lines: Iterable[str], request_id: str
) -> Iterator[Mapping[str, str]]:
    """Yield the lines of one request from all processes, ordered by time."""
    matching = [
        fields
        for line in lines
        if (fields := parse_line(line)) is not None
        and fields.get("request") == request_id
    ]
    yield from sorted(matching, key=lambda fields: fields["time"])

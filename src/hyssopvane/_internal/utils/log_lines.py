"""Read the log lines that `utils.logs` writes."""

import json
from collections.abc import Iterable, Iterator, Mapping

_START = "time="
_JSON = json.JSONDecoder()


def parse_line(line: str) -> Mapping[str, str] | None:
    """Return the fields of a line, or None when it is none of ours.

    Whoever collects the logs may have put something before the line.
    """
    at = line.find(_START)
    if at < 0:
        return None
    remaining = line[at:].rstrip("\n")
    fields: dict[str, str] = {}
    while remaining:
        name, found, remaining = remaining.partition("=")
        if not found or not name:
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
    """Yield the lines on one request, of all processes, in order of their times."""
    found = [
        fields
        for line in lines
        if (fields := parse_line(line)) is not None
        and fields.get("request") == request_id
    ]
    yield from sorted(found, key=lambda fields: fields["time"])

"""Write logs with one line of key=value pairs for each event."""

import json
import sys
from collections.abc import Callable
from typing import Any

from loguru import logger

from hyssopvane._internal.utils.log_sink import LogSink

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,@%"
)


def configure_logs(
    *, level: str, role: str, vm: str, write: Callable[[str], None] | None = None
) -> None:
    """Write all events to standard error or `write`, with the process's role and VM."""
    logger.remove()
    logger.configure(extra={"role": role, "vm": vm})
    logger.add(
        sys.stderr if write is None else write,
        level=level.upper(),
        format=_format_record,
        colorize=False,
    )


def configure_stdout_logs(*, level: str, role: str, vm: str) -> LogSink:
    """Write all events to standard output, without blocking on its reader."""
    sink = LogSink(sys.stdout.fileno())
    sink.start()
    configure_logs(level=level, role=role, vm=vm, write=sink.write)
    return sink


def log_event(level: str, event: str, **fields: object) -> None:
    """Log an event with its fields in the given order."""
    logger.opt(depth=1).bind(fields=fields).log(level.upper(), event)


def format_pairs(fields: dict[str, object]) -> str:
    """Join fields as key=value; a value with other characters is quoted as JSON."""
    return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if text and _UNQUOTED_CHARACTERS.issuperset(text) else json.dumps(text)


def _format_record(record: Any) -> str:
    extra = record["extra"]
    pairs = format_pairs(
        {
            "time": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f"),
            "level": record["level"].name.lower(),
            "role": extra.get("role", "-"),
            "vm": extra.get("vm", "-"),
            "event": record["message"],
            **extra.get("fields", {}),
        }
    )
    # loguru formats the returned text again, so braces and tags are escaped.
    escaped = pairs.replace("{", "{{").replace("}", "}}").replace("<", r"\<")
    return escaped + "\n{exception}"

"""Report from the logs of a run why requests were lost or late, by second."""

import argparse
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime

from hyssopvane._internal.utils.log_lines import parse_line

BEHIND_SKEW = 2.0
"""Skew of an expert set above which its map counts as behind the demand."""

_ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class GroupSample:
    """Hold the state that a group's leader logged at one time."""

    at: float
    phase: str
    skew: float


@dataclass(frozen=True, slots=True)
class Loss:
    """Hold the time and cause of one lost or late request."""

    at: float
    """Time at which the request was lost, or at which its longest pause ended."""
    cause: str
    large: bool
    """Whether the prompt is among the largest 10 percent."""


def read_losses(lines: Iterable[str]) -> tuple[list[Loss], int]:
    """Return the lost and late requests of a log, and its number of requests."""
    requests: list[Mapping[str, str]] = []
    groups: list[GroupSample] = []
    for line in lines:
        fields = parse_line(line)
        if fields is None:
            continue
        if fields["event"] == "request" and "placed_ms" in fields:
            requests.append(fields)
        elif fields["event"] == "group":
            groups.append(_read_group(fields))
    prompts = sorted(int(one["prompt"]) for one in requests if int(one["prompt"]))
    large = prompts[len(prompts) * 9 // 10] if prompts else 0
    losses = []
    for one in requests:
        cause, ago_ms = _classify(one)
        if cause is None:
            continue
        at = _read_time(one["time"]) - ago_ms / 1_000
        if cause == "pause":
            cause = f"pause, {_get_group_state(groups, at)}"
        is_large = bool(large) and int(one["prompt"]) >= large
        losses.append(Loss(at, cause, is_large))
    return losses, len(requests)


def _classify(fields: Mapping[str, str]) -> tuple[str | None, float]:
    """Return the cause of a loss, if any, and its milliseconds before the log line."""
    if fields["outcome"] != _ANSWERED:
        return fields["outcome"], 0.0
    total, first, placed = (
        float(fields[name]) for name in ("total_ms", "first_ms", "placed_ms")
    )
    objective, allowed = float(fields["objective_ms"]), float(fields["allowed_ms"])
    if first > objective:
        waited = placed > objective / 2
        return ("waited for a place" if waited else "waited at the replica"), 0.0
    if allowed > 0 and float(fields["pause_ms"]) > allowed:
        return "pause", total - float(fields["pause_at_ms"])
    return None, 0.0


def _get_group_state(groups: Sequence[GroupSample], at: float) -> str:
    """Return the state of a group at a time, from its leader's next log line."""
    later = [one for one in groups if at <= one.at < at + 1.5]
    if not later:
        return "no leader logged its state"
    sample = later[0]
    if sample.phase not in {"idle", "preparing"}:
        return f"change {sample.phase}"
    if sample.skew > BEHIND_SKEW:
        return "map behind the demand"
    return "copying" if sample.phase == "preparing" else "other"


def _read_group(fields: Mapping[str, str]) -> GroupSample:
    skews = [float(one) for one in fields["skews"].split(",") if one != "-"]
    return GroupSample(
        _read_time(fields["time"]), fields["phase"], max(skews, default=0.0)
    )


def _read_time(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def main(arguments: Sequence[str]) -> int:
    """Print the losses by cause and by second."""
    parser = argparse.ArgumentParser(prog="python -m bench losses")
    parser.add_argument("log", help="a file with the lines of all entries and agents")
    options = parser.parse_args(arguments)
    with open(options.log, encoding="utf-8", errors="replace") as log:
        losses, requests = read_losses(log)
    by_cause = Counter(one.cause for one in losses)
    large_by_cause = Counter(one.cause for one in losses if one.large)
    print(f"{requests} requests, {len(losses)} lost or late")
    for cause, count in by_cause.most_common():
        print(f"{count:6} ({large_by_cause[cause]:3} of the largest tenth)  {cause}")
    if not losses:
        return 0
    start = min(one.at for one in losses)
    seconds: dict[int, Counter[str]] = {}
    for one in losses:
        seconds.setdefault(int(one.at - start), Counter())[one.cause] += 1
    for second, causes in sorted(seconds.items()):
        summary = ", ".join(
            f"{count} {cause}" for cause, count in causes.most_common(4)
        )
        print(f"{second:4} s  {causes.total():4}  {summary}")
    return 0

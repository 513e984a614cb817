"""Provide a registration and a report in the platform's format."""

STARTED_MS = 1_700_000_000_000

REGISTRATION: dict[str, object] = {
    "service": "checks",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "slots": 6,
    "state": "ready",
    "seq": 4,
    "born": STARTED_MS,
}

REPORT: dict[str, object] = {
    "group": {"name": "g0-0", "epoch": 2, "rank": 8, "state": "open"},
    "size": 12,
    "busy": False,
    "seq": 3,
    "queued": 1,
    "active": 5,
    "kv-used": 900,
    "kv-total": 140_000,
    "pace": 1.5,
    "step": 91,
    "expert-map": 7,
    "prepared": {"version": 9},
    "armed": {"version": 9, "step": 95},
    "held": 95,
}

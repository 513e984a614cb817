"""Compare a recorded session with its golden file.

Set UPDATE_GOLDEN=1 to rewrite the files; review the difference before you commit it.
"""

import os
import re
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "golden"
# The order matters: later patterns would match digits within an id.
_NUMBERED = (
    (r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}", "id"),
    (r"127\.0\.0\.1:\d+", "address"),
)
_REPLACED = (
    (r"time=\S+ ", ""),
    (r"seconds=\S+", "seconds=<seconds>"),
    (r"incarnation=\d+", "incarnation=<number>"),
    (r'"at": [\d.]+', '"at": <time>'),
)


class Session:
    """Collect the answers and logs of a session in titled sections."""

    def __init__(self) -> None:
        self._sections: list[str] = []

    def add(self, title: str, text: str) -> None:
        """Append a section."""
        self._sections.append(f"== {title}\n{text.rstrip()}\n")

    def add_answer(self, title, answer) -> None:
        """Append a caller's answer without Date and Content-Length.

        The date varies, and so does the length of ids.
        """
        fields = sorted(
            f"{name}: {value}"
            for name, value in answer.headers.items()
            if name not in {"date", "content-length"}
        )
        body = answer.body.decode()
        self.add(title, "\n".join([str(answer.status), *fields, "", body]))

    def add_log(self, vm: str, lines, events) -> None:
        """Append the log lines of a process that have one of the events."""
        wanted = re.compile(rf" event=({'|'.join(events)})\b")
        self.add(f"log of {vm}", "\n".join(one for one in lines if wanted.search(one)))

    def render(self) -> str:
        """Return the session with normalised ids, addresses and times."""
        text = "\n".join(self._sections)
        for pattern, replacement in _REPLACED:
            text = re.sub(pattern, replacement, text)
        for pattern, kind in _NUMBERED:
            text = _number(text, pattern, kind)
        return text


def compare(name: str, session: Session) -> None:
    """Compare a session with its golden file, or rewrite the file."""
    path = FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.parent.mkdir(exist_ok=True)
        path.write_text(session.render())
    assert session.render() == path.read_text()


def _number(text: str, pattern: str, kind: str) -> str:
    """Replace each distinct value by a number of its own."""
    seen: dict[str, str] = {}
    return re.sub(
        pattern,
        lambda match: seen.setdefault(match[0], f"<{kind}-{len(seen) + 1}>"),
        text,
    )

"""Run two builds beside each other, to show that they work together.

By hand: python -m tests.mixed_builds --old /path/to/old --new /path/to/new

Both are checkouts with a virtual environment in .venv, where their processes run.
Stand-ins come from the old build; those of the direct path run in this process.
"""

import argparse
import hashlib
import json
import re
import signal
import sys
import tempfile
import time
from base64 import b64decode
from collections import defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from itertools import product
from pathlib import Path
from typing import Any

import trio
import uuid6

from tests.lib.commands import run_hyssopvane
from tests.lib.http import Response, request
from tests.lib.installation import KEY, OPERATOR, read_in_force
from tests.lib.processes import TOKEN, Cluster, Process
from tests.soak.callers import KINDS
from tests.soak.fleet import Fleet, Member
from tests.soak.run import Size, SoakRun

LIMIT_S, TOTAL_S = 90.0, 1_200  # of one wait, and of the whole run
POISON = "unreadable-ink"
CLERKS = f"customer,clerks,key_sha256,{hashlib.sha256(KEY.encode()).hexdigest()}"
WORDS = {"event", "reason", "outcome", "level"}
STORED = ("table/page/", "claims/page/", "maps/draft/", "quarantine/", "service/era")
METRIC = re.compile(r"^(?:# TYPE )?(\w+)([{ ].*)", re.MULTILINE)
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Build:
    """Hold a checkout, and what its processes have shown by role."""

    def __init__(self, name: str, checkout: Path, folder: Path) -> None:
        self.name, self.checkout = name, checkout.resolve()
        self.words: dict[str, set[str]] = defaultdict(set)
        self.keys: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._python = folder / f"python-{name}"
        command = f'cd "{self.checkout}" && PYTHONPATH=src exec .venv/bin/python "$@"'
        self._python.write_text(f"#!/bin/sh\n{command}\n")
        self._python.chmod(0o755)

    def use(self) -> None:
        sys.executable = str(self._python)

    def command(self, *arguments: str) -> str:
        self.use()
        done = run_hyssopvane(*arguments)
        assert done.returncode == 0, f"{self.name}: {arguments}: {done}"
        return done.stdout

    def note(self, role: str, page: Response, lines: Iterable[str]) -> None:
        metric = ""
        for name, rest in METRIC.findall(page.body.decode()):
            if not rest.startswith("{"):
                metric = re.sub("_(total|created)$", "", name)
                self.words[role].add(metric)
            labels = dict(re.findall(r'(\w+)="([^"]*)"', rest))
            self.keys[role, metric].add(f"{name} {sorted(labels) or rest}")
            self.words[role] |= {labels[one] for one in WORDS & labels.keys()}
        for line in lines:
            if found := re.match(r"time=.* event=(\S+)", line):
                self.words[role].add(found[1])
                self.keys[role, found[1]].update(one for one, _ in PAIR.findall(line))

    def mentions(self, name: str) -> bool:
        ends = [one.end() for one in re.finditer("-", name)]
        starts = [f'count_event(f"{name[:end]}{{' for end in ends]
        texts = [one.read_text() for one in self.checkout.glob("src/**/*.py")]
        return any(one in text for text in texts for one in (f'"{name}"', *starts))


class Run:
    def __init__(self, old: Path, new: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="mixed-builds-"))
        self.old = Build("old", old, self.folder)
        self.new = Build("new", new, self.folder)
        self.builds = (self.old, self.new)
        self.orders = (self.builds, self.builds[::-1])
        self.passed = self.failed = 0
        self.sites: list[Cluster | Fleet] = []

    def check(self, what: str, holds: object, told: object = "") -> None:
        self.passed += bool(holds)
        self.failed += not holds
        print(f"ok      {what}" if holds else f"FAILED  {what}: {told}", flush=True)

    def wait(self, what: str, holds: Callable[[], object]) -> None:
        end = time.monotonic() + LIMIT_S
        found: Any = None
        while not found and time.monotonic() < end:
            try:
                found = told = holds()
            except Exception as error:
                told = error
            time.sleep(0 if found else 0.1)
        self.check(what, found, f"not in {LIMIT_S:g} s, last {told!r:.900}")


class Site(Cluster):
    """Hold an installation of the path with agents."""

    drafts = ("draft-old", "draft-new")

    def __init__(self, run: Run, name: str) -> None:
        self.folder = run.folder / name
        self.folder.mkdir()
        super().__init__(self.folder)
        self.run, self.name = run, name
        run.sites.append(self)
        self.roles: dict[str, tuple[Build, Process]] = {}
        self.callers: dict[str, str] = {}
        self.engines: dict[str, tuple[str, Process]] = {}
        run.old.use()
        self.start_platform()

    def add_engine(self, name: str, *options: str) -> None:
        self.run.old.use()
        if name in self.engines:
            self.engines[name][1].kill()
            options = ("--bind", self.engines[name][0], *options)
        options = ("--poison", POISON, *options)
        self.engines[name] = self.start_standin("engine_server", *options)

    def add(self, build: Build, vm: str, service: str = "") -> None:
        build.use()
        more: dict[str, Any] = {"log_level": "debug"}
        if service:
            more |= {"group": "group-1"} if vm in self.drafts else {}
            target = self.engines[vm][0]
            process = self.start_agent(vm, service=service, target=target, **more)
        else:
            process, self.callers[vm] = self.start_entry(vm, **more)
        self.roles[vm] = build, process

    def reaches_all(self) -> bool:
        pages = [json.loads(self.page(one, "/in-force").body) for one in self.callers]
        asked = [self.page(one, "/explain-all?id=none").body for one in self.callers]
        found = {len(one["targets"]) for one in pages}
        answered = {json.loads(one)["answered"] for one in asked}
        return (found, answered) == ({len(self.engines)}, {len(self.roles)})

    def table(self, build: Build, *arguments: str) -> str:
        return build.command("table", *arguments, "--platform", self.platform)

    def import_rows(self, build: Build, *rows: str) -> None:
        path = self.folder / "table.csv"
        path.write_text("\n".join(["kind,name,column,value", *rows, ""]))
        self.table(build, "import", str(path))

    def show(self, row: str) -> list[list[list[str]]]:
        views = [self.table(one, "show", row) for one in self.run.builds]
        return [[line.split()[:3] for line in one.splitlines()] for one in views]

    def operate(self, build: Build, entry: str, *command: str) -> str:
        where = ("--settings", str(self.folder / f"{entry}.json"))
        return build.command(*command, "--entry", self.operators[entry], *where)

    def page(self, vm: str, page: str) -> Response:
        return request("GET", self.operators[vm], page, headers=OPERATOR)

    def call(
        self, entry: str, service: str, prompt: str, key: str = "", **more: object
    ) -> Response:
        headers = {"Authorization": f"Bearer {KEY}"}
        headers |= {"Idempotency-Key": key} if key else {}
        body = json.dumps({"prompt": prompt, "max_tokens": 12} | more).encode()
        at, path = self.callers[entry], f"/{service}/v1/completions"
        return request("POST", at, path, headers=headers, body=body)

    def count_runs(self, key: str) -> int:
        pages = [request("GET", at, "/journal").body for at, _ in self.engines.values()]
        return len(re.findall(rf'"started"[^}}]*{key}"', str(pages)))

    def uses_map(self, name: str) -> bool:
        at = [self.engines[one][0] for one in self.drafts]
        ranks = [json.loads(request("GET", one, "/rank").body) for one in at]
        found = {(one["map"], str(one["armed"])) for one in ranks}
        return [(one.split(".")[0], armed) for one, armed in found] == [(name, "None")]

    def switch(self, build: Build, name: str) -> None:
        build.use()
        told = ",".join(f"{one}={self._vms[one]['address']}" for one in self.drafts)
        where = ("--platform", self.platform, "--token", TOKEN, "--agents", told)
        module = ("-m", "tests.lib.map_coordinator", "--map", name)
        self._start([sys.executable, *module, *where]).wait_for("ended=decided")
        told = f"{self.name}: the agents switch to a map of {build.name}"
        self.run.wait(told, partial(self.uses_map, name))

    def restart_engines(self, name: str) -> None:
        for vm in self.drafts:
            self.add_engine(vm, "--expert-map=")
        told = f"{self.name}: engines that start anew get the decided map"
        self.run.wait(told, partial(self.uses_map, name))
        for entry in self.callers:
            told = f"{self.name}: {entry} refuses a body that crashed engines"
            call = partial(self.call, entry, "draft", POISON)
            self.run.wait(told, lambda: b'"quarantined"' in call().body)  # noqa: B023

    def end_roles(self) -> None:
        codes = {}
        for vm, (build, process) in self.roles.items():
            role, page = str(read_in_force(self, vm)["role"]), self.page(vm, "/metrics")
            process.send_signal(signal.SIGTERM)
            codes[vm] = process.read_to_end()
            build.note(role, page, process.lines)
            self.unlist_vm(vm)
            (self.folder / f"{vm}.log").write_text("\n".join(process.lines))
        told = f"{self.name}: all {len(codes)} processes end with code 0"
        self.run.check(told, not any(codes.values()), codes)
        self.roles = {}


def play_agents(run: Run) -> None:
    """Mix entries and agents of both builds on the path with agents."""
    site = Site(run, "agents")
    services = [f"service,{one},," for one in ("s-old", "s-new", "draft")]
    site.import_rows(run.old, *services, CLERKS)
    for build in run.builds:
        for vm, service in (("s", f"s-{build.name}"), ("draft", "draft")):
            site.add_engine(f"{vm}-{build.name}")
            site.add(build, f"{vm}-{build.name}", service)
        site.add(build, f"entry-{build.name}")
    run.wait("agents: both entries reach all processes", site.reaches_all)
    for first, second in run.orders:
        for service in ("s-old", "s-new"):
            check_calls(site, f"entry-{first.name}", f"entry-{second.name}", service)
        check_edits(site, first, second)
        site.switch(first, f"map-{first.name}")

    def is_newest(build: Build, entry: str, *command: str) -> bool:
        rows = map(str.split, site.operate(build, entry, *command).splitlines())
        newest = [row for row in rows if "newest" in row and row[0] != "*"]
        return {one for row in newest for one in row} >= site.roles.keys()

    for build, entry in product(run.builds, site.callers):
        for command in (("status",), ("table", "status")):
            told = f"{' '.join(command)} of {build.name} at {entry}: all newest"
            run.wait(told, partial(is_newest, build, entry, *command))
    site.end_roles()


def check_calls(site: Site, entry: str, other: str, service: str) -> None:
    """Check requests by one entry, and keys by the other meanwhile and afterwards."""
    run, told = site.run, f"{entry} to {service}"
    for kind, sizes in (("plain", {}), ("streamed", {"stream": True})):
        key, sizes = str(uuid6.uuid7()), {"max_tokens": 200} | sizes
        call = partial(site.call, service=service, prompt="Maharaj", **sizes)
        plain = call(entry)
        with ThreadPoolExecutor() as pool:
            keyed = list(pool.map(partial(call, key=key), (entry, other, entry)))
        keyed += [call(one, key=key) for one in (other, entry)]
        whole = b'"tokens": 200' in plain.body or plain.body.count(b"data: {") == 200
        run.check(f"{told}: a {kind} answer is whole", whole, plain)
        same = {one.body for one in keyed} == {plain.body} and site.count_runs(key) == 1
        run.check(f"{told}: {other} gives a key's same {kind} answer", same, keyed)
    name, at = plain.headers["hyssopvane-request-id"], product(run.builds, site.callers)
    views = [site.operate(build, one, "explain", name) for build, one in at]
    same = len(set(views)) == 1 and entry in views[0] and service in views[0]
    run.check(f"{told}: explain of both builds at both entries", same, views)


def check_edits(site: Site, editor: Build, reader: Build) -> None:
    """Check that one build's edits are read, and come into force, at the other."""
    run, vm = site.run, f"s-{reader.name}"
    row, told = f"target/{vm}", f"{editor.name} edits target/{vm}"
    site.table(editor, "add", row)
    site.table(editor, "set", row, "weight", "250")
    shown = site.show(row)
    same = shown[0] == shown[1] and "250" in str(shown)
    run.check(f"{told}: show of both builds", same, shown)
    site.import_rows(editor, f"target,{vm},weight,350", f"service,{vm},retry_budget,45")
    exports = [site.table(build, "export") for build in run.builds]
    same = exports[0] == exports[1] and f"target,{vm},weight,350" in exports[0]
    run.check(f"{told}: import, and export of both builds", same, exports)

    def is_in_force() -> bool:
        tables = [json.loads(site.page(one, "/table").body) for one in site.callers]
        views: list[Any] = [read_in_force(site, one) for one in site.roles]
        marks = {(one["table_revision"], one["table_era"]) for one in views}
        found = {one["targets"][vm]["weight"] for one in tables}
        rows: Any = read_in_force(site, vm)["rows"]
        found |= {rows["target"]["weight"], rows["service"]["retry_budget"]}
        return found == {"350", "45"} and len(marks) == 1

    run.wait(f"{told}: in force at all processes", is_in_force)


def play_stored(run: Run, writer: Build, reader: Build) -> None:
    """Let one build read what the other has stored, after that one has ended."""
    told = f"stored-{writer.name}-{reader.name}"
    site, row, key = Site(run, told), "customer/clerks", str(uuid6.uuid7())
    call = partial(site.call, "entry", "draft")

    def start(build: Build) -> None:
        for vm in site.drafts:
            site.add(build, vm, "draft")
        site.add(build, "entry")
        run.wait(f"{told}: {build.name} serves", site.reaches_all)

    def read(build: Build) -> tuple[Any, bytes, str]:
        page, era = site.page("entry", "/table").body, "table_era"
        return read_in_force(site, "entry")[era], page, site.table(build, "export")

    site.import_rows(writer, "service,draft,,", CLERKS)
    for vm in site.drafts:
        site.add_engine(vm)
    start(writer)
    run.check(f"{told}: a key runs", call("Maharaj", key).status == 200)
    site.switch(writer, "a")
    crashes = [call(POISON).status for _ in site.drafts]
    run.check(f"{told}: engines crash", crashes in ([502, 502], [502, 422]), crashes)
    site.restart_engines("a")
    era = read(writer)[0]
    request("POST", site.platform, "/copy")
    request("POST", site.platform, "/return", body=b"{}")
    edit = partial(site.table, writer, "set", row, "weight", "160")
    run.wait(f"{told}: {writer.name} edits after the service's return", edit)
    in_force = lambda: read(writer)[0] > era and b'"160"' in read(writer)[1]
    run.wait(f"{told}: the edit is in force in the new era", in_force)
    every = b'{"key": "AA==", "range_end": "/w=="}'
    page = json.loads(request("POST", site.platform, "/v3/kv/range", body=every).body)
    keys = [b64decode(one["key"]).decode() for one in page["kvs"]]
    held = all(any(one.startswith(prefix) for one in keys) for prefix in STORED)
    run.check(f"{told}: {writer.name} has stored {', '.join(STORED)}", held, keys)
    before = read(writer)
    site.end_roles()
    start(reader)
    site.restart_engines("a")
    after = read(reader)
    run.check(f"{told}: table and era are the same", before == after, (before, after))
    answers = [call(one, key) for one in ("Maharaj", "other")]
    found = [(one.status, one.headers["hyssopvane-reason"]) for one in answers]
    known = found == [(502, "target-lost"), (422, "key-body-mismatch")]
    known = known and not site.count_runs(key)
    run.check(f"{told}: a key that has run runs no more", known, answers)
    site.switch(reader, "b")
    site.table(reader, "set", row, "weight", "170")
    shown = site.show(row)
    run.check(f"{told}: an edit of {reader.name}", shown[0] == shown[1], shown)
    site.end_roles()


class Members(Fleet):
    """Hold members of both builds; the last two entries know only one of the other."""

    def __init__(self, folder: Path, *builds: Build) -> None:
        super().__init__(folder)
        self._builds, self.codes = builds, list[int]()
        self.builds: dict[str, Build] = {}

    def add(self, name: str, settings: dict[str, Any]) -> Member:
        host, number = settings["messages"].partition(":")[0], len(self.agents)
        metrics = f"{host}:{settings['agent_port']}"
        settings |= {"log_level": "debug", "grace_s": 1, "metrics": metrics}
        if settings["role"] == "direct-entry":
            number, seeds = len(self.entries), settings["seeds"]
            settings |= {"availability_zone": "ab"[number % 2], "seeds": []}
            if number >= 2:
                settings |= {"store": "127.0.0.1:1", "seeds": [seeds[number - 2]]}
                number += 1
        self.builds[name] = self._builds[number % 2]
        return super().add(name, settings)

    async def start(self) -> None:
        for member in (*self.agents, *self.entries):
            self.builds[member.name].use()
            await member.start()

    def close(self) -> None:
        try:
            for one in self.members:
                if one.is_running and one._popen is not None:
                    role, at = str(one.settings["role"]), str(one.settings["metrics"])
                    page = request("GET", at, "/metrics")
                    one.send_signal(signal.SIGTERM)
                    self.codes.append(one._popen.wait(LIMIT_S))
                    self.builds[one.name].note(role, page, one.read_log().splitlines())
        finally:
            super().close()


def find(member: Member, event: str, name: str) -> list[str]:
    """Return the values of a name in a member's lines on an event."""
    lines = re.findall(rf" event={event} (.*)", member.read_log())
    return [dict(PAIR.findall(line)).get(name, "").strip('"') for line in lines]


def play_direct(run: Run, *builds: Build) -> None:
    """Mix direct entries and rank agents of both builds, before a soak's stand-ins."""
    told = f"direct-{builds[0].name}-{builds[1].name}"
    folder = run.folder / told
    folder.mkdir()
    soak = SoakRun(folder, seed=1, size=Size(4, 1, 2, callers=3, patience=5.0))
    soak.fleet = fleet = Members(folder, *builds)
    soak.callers.entries = soak.leaving.entries = entries = fleet.entries

    def are_served() -> bool:
        served = [one for one in soak.callers.calls if one.status == 200 and one.whole]
        wanted = {(entry.name, kind) for entry in entries for kind in KINDS}
        return {(one.entry, one.kind) for one in served} == wanted

    def are_changed() -> bool:
        maps = [set(find(one, "map-in-force", "map")) for one in fleet.agents]
        return len(set.intersection(*maps) - {"0"}) > 1

    def have_merged() -> bool:
        peers = [find(one, "beliefs-merged", "peer")[0] for one in entries[2:]]
        return peers == [one.settings["beliefs"] for one in entries[:2]]

    def follow() -> None:
        heard = lambda: all("4" in find(one, "request", "heard") for one in entries)
        failed = lambda: all(find(one, "attempt-failed", "request") for one in entries)
        run.wait(f"{told}: each entry answers all kinds of requests", are_served)
        run.wait(f"{told}: entries take the beliefs of the other build", have_merged)
        run.wait(f"{told}: each entry hears the load of all ranks", heard)
        run.wait(f"{told}: two maps come into force at all ranks", are_changed)
        trio.from_thread.run_sync(soak.configure)
        soak.backends[0].refusing = True
        run.wait(f"{told}: each entry turns to another replica", failed)
        soak.backends[0].refusing = False

    soak.faults.run = lambda _: trio.to_thread.run_sync(follow)
    run.sites.append(fleet)
    report = trio.run(soak.run)
    broken = [*report.violations, *filter(None, fleet.codes)]
    run.check(f"{told}: no promise is broken; {report.describe()}", not broken, broken)
    for event in ("datagram-malformed", "datagram-unexpected", "map-of-another-group"):
        refused = [one.name for one in fleet.members if find(one, event, "sender")]
        run.check(f"{told}: no {event}", not refused, refused)
    for one in entries:
        asked = find(one, "attempt-failed", "request")[-1]
        command = ("explain", asked, "--log", str(one.log_file))
        views = [build.command(*command) for build in builds]
        same = views[0] == views[1] and "attempt-failed" in views[0]
        run.check(f"{told}: explain --log of both builds on {one.name}", same, views)


def compare_names(run: Run) -> None:
    """Check that builds show the same names, and know what the other showed alone."""
    old, new = run.builds
    for role in sorted(old.words.keys() | new.words.keys()):
        both = old.words[role] & new.words[role]
        keys = {one: old.keys[role, one] ^ new.keys[role, one] for one in both}
        differ = {name: found for name, found in keys.items() if found}
        told = f"{role}: {len(both)} metrics, events and reasons, with labels and keys"
        run.check(told, both and not differ, differ)
        alone = sorted(old.words[role] ^ new.words[role])
        lost = [one for one in alone if not (old.mentions(one) and new.mentions(one))]
        run.check(f"{role}: names that one build showed alone: {alone}", not lost, lost)
    files = [*run.folder.glob("*/*.json")]
    files += [one for b in run.builds for one in b.checkout.glob("examples/*.json")]
    for build, path in product(run.builds, files):
        build.command("check", str(path))
    run.check(f"check of both builds takes {len(files)} settings files", files)


def main() -> int:
    """Run all plays; return 1 when a check failed."""
    parser = argparse.ArgumentParser(prog="mixed_builds", description=__doc__)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--new", type=Path, required=True)
    run = Run(**vars(parser.parse_args()))
    plays: list[Callable[[], object]] = [partial(play_agents, run)]
    plays += [partial(play_stored, run, *order) for order in run.orders]
    plays += [partial(play_direct, run, *order) for order in run.orders]
    plays.append(partial(compare_names, run))
    for number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    signal.alarm(TOTAL_S)
    for play in plays:
        try:
            play()
        except Exception as error:
            run.check("a play goes to its end", False, repr(error))
        finally:
            for site in run.sites:
                site.close()
    print(f"{run.passed} ok, {run.failed} FAILED; logs in {run.folder}")
    return 1 if run.failed else 0


if __name__ == "__main__":
    sys.exit(main())

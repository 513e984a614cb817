"""Let a replica fail requests that it has run, and see what their callers are told.

One of three replicas fails part of its requests although its health check is good. It
runs them and answers 503, without `X-Not-Executed`. The status 503 of an entry promises
that a request has not run, so clients send it again.
"""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from harness import (  # noqa: E402
    Client,
    Programs,
    Record,
    Server,
    Store,
    free_ports,
    make_answer,
    make_configuration,
    make_entry_settings,
    make_registration,
    make_request,
    make_route,
    make_service,
    read_message,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 13.0
"""Two disruptions of 6.5 s, the length on the sheet, one after the other."""
FAILED_SHARE = 0.45
"""Share of its requests that the replica fails, as on the sheet."""
CLIENTS = 6
SERVICE = "wuno96b"
PROMISES = ("408", "421", "429", "503")


class Replica(Server):
    """Run requests that may run only once, and fail some of them afterwards."""

    def __init__(self, port: int, name: str, record: Record, *, fails: bool) -> None:
        super().__init__(port)
        self.name = name
        self.runs: list[tuple[str, bytes]] = []
        """IDs and bodies of the requests that were run."""
        self.failed = 0
        self._record = record
        self._fails = fails
        self._random = random.Random(name)

    async def serve(self, reader, writer) -> None:
        while (request := await read_message(reader)) is not None:
            if request.headers.get("x-expect-instance") != self.name:
                writer.write(make_answer(421, {"X-Replica-Id": self.name}))
                continue
            self.runs.append((request.id, request.body))
            self._record.add(f"{self.name} runs {request.id}: {request.body.decode()}")
            await asyncio.sleep(self._random.uniform(0.01, 0.03))
            headers = {
                "X-Request-Id": request.id,
                "X-Response-Signature": f"{self.name}.{request.id}",
            }
            if self._fails and self._random.random() < FAILED_SHARE:
                self.failed += 1
                self._record.add(f"{self.name} answers 503 to {request.id}, which has run")
                writer.write(make_answer(503, headers, b"failed"))
            else:
                writer.write(make_answer(200, headers, b"confirmed"))
            await writer.drain()


async def run_client(port, number, until, record, outcomes) -> None:
    """Confirm one entry after the other; send it again once after a promise."""
    client, sent, entry = Client(port), 0, 0
    while time.monotonic() < until:
        entry += 1
        body = f"entry {number}/{entry}".encode()
        for _ in range(2):
            sent += 1
            request_id = f"{number:02x}{sent:014x}"
            record.add(f"client {number} sends {request_id}: {body.decode()}")
            request = make_request("POST", "/ship/2f", request_id, deadline_ms=613, body=body)
            answer = await client.send(request, limit_s=1.5)
            told = answer if isinstance(answer, str) else str(answer.status)
            outcomes[request_id] = told
            record.add(f"client {number} gets {told} for {request_id}")
            if told not in PROMISES:
                break
            client.close()
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))
        await asyncio.sleep(0.1)
    client.close()


async def run_case(record: Record, programs: Programs) -> int:
    ports = free_ports(10)
    store = Store(ports[6])
    replicas = [
        Replica(port, f"i-{index}f3a91c2", record, fails=TROUBLE and index == 0)
        for index, port in enumerate(ports[7:10])
    ]
    for server in (store, *replicas):
        await server.start()
    route = make_route("ship", "non_idempotent", SERVICE)
    store.put("op/config", make_configuration(7, [route], [make_service(SERVICE)]))
    for replica in replicas:
        store.put(f"servers/{replica.name}", make_registration(SERVICE, replica.address))
    programs.start("direct-entry", "entry", make_entry_settings(store.address, ports))
    if not await wait_ready(ports[1]):
        record.add("the entry did not become ready")
        return 2
    outcomes: dict[str, str] = {}
    until = time.monotonic() + RUN_S
    await asyncio.gather(
        *(run_client(ports[0], n, until, record, outcomes) for n in range(CLIENTS))
    )
    await asyncio.sleep(1.0)
    runs = [run for replica in replicas for run in replica.runs]
    ran = {request_id for request_id, _ in runs}
    broken = [one for one, told in outcomes.items() if told in PROMISES and one in ran]
    for one in broken:
        record.add(f"BROKEN: {one} was answered {outcomes[one]}, and it has run")
    twice = sum(count > 1 for count in Counter(body for _, body in runs).values())
    record.add(
        f"{len(outcomes)} requests, {sum(r.failed for r in replicas)} failed by the "
        f"replica, {len(broken)} answered as not run though they have run, "
        f"{twice} entries confirmed twice as their clients sent them again"
    )
    for server in (store, *replicas):
        await server.stop()
    return 1 if broken else 0


def main() -> int:
    record, programs = Record(FOLDER), Programs()
    try:
        return asyncio.run(run_case(record, programs))
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        return 2
    finally:
        programs.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())

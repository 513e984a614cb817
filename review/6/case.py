"""Reset answers without a length while their requests are still being sent.

One of three replicas begins to answer a few long requests before it has read them. These
answers have no length and would end with their connection, but it is reset in the middle
of the answer. The client must not get the first half as a complete success.
"""

import asyncio
import os
import random
import socket
import struct
import sys
import time
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
    read_head,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 20.0
"""Four disruptions of 5 s, the length on the sheet, one after the other."""
SPOILED_SHARE = 0.05
"""Share of the answers of the faulty replica that have no length, as on the sheet."""
BODY_BYTES = 1_000_000
CLIENTS = 6
SERVICE = "wuno96b"
RESET = struct.pack("ii", 1, 0)


class Replica(Server):
    """Confirm entries; without a length and unread, if the request is spoiled."""

    def __init__(self, port: int, name: str, record: Record, *, faulty: bool) -> None:
        super().__init__(port)
        self.name = name
        self.answers: dict[str, bytes] = {}
        """Whole bodies of the answers, by the IDs of the requests."""
        self.reset = 0
        self._record = record
        self._faulty = faulty
        self._random = random.Random(name)

    async def serve(self, reader, writer) -> None:
        while (head := await read_head(reader)) is not None:
            first, fields = head
            request_id = fields["x-request-id"]
            body = b"".join(b"%s line %d\n" % (request_id.encode(), n) for n in range(40))
            self.answers[request_id] = body
            headers = {
                "X-Request-Id": request_id,
                "X-Response-Signature": f"{self.name}.{request_id}",
            }
            if self._faulty and self._random.random() < SPOILED_SHARE:
                await self._answer_without_length(writer, request_id, headers, body)
                return
            await reader.readexactly(int(fields.get("content-length", "0")))
            self._record.add(f"{self.name} runs {request_id}")
            await asyncio.sleep(self._random.uniform(0.01, 0.03))
            writer.write(make_answer(200, headers, body))
            await writer.drain()

    async def _answer_without_length(self, writer, request_id, headers, body) -> None:
        """Send half of the answer before the request is read, and reset."""
        writer.transport.pause_reading()
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        half = body[: len(body) // 2] if TROUBLE else body
        self._record.add(f"{self.name} runs {request_id}, and begins to answer unread")
        await asyncio.sleep(0.02)
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + half)
        await writer.drain()
        if not TROUBLE:
            # It reads on, and ends the answer with its connection.
            writer.transport.resume_reading()
            await asyncio.sleep(0.2)
            writer.close()
            return
        await asyncio.sleep(0.02)
        self.reset += 1
        self._record.add(f"the answer to {request_id} is reset after {len(half)} bytes")
        connection = writer.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


async def run_client(port, number, until, record, outcomes) -> None:
    """Send one long request after the other on a kept connection."""
    client, sent = Client(port), 0
    while time.monotonic() < until:
        sent += 1
        request_id = f"{number:02x}{sent:014x}"
        record.add(f"client {number} sends {request_id}")
        request = make_request(
            "POST", "/ship/2f", request_id, deadline_ms=613, body=b"e" * BODY_BYTES
        )
        answer = await client.send(request, limit_s=1.5)
        outcomes[request_id] = answer
        told = answer if isinstance(answer, str) else f"{answer.status}, {len(answer.body)} bytes"
        record.add(f"client {number} gets {told} for {request_id}")
        await asyncio.sleep(0.05)
    client.close()


async def run_case(record: Record, programs: Programs) -> int:
    ports = free_ports(10)
    store = Store(ports[6])
    replicas = [
        Replica(port, f"i-{index}f3a91c2", record, faulty=index == 0)
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
    outcomes: dict = {}
    until = time.monotonic() + RUN_S
    await asyncio.gather(
        *(run_client(ports[0], n, until, record, outcomes) for n in range(CLIENTS))
    )
    whole: dict[str, bytes] = {}
    for replica in replicas:
        whole |= replica.answers
    served = {
        one: answer
        for one, answer in outcomes.items()
        if not isinstance(answer, str) and answer.status == 200
    }
    broken = [one for one, answer in served.items() if answer.body != whole.get(one)]
    for one in broken:
        record.add(
            f"BROKEN: {one} got 200 with {len(served[one].body)} bytes, complete by its "
            f"length; the replica's body has {len(whole.get(one, b''))}"
        )
    record.add(
        f"{len(outcomes)} requests, {len(served)} served, "
        f"{sum(replica.reset for replica in replicas)} answers reset on the way, "
        f"{len(broken)} of them got a part of the body as a complete success"
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

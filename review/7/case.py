"""Servers reject long uploads early, read on, and get other bytes (see claim.txt)."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins2 as kit  # noqa: E402

BODY_BYTES = 70_000
CHUNK_BYTES = 8_192
DEADLINE_MS = 2500
EARLY_SHARE = 0.4
EARLY_SERVERS = 4
SERVERS = 6
SLOTS = 6
UPLOADS = 240
GAP_S = 0.15
LOOKUPS_GAP_S = 0.02


class Server(kit.Server):
    """A server that may reject a long request before it is in, and then reads on."""

    is_early = False
    chance = None

    def __init__(self, *args):
        super().__init__(*args)
        self.wrong = []

    def choose_work_s(self, line):
        return 0.12 if line.startswith("POST") else 0.02

    async def handle(self, reader, writer, line, fields):
        if "transfer-encoding" not in fields:
            await super().handle(reader, writer, line, fields)
            return
        sent = fields.get("x-cardamomtack-attempt-id", "")
        is_early = self.is_early and self.chance.random() < EARLY_SHARE
        if is_early:
            # The page: it answers before it has read the body, keeps the
            # connection and reads on later.
            self.record.add(f"{self.name} rejects {sent} early: 503, not executed")
            extra = "X-Cardamomtack-Not-Executed: 1\r\n"
            writer.write(self.answer(503, fields, extra))
            await writer.drain()
            await asyncio.sleep(0.005)
        await self._read_body(reader, sent)
        if not is_early:
            await self.run(writer, line, fields)

    async def _read_body(self, reader, sent):
        """Read a body in chunks; note what is no part of it."""
        size = 0
        while True:
            text = await reader.readline()
            if not text.endswith(b"\r\n"):
                # The other end has closed: these are no other bytes.
                raise asyncio.IncompleteReadError(text, None)
            try:
                length = int(text, 16)
            except ValueError:
                self._note(sent, text, size)
                raise asyncio.IncompleteReadError(text, None) from None
            part = await reader.readexactly(length + 2)
            if part[:-2].strip(b"u"):
                self._note(sent, part[:40], size)
            size += length
            if not length:
                return

    def _note(self, sent, text, size):
        self.wrong.append((sent, text))
        self.record.add(
            f"{self.name} got {text!r} where the rest of the body of {sent} is due "
            f"({size} bytes of it are in)"
        )


async def play(scratch, record, processes):
    chance = random.Random(7)
    ports = kit.find_ports(6 + SERVERS)
    store = kit.Store()
    await store.start(ports[5])
    servers = []
    for number in range(SERVERS):
        is_early = kit.has_trouble() and number < EARLY_SERVERS
        one = Server(f"i-{number}", ports[6 + number], "intake", SLOTS, record)
        one.is_early, one.chance = is_early, chance
        await one.start()
        store.register(one)
        servers.append(one)
    path = {
        "timeoutS": 2.5,
        "sloS": 0.4,
        "priority": 1,
        "service": "intake",
        "attempts": 2,
    }
    store.publish(
        7,
        ["intake"],
        [
            {"name": "u", "pathPrefix": "/put/", "kind": "upload", **path},
            {"name": "l", "pathPrefix": "/get/", "kind": "idempotent", **path},
        ],
    )
    process = kit.Process(scratch, "edge-a-1", ports[:5], ports[5])
    processes.append(process)
    process.start()
    await process.wait_ready()
    statuses = {"upload": {}, "lookup": {}}

    async def upload(number):
        parts = []
        for start in range(0, BODY_BYTES, CHUNK_BYTES):
            part = b"u" * min(CHUNK_BYTES, BODY_BYTES - start)
            parts.append(b"%x\r\n%b\r\n" % (len(part), part))
        parts.append(b"0\r\n\r\n")
        more = "Transfer-Encoding: chunked\r\n"
        head = kit.make_head("POST", "/put/x", number, DEADLINE_MS, more)
        record.add(f"a client sends {number}, {BODY_BYTES} bytes in chunks")
        status = await kit.send(process.front, head, parts)
        record.add(f"the client of {number} gets {status}")
        statuses["upload"][status] = statuses["upload"].get(status, 0) + 1

    async def look_up(number):
        head = kit.make_head("GET", "/get/x", number, DEADLINE_MS)
        record.add(f"a client sends {number}")
        status = await kit.send(process.front, head)
        record.add(f"the client of {number} gets {status}")
        statuses["lookup"][status] = statuses["lookup"].get(status, 0) + 1

    tasks = []
    for number in range(UPLOADS):
        tasks.append(asyncio.create_task(upload(f"u{number}")))
        for step in range(int(GAP_S / LOOKUPS_GAP_S)):
            tasks.append(asyncio.create_task(look_up(f"l{number}-{step}")))
            await asyncio.sleep(LOOKUPS_GAP_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    wrong = sum(len(one.wrong) for one in servers)
    record.add(f"what clients got: {statuses}")
    record.add(f"places where servers got other bytes than the body's rest: {wrong}")
    print(f"statuses {statuses}, wrong bytes {wrong}")
    return 1 if wrong else 0


kit.run_case(FOLDER, play)

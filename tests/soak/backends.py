"""Stand-ins of the backend servers, with their gray failures."""
import asyncio
import hashlib
import time

import messages
from links import Link, split

SLOTS = 3
QUEUE = 4
BEAT_S = 1.5


def signature(request_id, instance):
    return hashlib.sha256(f"{request_id}/{instance}".encode()).hexdigest()[:16]


def body_of(request_id, instance):
    """The whole body that this server gives to this request."""
    seed = hashlib.sha256(f"{instance}:{request_id}".encode()).digest()
    return seed * (1 + seed[0] % 40)


class Ledger:
    """What the backend servers ran; the checks read it."""

    def __init__(self):
        self.runs = []
        self.arrivals = []
        self.answers = {}
        # How each answer was framed, and whether it was cut.
        self.framings = {}

    def note_arrival(self, request, server, ran):
        self.arrivals.append((time.monotonic(), request.header("x-request-id"),
                              server, ran))


class Backend:
    """One incarnation of a backend server, behind a link of its own."""

    def __init__(self, world, name, service, zone, real, public):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.address = public
        self.link = Link(public, real)
        self.real = real
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.queued = 0
        self.modes = {}
        self.cut_from_store = False
        self.alive = False
        self.drain_acknowledged = None
        self.server = None
        self.writers = set()
        self.slot = asyncio.Semaphore(SLOTS)
        self.last_beat = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *split(self.real))
        await self.link.start()
        self.alive = True
        self.beat()

    def crash(self):
        """Ends at once, without a word."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            messages.reset(writer)
        self.link.stop()

    def beat(self):
        if not self.alive or self.cut_from_store or self.world.store.mode != "ok":
            return
        self.sequence += 1
        self.last_beat = time.monotonic()
        self.world.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": SLOTS,
            "state": self.state, "warmup_remaining": "0ms",
            "sequence": self.sequence, "born": self.born})
        if self.state == "draining" and self.drain_acknowledged is None:
            self.drain_acknowledged = time.monotonic()

    def load_header(self):
        return {"X-Server-Load": f"{self.running},{self.queued},{SLOTS}"}

    def chance(self, mode):
        return self.world.random.random() < self.modes.get(mode, 0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                request = await messages.read_message(reader)
                if request is None or not await self.handle(request, reader,
                                                            writer):
                    break
        except (messages.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def not_run(self, request, status):
        self.world.ledger.note_arrival(request, self, False)
        headers = {"X-Not-Executed": "1", **self.load_header()}
        if request.header("x-request-id"):
            headers["X-Request-Id"] = request.header("x-request-id")
        return messages.make_answer(status, b"{}", headers)

    async def handle(self, request, reader, writer):
        """Returns whether the connection goes on."""
        target = request.header("x-target-instance")
        if not request.header("x-request-id"):
            writer.write(self.not_run(request, 400))
            return True
        if target and target != self.name:
            writer.write(self.not_run(request, 421))
            return True
        if self.queued >= QUEUE or self.chance("shed"):
            writer.write(self.not_run(request, 503))
            return True
        self.queued += 1
        try:
            await self.slot.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            return await self.run(request, reader, writer)
        finally:
            self.running -= 1
            self.slot.release()

    async def run(self, request, reader, writer):
        request_id = request.header("x-request-id")
        self.world.ledger.note_arrival(request, self, True)
        self.world.ledger.runs.append((time.monotonic(), request, self))
        deadline_s = float(request.header("x-request-deadline", "2000")) / 1000
        random = self.world.random
        work_s = random.expovariate(1 / 0.05)
        if random.random() < 0.02:
            work_s = random.uniform(0.5, 1.5)
        if self.chance("slow"):
            work_s *= 8
        if self.chance("hang"):
            work_s = deadline_s + 5
        if not await self.work(min(work_s, deadline_s), reader):
            return False
        if self.chance("mute"):
            await asyncio.sleep(5)
            return False
        if self.chance("reset"):
            messages.reset(writer)
            return False
        if work_s >= deadline_s:
            writer.write(self.signed(request_id, 504, b"late"))
            return True
        if self.chance("errors"):
            writer.write(self.signed(request_id, 500, b"error"))
            return True
        return self.answer(request_id, writer)

    async def work(self, seconds, reader):
        """Works until done; a request whose connection closes is dropped."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.02, max(0, end - time.monotonic())))
        return True

    def signed(self, request_id, status, body, framing="length"):
        headers = {"X-Request-Id": request_id, "Keep-Alive": "timeout=5",
                   "X-Response-Signature": signature(request_id, self.name),
                   **self.load_header()}
        self.world.ledger.answers.setdefault(request_id, []).append(
            (status, signature(request_id, self.name), body))
        return messages.make_answer(status, body, headers, framing)

    def answer(self, request_id, writer):
        body = body_of(request_id, self.name)
        framing = self.world.random.choice(
            ["length", "length", "length", "chunked", "close"])
        data = self.signed(request_id, 200, body, framing)
        self.world.ledger.framings[request_id] = framing
        if self.chance("truncate"):
            self.world.ledger.framings[request_id] += ", cut"
            writer.write(data[:-max(1, len(data) // 3)])
            if framing == "close":
                messages.reset(writer)
            return False
        writer.write(data)
        # Behind an answer that ends with its connection it would be part of it.
        if framing != "close" and self.chance("extra"):
            writer.write(data)
        return framing != "close"

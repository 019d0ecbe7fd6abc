"""A backend server that follows the users' protocol page."""
import asyncio
import hashlib
import random
import time

import messages
from links import split_address

PACED_BYTES = 250_000


class Backend:
    """One server; `arrivals` holds (time, request id, ran) of each request."""

    def __init__(self, fleet, service, name, zone, address, slots=3, queue=12,
                 work_s=0.2, body_bytes=1500):
        self.fleet = fleet
        self.service = service
        self.name = name
        self.zone = zone
        self.address = address
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.body_bytes = body_bytes
        # The share of the requests that it refuses without running them.
        self.shed_share = 0.0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.arrivals = []
        self.server = None
        self.writers = set()
        # If set, awaited with the request and a number of bytes before these
        # are sent.
        self.pace = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.address))
        self.write_entry()

    def stop(self):
        """Ends at once, and with it its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def write_entry(self):
        """A heartbeat that changes the entry; the others change nothing."""
        self.sequence += 1
        self.fleet.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmup_remaining": "0ms",
            "sequence": self.sequence, "born": self.born})

    async def drain_and_leave(self, drain_s):
        """Reports that it drains, serves for `drain_s` more, and ends."""
        self.state = "draining"
        self.write_entry()
        await asyncio.sleep(drain_s)
        self.fleet.store.remove("servers", self.name)
        self.stop()

    def headers(self, request):
        return {"X-Request-Id": request.header("x-request-id"),
                "X-Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await messages.read_message(reader)
                if request is None:
                    break
                await self.answer(request, writer)
                await writer.drain()
        except (messages.MessageError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def refusal(self, request):
        target = request.header("x-target-instance")
        if target and target != self.name:
            return 421
        if not request.header("x-request-id"):
            return 400
        full = self.waiting >= self.queue
        return 503 if full or random.random() < self.shed_share else None

    async def answer(self, request, writer):
        if request.start_line[1] == "/health":
            writer.write(messages.make_response(
                200, b"", {"X-Instance-Id": self.name}))
            return
        refused = self.refusal(request)
        request_id = request.header("x-request-id")
        self.arrivals.append((time.monotonic(), request_id, refused is None))
        if refused:
            writer.write(messages.make_response(
                refused, b"", {**self.headers(request), "X-Not-Executed": "1"}))
            return
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s * random.uniform(0.6, 1.4))
        finally:
            self.running -= 1
            self.slot.release()
        data = messages.make_response(200, self.body(request_id), {
            **self.headers(request), "Keep-Alive": "timeout=10",
            "X-Response-Signature": f"{self.name}.{request_id}"})
        step = PACED_BYTES if self.pace else len(data)
        for first in range(0, len(data), step):
            part = data[first:first + step]
            if self.pace:
                await self.pace(request, len(part))
            writer.write(part)
            await writer.drain()

    def body(self, request_id):
        seed = hashlib.sha256(f"{self.name}/{request_id}".encode()).digest()
        return (seed * (self.body_bytes // 32 + 1))[:self.body_bytes]


async def start_backends(fleet, service, count, port, first_ip=100, **options):
    """Starts servers of one service, in turn in each zone."""
    backends = []
    for index in range(count):
        backend = Backend(fleet, service, f"i-{service}-{index}",
                          ("a", "b", "c")[index % 3],
                          f"{fleet.ip(first_ip + index)}:{port}", **options)
        await backend.start()
        backends.append(backend)
    return backends

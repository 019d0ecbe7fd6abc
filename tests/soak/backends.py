"""Fake backend servers with gray failures."""
import asyncio
import hashlib
import time

import messages
from copies import Copy, ResponseWriter
from links import Link, split_address

# Requests that run and wait at a server at a time.
SLOTS = 3
QUEUE_LIMIT = 4
HEARTBEAT_S = 1.5
# Mean work in an overload. With the default options the usual load then uses
# half of the slots, and twice the load all of them.
OVERLOAD_WORK_S = 0.4


def signature(request_id, instance):
    """Identifies the server that gave a response to a request."""
    return hashlib.sha256(f"{request_id}/{instance}".encode()).hexdigest()[:16]


def expected_body(request_id, instance):
    """The body with which this server responds to this request."""
    seed = hashlib.sha256(f"{instance}:{request_id}".encode()).digest()
    return seed * (1 + seed[0] % 40)


class ExecutionLog:
    """What the backend servers received, executed and sent, for the checks."""

    def __init__(self):
        self.executions = []
        # Each (request, server), also of requests that the server refuses.
        self.received = []
        self.arrivals = []
        self.responses = {}
        # The framing of each response, and whether it was truncated.
        self.framings = {}
        # (time, request id, server) of each response that said that the server
        # leaves.
        self.leaving = []
        # (time, request id, server, seconds) of each 503 with Retry-After.
        self.hold_offs = []
        # Connections that servers accepted.
        self.connections = 0
        # Copies of responses that servers sent.
        self.copies = 0
        # The id of each copy of that request which was under way on its
        # connection.
        self.copied_under_way = []
        # Requests that came over a connection on which they had been refused.
        self.sent_again = 0

    def record_arrival(self, request, server, ran):
        self.arrivals.append((time.monotonic(), request.header("x-request-id"),
                              server, ran))


class Backend:
    """One incarnation of a backend server, behind its own link.

    `modes` holds the share of requests that each gray failure affects: slow,
    hang, errors, reset, mute (no response), shed, limit (429), full (shed,
    whatever server the request names), hold (shed with Retry-After), truncate,
    cut_head, extra (a second response) or repeat (the last refusal once more,
    for a request that runs). `copies` says how responses are copied, if they
    are.
    """

    def __init__(self, soak, name, service, zone, listen_address, link_address):
        self.soak = soak
        self.name = name
        self.service = service
        self.zone = zone
        self.address = link_address
        self.link = Link(link_address, listen_address)
        self.listen_address = listen_address
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.queued = 0
        self.modes = {}
        self.copies = None
        self.cut_from_store = False
        self.alive = False
        self.drain_acknowledged = None
        self.server = None
        self.writers = set()
        self.slot = asyncio.Semaphore(SLOTS)
        self.last_heartbeat = 0.0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.listen_address))
        await self.link.start()
        self.alive = True
        self.send_heartbeat()

    def crash(self):
        """Ends at once: resets its connections and sends no heartbeat."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            messages.reset(writer)
        self.link.stop()

    def leave_silently(self):
        """Removes its entry, without draining first, and serves on."""
        self.state = "left"
        self.soak.store.remove("servers", self.name)
        self.drain_acknowledged = time.monotonic()

    def send_heartbeat(self):
        """Registers the server with the store, unless the store has a fault."""
        if not self.alive or self.state == "left" or self.cut_from_store or \
                self.soak.store.mode != "ok":
            return
        self.sequence += 1
        self.last_heartbeat = time.monotonic()
        self.soak.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": SLOTS,
            "state": self.state, "warmup_remaining": "0ms",
            "sequence": self.sequence, "born": self.born})
        if self.state == "draining" and self.drain_acknowledged is None:
            self.drain_acknowledged = time.monotonic()

    def status_headers(self, request_id):
        headers = {"X-Server-Load": f"{self.running},{self.queued},{SLOTS}"}
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
            self.soak.execution_log.leaving.append(
                (time.monotonic(), request_id, self))
        return headers

    def draw_fault(self, mode):
        """Draws whether a gray failure affects this request."""
        return self.soak.random.random() < self.modes.get(mode, 0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        log = self.soak.execution_log
        log.connections += 1
        responses = ResponseWriter(writer, log)
        last_refusal = None
        try:
            while self.alive:
                request = await messages.read_message(reader)
                if request is None:
                    break
                request_id = request.header("x-request-id")
                log.received.append((request, self))
                await responses.begin(request_id)
                if last_refusal and self.draw_fault("repeat"):
                    await responses.send_copy(last_refusal)
                refusal = self.refuse(request)
                if refusal:
                    await responses.send(refusal, self.copies, True)
                    last_refusal = Copy(request_id, refusal)
                elif not await self.handle(request, reader, responses):
                    break
        except (messages.MessageError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            responses.close()

    def make_not_executed(self, request, status, hold_off_s=None):
        """A response that says that the request was not executed."""
        self.soak.execution_log.record_arrival(request, self, False)
        request_id = request.header("x-request-id")
        headers = {"X-Not-Executed": "1", **self.status_headers(request_id)}
        if request_id:
            headers["X-Request-Id"] = request_id
        if hold_off_s is not None:
            headers["Retry-After"] = f"{hold_off_s:.2f}"
            self.soak.execution_log.hold_offs.append(
                (time.monotonic(), request_id, self, hold_off_s))
        return messages.make_response(status, b"{}", headers)

    def refuse(self, request):
        """Returns the refusal of a request, or None if it is to be run."""
        target = request.header("x-target-instance")
        if not request.header("x-request-id"):
            return self.make_not_executed(request, 400)
        if self.draw_fault("full"):
            return self.make_not_executed(request, 503)
        if target and target != self.name:
            return self.make_not_executed(request, 421)
        if self.draw_fault("hold"):
            return self.make_not_executed(
                request, 503, self.soak.random.uniform(0.8, 3.0))
        if self.queued >= QUEUE_LIMIT or self.draw_fault("shed"):
            return self.make_not_executed(request, 503)
        if self.draw_fault("limit"):
            return self.make_not_executed(request, 429)
        return None

    async def handle(self, request, reader, responses):
        """Runs a request; returns whether the connection stays open."""
        self.queued += 1
        try:
            await self.slot.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            return await self.run(request, reader, responses)
        finally:
            self.running -= 1
            self.slot.release()

    async def run(self, request, reader, responses):
        """Executes a request in a slot; returns as handle()."""
        request_id = request.header("x-request-id")
        self.soak.execution_log.record_arrival(request, self, True)
        self.soak.execution_log.executions.append(
            (time.monotonic(), request, self))
        deadline_s = float(request.header("x-request-deadline", "2000")) / 1000
        random = self.soak.random
        # Long enough to keep the hosts of a crowded zone busy until they exit.
        mean_work_s = 0.15 if self.soak.crowded_zone else 0.05
        if self.soak.overloaded:
            mean_work_s = OVERLOAD_WORK_S
        work_s = random.expovariate(1 / mean_work_s)
        if random.random() < 0.02:
            work_s = random.uniform(0.5, 1.5)
        if self.draw_fault("slow"):
            work_s *= 8
        if self.draw_fault("hang"):
            work_s = deadline_s + 5
        if not await self.work(min(work_s, deadline_s), reader):
            return False
        if self.draw_fault("mute"):
            await asyncio.sleep(5)
            return False
        if self.draw_fault("reset"):
            messages.reset(responses.writer)
            return False
        if work_s >= deadline_s:
            await responses.send(self.make_signed_response(
                request_id, 504, b"late"), self.copies)
            return True
        if self.draw_fault("errors"):
            await responses.send(self.make_signed_response(
                request_id, 500, b"error"), self.copies)
            return True
        return await self.send_response(request_id, responses)

    async def work(self, seconds, reader):
        """Works for `seconds`; returns False early if the connection closes."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.02, max(0, end - time.monotonic())))
        return True

    def make_signed_response(self, request_id, status, body, framing="length"):
        headers = {"X-Request-Id": request_id, "Keep-Alive": "timeout=5",
                   "X-Response-Signature": signature(request_id, self.name),
                   **self.status_headers(request_id)}
        self.soak.execution_log.responses.setdefault(request_id, []).append(
            (status, signature(request_id, self.name), body))
        return messages.make_response(status, body, headers, framing)

    async def send_response(self, request_id, responses):
        body = expected_body(request_id, self.name)
        framing = self.soak.random.choice(
            ["length", "length", "length", "chunked", "close"])
        data = self.make_signed_response(request_id, 200, body, framing)
        self.soak.execution_log.framings[request_id] = framing
        if self.draw_fault("cut_head"):
            head_bytes = data.index(b"\r\n\r\n")
            await responses.send_part(
                data[:self.soak.random.randrange(1, head_bytes)])
            return False
        if self.draw_fault("truncate"):
            self.soak.execution_log.framings[request_id] += ", cut"
            await responses.send_part(data[:-max(1, len(data) // 3)])
            if framing == "close":
                messages.reset(responses.writer)
            return False
        # After a response that the close of the connection ends, a second one
        # would be part of its body.
        if framing == "close":
            await responses.send(data)
            return False
        await responses.send(data, self.copies)
        if self.draw_fault("extra"):
            await responses.send_copy(Copy(request_id, data))
        return True

"""Callers: kept and new connections, several requests ahead, early leaving."""
import asyncio
import dataclasses
import time

import messages
from links import split

IDLE_USE_S = 4.0
HOST = "shop.example"


@dataclasses.dataclass
class Call:
    """One request of a caller and what came of it."""
    id: str
    method: str
    path: str
    body: bytes
    repeatable: bool
    deadline_s: float
    host: object
    incarnation: int
    sent: float
    kept: bool
    ended: float = 0.0
    # answer, closed, none or gave-up
    outcome: str = "none"
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = b""
    # Whether an earlier answer on the connection said that it closes.
    behind_close: bool = False


class Connection:
    def __init__(self, reader, writer, host):
        self.reader = reader
        self.writer = writer
        self.host = host
        self.incarnation = host.incarnation
        self.used = time.monotonic()


class Callers:
    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.calls = []
        self.pool = []
        self.next_id = 0

    def pick_host(self):
        ready = [host for host in self.world.hosts if host.ready]
        return self.random.choice(ready or self.world.hosts)

    async def connect(self, host):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*split(host.listen)), 1.0)
        return Connection(reader, writer, host)

    def take_kept(self):
        now = time.monotonic()
        while self.pool:
            connection = self.pool.pop(self.random.randrange(len(self.pool)))
            if now - connection.used < IDLE_USE_S:
                return connection
            messages.reset(connection.writer)
        return None

    def make(self, path, method, repeatable, host, kept):
        self.next_id += 1
        deadline_s = self.random.choice([1.5, 2.0, 3.0])
        call = Call(f"q{self.next_id:07d}", method, path,
                    b"" if method == "GET" else
                    self.random.randbytes(self.random.randrange(0, 3000)),
                    repeatable, deadline_s, host, host.incarnation,
                    time.monotonic(), kept)
        self.calls.append(call)
        return call

    def draw(self, host, kept):
        route = self.random.choices(["/read/", "/book/", "/order/"],
                                    [2, 5, 1.5])[0]
        method = {"/read/": "GET", "/book/": "POST", "/order/": "PUT"}[route]
        path = f"{route}{self.random.randrange(1000)}"
        return self.make(path, method, route == "/read/", host, kept)

    def bytes_of(self, call):
        headers = {"Host": HOST, "X-Request-Id": call.id,
                   "X-Request-Deadline": str(int(call.deadline_s * 1000))}
        return messages.make_request(call.method, call.path, headers, call.body,
                                     self.random.random() < 0.2)

    async def one(self):
        """One use of a connection: a request, or a few reads ahead."""
        connection = self.take_kept() if self.random.random() < 0.6 else None
        kept = connection is not None
        if not kept:
            try:
                connection = await self.connect(self.pick_host())
            except (OSError, asyncio.TimeoutError):
                return
        calls = [self.draw(connection.host, kept)]
        if calls[0].repeatable and self.random.random() < 0.3:
            calls += [self.make(calls[0].path, "GET", True, connection.host,
                                kept) for _ in range(2)]
        await self.exchange(connection, calls)

    async def exchange(self, connection, calls):
        gives_up = self.random.random() < 0.03
        try:
            connection.writer.write(b"".join(map(self.bytes_of, calls)))
            for call in calls:
                call.incarnation = connection.incarnation
            goes_on = True
            for call in calls:
                limit = self.random.uniform(0.02, 0.3) if gives_up else None
                goes_on = await self.await_answer(connection, call, goes_on,
                                                  limit)
                if call.outcome != "answer":
                    for later in calls:
                        later.behind_close |= later is not call
                        self.end(later, call.outcome)
                    break
            if goes_on and not gives_up:
                connection.used = time.monotonic()
                self.pool.append(connection)
                return
        except ConnectionError:
            for call in calls:
                self.end(call, "closed")
        messages.reset(connection.writer)

    @staticmethod
    def end(call, outcome):
        if call.ended == 0.0:
            call.outcome = outcome
            call.ended = time.monotonic()

    async def await_answer(self, connection, call, expected, limit):
        """Returns whether the connection goes on after the answer."""
        call.behind_close = not expected
        wait_s = limit if limit is not None else call.deadline_s + 2.0
        try:
            answer = await asyncio.wait_for(
                messages.read_message(connection.reader, True), wait_s)
        except asyncio.TimeoutError:
            self.end(call, "gave-up" if limit is not None else "none")
            return False
        except messages.Broken:
            self.end(call, "closed")
            return False
        if answer is None:
            self.end(call, "closed")
            return False
        self.end(call, "answer")
        call.status = answer.status
        call.headers = answer.headers
        call.answer = answer.body
        return answer.header("connection").lower() != "close"

    async def run(self, rate):
        """Calls at `rate` a second until the soak is over."""
        tasks = set()
        while not self.world.calling_over:
            task = asyncio.ensure_future(self.one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            burst = self.world.burst
            await asyncio.sleep(self.random.expovariate(rate * burst))
        if tasks:
            await asyncio.wait(tasks, timeout=8)

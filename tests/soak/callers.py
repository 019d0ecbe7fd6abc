"""Simulated callers.

They reuse connections or open new ones, pipeline requests, and sometimes stop
waiting for a response early.
"""
import asyncio
import dataclasses
import time

import messages
from configurations import KEY_PREFIX
from hosts import ZONES
from links import split_address

# Longest idle time after which a pooled connection is used again.
MAX_IDLE_S = 4.0
HOST = "shop.example"
# How many times the usual rate callers send while all are in one zone.
CROWD_FACTOR = 4
OVERLOAD_FACTOR = 2
# The load while an account sends too much, and its share of the calls; it
# usually has 0.1 of them.
SURGE_FACTOR = 1.5
SURGE_SHARE = 0.6


@dataclasses.dataclass
class Call:
    """One request of a caller and its outcome."""
    id: str
    method: str
    path: str
    body: bytes
    retryable: bool
    deadline_s: float
    host: object
    incarnation: int
    sent: float
    reused: bool
    # Headers that say who asks, and the key that they amount to. None: no
    # Authorization. An invalid Authorization is a key that no account has.
    credentials: dict
    key: str
    ended: float = 0.0
    # answer: a response came. closed: the connection ended first. none: no
    # response in time. gave-up: the caller stopped waiting early.
    outcome: str = "none"
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    response_body: bytes = b""
    # Whether an earlier response on the connection announced its close, or an
    # earlier pipelined call got no response.
    follows_close: bool = False


class Connection:
    """A connection to one incarnation of a host."""
    def __init__(self, reader, writer, host):
        self.reader = reader
        self.writer = writer
        self.host = host
        self.incarnation = host.incarnation
        self.last_used = time.monotonic()


class Callers:
    def __init__(self, soak):
        self.soak = soak
        self.random = soak.random
        self.calls = []
        self.pool = []
        self.next_id = 0

    def pick_host(self):
        """The load balancer's choice for a new connection.

        It uses all hosts of the caller's zone if fewer than half of them are
        ready, and those of the other zones if none is.
        """
        zone = self.soak.crowded_zone or self.random.choice(ZONES)
        in_zone = [host for host in self.soak.hosts if host.zone == zone]
        ready = [host for host in in_zone if host.ready]
        if not ready:
            others = [host for host in self.soak.hosts if host.zone != zone]
            ready = [host for host in others if host.ready] or others or in_zone
        elif 2 * len(ready) < len(in_zone):
            ready = in_zone
        return self.random.choice(ready)

    async def connect(self, host):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*split_address(host.listen)), 1.0)
        return Connection(reader, writer, host)

    def take_pooled(self):
        """A random pooled connection; None if all were idle for too long."""
        now = time.monotonic()
        while self.pool:
            connection = self.pool.pop(self.random.randrange(len(self.pool)))
            if now - connection.last_used < MAX_IDLE_S:
                return connection
            messages.reset(connection.writer)
        return None

    def create_call(self, path, method, retryable, host, reused):
        self.next_id += 1
        deadline_s = self.random.choice([1.5, 2.0, 3.0])
        call = Call(f"q{self.next_id:07d}", method, path,
                    b"" if method == "GET" else
                    self.random.randbytes(self.random.randrange(0, 3000)),
                    retryable, deadline_s, host, host.incarnation,
                    time.monotonic(), reused, *self.draw_credentials())
        self.calls.append(call)
        return call

    def draw_credentials(self):
        """Headers that say who asks, and the key that they amount to."""
        accounts = self.soak.config.accounts
        if not accounts:
            return {}, None
        kind = self.random.choices(
            ["valid", "former", "unknown", "none", "doubled", "other scheme"],
            [80, 4, 4, 8, 2, 2])[0]
        # Half of the calls are those of the account without a limit.
        account = self.random.choices(accounts.current, [4, 1, 1, 1, 1])[0]
        if accounts.surging and self.random.random() < SURGE_SHARE:
            kind, account = "valid", accounts.surging
        key = self.random.choice(accounts.keys if kind == "former"
                                 else account["api_keys"])
        if kind == "unknown":
            key = f"{KEY_PREFIX}unknown-{self.random.randrange(1000)}"
        headers = {"Authorization": f"Bearer {key}"}
        if kind == "none":
            headers, key = {}, None
        elif kind == "doubled":
            headers["authorization"], key = headers["Authorization"], kind
        elif kind == "other scheme":
            headers, key = {"Authorization": f"Basic {key}"}, kind
        # A forged account, sometimes twice.
        for name in ("X-Tenant", "x-tenant"):
            if self.random.random() < 0.1 + 0.5 * ("X-Tenant" in headers):
                headers[name] = self.random.choice(accounts.current)["name"]
        return headers, key

    def use_steady_key(self, call):
        """Has a call be one that every configuration with its route serves."""
        accounts = self.soak.config.accounts
        if accounts:
            call.key = accounts.current[0]["api_keys"][0]
            call.credentials = {"Authorization": f"Bearer {call.key}"}

    def draw_call(self, host, reused):
        """A call with a random route."""
        route = self.random.choices(["/read/", "/book/", "/order/"],
                                    [2, 5, 1.5])[0]
        method = {"/read/": "GET", "/book/": "POST", "/order/": "PUT"}[route]
        path = f"{route}{self.random.randrange(1000)}"
        return self.create_call(path, method, route == "/read/", host, reused)

    def encode_request(self, call):
        headers = {"Host": HOST, "X-Request-Id": call.id,
                   "X-Request-Deadline": str(int(call.deadline_s * 1000)),
                   **call.credentials}
        return messages.make_request(call.method, call.path, headers, call.body,
                                     self.random.random() < 0.2)

    async def use_connection(self):
        """Sends one request, or three pipelined reads, on one connection."""
        connection = self.take_pooled() if self.random.random() < 0.6 else None
        reused = connection is not None
        if not reused:
            try:
                connection = await self.connect(self.pick_host())
            except (OSError, asyncio.TimeoutError):
                return
        calls = [self.draw_call(connection.host, reused)]
        if calls[0].retryable and self.random.random() < 0.3:
            calls += [self.create_call(calls[0].path, "GET", True,
                                       connection.host, reused)
                      for _ in range(2)]
        await self.exchange(connection, calls)

    async def exchange(self, connection, calls):
        """Sends pipelined calls and awaits their responses in order."""
        gives_up = self.random.random() < 0.03
        try:
            connection.writer.write(b"".join(map(self.encode_request, calls)))
            for call in calls:
                call.incarnation = connection.incarnation
            stays_open = True
            for call in calls:
                limit = self.random.uniform(0.02, 0.3) if gives_up else None
                stays_open = await self.await_response(connection, call,
                                                       stays_open, limit)
                if call.outcome != "answer":
                    for later in calls:
                        later.follows_close |= later is not call
                        self.end(later, call.outcome)
                    break
            if stays_open and not gives_up:
                connection.last_used = time.monotonic()
                self.pool.append(connection)
                return
        except ConnectionError:
            for call in calls:
                self.end(call, "closed")
        messages.reset(connection.writer)

    @staticmethod
    def end(call, outcome):
        """Sets the outcome of a call that has none yet."""
        if call.ended == 0.0:
            call.outcome = outcome
            call.ended = time.monotonic()

    async def await_response(self, connection, call, expected, limit):
        """Returns whether the connection stays open after the response.

        `expected` is whether it was open after the response before. `limit` is
        when the caller gives up, in seconds, or None.
        """
        call.follows_close = not expected
        wait_s = limit if limit is not None else call.deadline_s + 2.0
        try:
            response = await asyncio.wait_for(
                messages.read_message(connection.reader, True), wait_s)
        except asyncio.TimeoutError:
            self.end(call, "gave-up" if limit is not None else "none")
            return False
        except messages.MessageError:
            self.end(call, "closed")
            return False
        if response is None:
            self.end(call, "closed")
            return False
        self.end(call, "answer")
        call.status = response.status
        call.headers = response.headers
        call.response_body = response.body
        return response.header("connection").lower() != "close"

    async def run(self, rate):
        """Uses connections `rate` times per second until callers must stop."""
        tasks = set()
        while not self.soak.callers_stopping:
            task = asyncio.ensure_future(self.use_connection())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            burst = self.soak.burst * (
                CROWD_FACTOR if self.soak.crowded_zone else 1) * (
                OVERLOAD_FACTOR if self.soak.overloaded else 1)
            accounts = self.soak.config.accounts
            if accounts and accounts.surging:
                burst *= SURGE_FACTOR
            await asyncio.sleep(self.random.expovariate(rate * burst))
        if tasks:
            await asyncio.wait(tasks, timeout=8)

"""Stand-ins for the platform, the backends and the clients of the cases.

Everything runs in one asyncio process, on loopback addresses and the real
clock. Only the entry hosts are processes of their own. Each stand-in does what
PROTOCOL.md says of its part, and is sound unless a case tells it otherwise.
"""
import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/coriandertray-host"
TEMPLATE = ROOT / "deploy" / "host.json.in"

# The figures of sites/southlights-gw.toml and its sheet in SYSTEM.md.
BOUNDS = {"grace_period": "6s", "retry_budget_ratio": 0.2,
          "retry_window": "10s", "retry_budget_slack": 64}
GRACE_PERIOD_S = 6.0
CPU_SHARE = 0.2
MEMORY_MB = 260
HEARTBEAT_S = 1.5
PAGE_ITEMS = 50

# A case ends by itself within this time; the watchdog is for a case that hangs.
PLAY_LIMIT_S = 100
WATCHDOG_S = 115

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def is_troubled():
    """Whether the disruption of the case is to be applied."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text, echo=False):
        text = f"{self.now():8.3f}  {text}"
        self.file.write(text + "\n")
        if echo:
            print(text, flush=True)

    def close(self):
        self.file.close()


class Message:
    """An HTTP message; `first` is its first line in parts."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first[1])


class Incomplete(Exception):
    """The connection ended within a message."""


async def read_message(reader, is_response=False):
    """Reads a message; returns None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if failure.partial:
            raise Incomplete("within the head") from failure
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers, is_response)
    except asyncio.IncompleteReadError as failure:
        raise Incomplete("within the body") from failure
    return Message(lines[0].split(" ", 2), headers, body)


async def read_body(reader, headers, is_response):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if is_response:
        return await reader.read()
    return b""


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def split_address(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.objects = collections.defaultdict(dict)
        self.events = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.address), limit=4 << 20)

    def put(self, kind, name, specification):
        known = self.objects[kind].get(name)
        if known and known["specification"] == specification:
            return known
        self.revision += 1
        entry = {"metadata": {"name": name, "revision": self.revision,
                              "created": self.revision, "finalizers": [],
                              "deleting": False},
                 "specification": specification, "status": None}
        self.objects[kind][name] = entry
        self.note(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects[kind].pop(name, None)
        if entry is not None:
            self.revision += 1
            self.note(kind, entry, True)
        return entry

    def note(self, kind, entry, deleted):
        self.events.append((self.revision, kind,
                            {"object": entry, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = await self.answer(request)
                writer.write(encode(f"HTTP/1.1 {status} -",
                                    {"Content-Type": "application/json"},
                                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, Incomplete, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        await asyncio.sleep(0.004)
        method = request.first[0]
        target = urllib.parse.urlsplit(request.first[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        parts = [urllib.parse.unquote(each)
                 for each in target.path.strip("/").split("/")]
        if len(parts) < 2 or parts[0] != "objects":
            return 404, {}
        kind, name = parts[1], "/".join(parts[2:])
        if method != "GET":
            return self.write(method, kind, name, request.body)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)) / 1000)
        stored = self.objects[kind]
        if name:
            return (200, stored[name]) if name in stored else (404, {})
        names = sorted(each for each in stored if each > query.get("after", ""))
        return 200, {"items": [stored[each] for each in names[:PAGE_ITEMS]],
                     "more": len(names) > PAGE_ITEMS, "as_of": self.revision}

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            found = [event for revision, of, event in self.events
                     if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, kind, name, body):
        stored = self.objects[kind]
        if method == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        value = json.loads(body)
        if method == "POST":
            name = value["metadata"]["name"]
            if name in stored:
                return 409, stored[name]
        elif name not in stored:
            return 404, {}
        return 200, self.put(kind, name, value["specification"])


class Backend:
    """A sound backend: slots, a short queue, deadlines, cancellation.

    `work_s(request)` gives the time that a request takes. `refuses(request)`
    tells whether it is answered 503 with X-Not-Executed.
    """

    def __init__(self, deployment, name, service, address, slots, queue,
                 zone, work_s, refuses=None):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.address = address
        self.slots = slots
        self.queue = queue
        self.zone = zone
        self.work_s = work_s
        self.refuses = refuses or (lambda request: False)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.beats = None
        # When its entry was removed from the store, if it was.
        self.gone_at = None
        # (time, id, request) of each arrival, and of each run.
        self.arrivals = []
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.address), limit=1 << 20)
        self.beats = asyncio.ensure_future(self.beat())
        self.deployment.tasks.append(self.beats)

    async def beat(self):
        while True:
            self.sequence += 1
            self.deployment.store.put("servers", self.name, {
                "service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "warmup_remaining": "0ms",
                "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def headers(self, request_id):
        return {"X-Request-Id": request_id,
                "X-Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    def refusal(self, status, request_id):
        return encode(f"HTTP/1.1 {status} -",
                      {**self.headers(request_id), "X-Not-Executed": "1",
                       "X-Instance-Id": self.name})

    def signature(self, request_id):
        return f"{self.name}.{request_id}"

    async def serve(self, reader, writer):
        record = self.deployment.record
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                request_id = request.header("x-request-id", "")
                now = time.monotonic()
                self.arrivals.append((now, request_id, request))
                record.line(f"{request_id} reaches {self.name}")
                if request.header("x-target-instance", self.name) != self.name:
                    writer.write(self.refusal(421, request_id))
                    continue
                full = self.running >= self.slots and \
                    self.waiting >= self.queue
                if not request_id or full or self.refuses(request):
                    record.line(f"{request_id} refused by {self.name}, "
                                "not run")
                    writer.write(self.refusal(503 if request_id else 400,
                                              request_id))
                    continue
                if not await self.handle(request, request_id, reader, writer):
                    break
        except (ConnectionError, Incomplete, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request, request_id, reader, writer):
        """Returns whether the connection stays open."""
        deadline = time.monotonic() + \
            float(request.header("x-request-deadline", "5000")) / 1000
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        record = self.deployment.record
        try:
            if reader.at_eof():
                return False
            if time.monotonic() >= deadline:
                writer.write(self.refusal(503, request_id))
                return True
            self.runs.append((time.monotonic(), request_id, request))
            record.line(f"{request_id} begins to run at {self.name}")
            end = time.monotonic() + self.work_s(request)
            while time.monotonic() < min(end, deadline):
                if reader.at_eof() or reader.exception():
                    record.line(f"{request_id} is broken off at {self.name}: "
                                "its connection closed")
                    return False
                await asyncio.sleep(max(0.001, min(
                    0.01, min(end, deadline) - time.monotonic())))
            status = 200 if end <= deadline else 504
            record.line(f"{request_id} ends at {self.name}: {status}")
            body = f"{request_id} by {self.name}".encode()
            writer.write(encode(f"HTTP/1.1 {status} -", {
                **self.headers(request_id),
                "X-Response-Signature": self.signature(request_id)}, body))
            return True
        finally:
            self.running -= 1
            self.free.release()


def render(template, fields):
    """Fills in the placeholders {{a|json}} and {{a.b|json}}."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template)


class Host:
    """One entry host: a process, started again whenever it ends."""

    def __init__(self, deployment, index, zone):
        self.deployment = deployment
        self.name = f"frontend-{zone}-{index}"
        self.zone = zone
        self.ip = deployment.ip(1, index)
        self.frontend = f"{self.ip}:{deployment.ports['frontend']}"
        self.readiness = f"{self.ip}:{deployment.ports['readiness']}"
        self.settings = deployment.folder / f"{self.name}.json"
        self.process = None
        self.log = open(deployment.folder / f"{self.name}.log", "ab")
        self.ready = False
        self.misses = 2
        self.restarts = True
        # (time, exit code, why) of each end of the process.
        self.ends = []
        self.terminated_at = None
        self.started_at = None

    def start(self):
        first = self.deployment.ports["internal"]
        fields = {"node": self.name, "zone": self.zone, "ip_address": self.ip,
                  "listen_addresses": {"frontend": self.frontend,
                                       "readiness": self.readiness},
                  "internal_port_range": [first, first + 15],
                  "limits": {"cpu_share": CPU_SHARE, "memory_mb": MEMORY_MB},
                  "bounds": {**BOUNDS, **self.deployment.bounds},
                  "platform": {"address": self.deployment.store.address}}
        self.settings.write_text(
            render(TEMPLATE.read_text(encoding="utf-8"), fields),
            encoding="utf-8")
        self.terminated_at = None
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            [str(ROOT / PROGRAM), "--settings", str(self.settings)],
            cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "HOME": os.environ.get("HOME", "/tmp"), "LANG": "C"})

    async def supervise(self):
        """Starts the process again a short time after it ended."""
        while True:
            if self.process.poll() is not None:
                self.ends.append((time.monotonic(), self.process.returncode))
                self.deployment.record.line(
                    f"{self.name} ended with {self.process.returncode}")
                if not self.restarts:
                    return
                await asyncio.sleep(0.5)
                if not self.restarts:
                    return
                self.start()
                self.deployment.record.line(f"{self.name} starts again")
            await asyncio.sleep(0.02)

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace period."""
        process = self.process
        self.terminated_at = time.monotonic()
        self.deployment.record.line(f"{self.name} gets SIGTERM", True)
        process.send_signal(signal.SIGTERM)
        while time.monotonic() - self.terminated_at < GRACE_PERIOD_S:
            if process.poll() is not None:
                return
            await asyncio.sleep(0.02)
        process.kill()

    def kill(self):
        self.deployment.record.line(f"{self.name} gets SIGKILL", True)
        self.process.kill()

    async def poll(self):
        """Asks for readiness each second; two misses take the host out."""
        while True:
            status = await self.ask()
            self.misses = 0 if status == 200 else self.misses + 1
            ready = self.misses < 2
            if ready != self.ready:
                self.deployment.record.line(
                    f"{self.name} is {'in' if ready else 'out of'} rotation")
            self.ready = ready
            await asyncio.sleep(1)

    async def ask(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                *split_address(self.readiness)), 0.9)
            writer.write(encode("GET /readiness HTTP/1.1", {"Host": "vip"}))
            answer = await asyncio.wait_for(read_message(reader, True), 0.9)
            return answer.status if answer else None
        except (OSError, Incomplete, asyncio.TimeoutError):
            return None
        finally:
            if writer:
                writer.close()

    def resident_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0


class Deployment:
    """The hosts, the store and the backends of a case."""

    def __init__(self, folder, hosts, zones=("zone-a",), bounds=None):
        self.record = Record(folder)
        self.random = random.Random(os.environ.get("SEED"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = bounds or {}
        self.network = self.random.randrange(64, 250)
        self.zones = zones
        self.ports = {"frontend": free_port(), "readiness": free_port(),
                      "internal": free_port(16), "backend": free_port()}
        self.tasks = []
        self.store = Store(f"{self.ip(0, 0)}:{free_port()}")
        self.hosts = [Host(self, index, zones[index % len(zones)])
                      for index in range(hosts)]
        self.backends = []
        self.next_id = 0

    def ip(self, kind, index):
        return f"127.{self.network}.{kind}.{1 + index}"

    def new_id(self, prefix="q"):
        self.next_id += 1
        return f"{prefix}{self.next_id:06d}"

    def configure(self, version, rules, services, limits=None):
        """The operator writes a configuration."""
        self.store.put("config", "main", {
            "version": version,
            "services": [{"name": each, "health_check_path": "/health",
                          "max_connections": 390, "protocol": "h1",
                          "tls": False} for each in services],
            "limits": limits or {"max_header_bytes": 16384,
                                 "max_body_bytes": 67108864,
                                 "header_timeout": "3000ms",
                                 "idle_timeout": "15000ms"},
            "base_version": version - 1,
            "virtual_hosts": [{"host": "shop.example", "path_rules": rules}]})

    async def add_backend(self, service, slots, queue, work_s, refuses=None):
        index = len(self.backends)
        backend = Backend(self, f"i-{index:04x}", service,
                          f"{self.ip(2, index)}:{self.ports['backend']}", slots,
                          queue, self.zones[index % len(self.zones)], work_s,
                          refuses)
        self.backends.append(backend)
        await backend.start()
        return backend

    async def start(self):
        """Starts the hosts; raises NotRun unless all become ready."""
        if not (ROOT / PROGRAM).exists():
            raise NotRun(f"{PROGRAM} isn't built")
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            self.tasks.append(asyncio.ensure_future(host.supervise()))
            self.tasks.append(asyncio.ensure_future(host.poll()))
        for _ in range(150):
            await asyncio.sleep(0.1)
            if all(host.ready for host in self.hosts):
                # Traffic starts some seconds after the machines do.
                await asyncio.sleep(4)
                return
        raise NotRun("the hosts did not become ready")

    def choose_host(self, client, zone=None):
        """The platform's choice for a new connection of a client."""
        nodes = [each for each in self.hosts if zone in (None, each.zone)]
        ready = [each for each in nodes if each.ready]
        if 2 * len(ready) < len(nodes):
            ready = nodes
        return ready[hash((client, len(ready))) % len(ready)]

    def kill_hosts(self):
        """Ends the processes of the hosts for good."""
        for host in self.hosts:
            host.restarts = False
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()

    async def stop(self):
        for host in self.hosts:
            host.restarts = False
        # A task may miss a cancellation that meets the end of its wait, so they
        # are cancelled until they are gone.
        pending = set(self.tasks)
        for _ in range(20):
            for task in pending:
                task.cancel()
            if pending:
                _, pending = await asyncio.wait(pending, timeout=0.2)
        self.kill_hosts()
        for host in self.hosts:
            host.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class NotRun(Exception):
    """The case could not run."""


def free_port(count=1):
    """The first of `count` ports that no loopback address uses."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        held = []
        try:
            for port in range(first, first + count):
                each = socket.socket()
                held.append(each)
                each.bind(("0.0.0.0", port))
            return first
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise NotRun("no free ports")


def run_case(folder, make_deployment, play):
    """Plays a case and exits: 1 if it returns findings, 0 if none, 2 if not.

    `play(deployment)` returns the list of findings that break the rule.
    """
    async def run():
        deployment = make_deployment()
        start_watchdog(deployment)
        try:
            findings = await asyncio.wait_for(play(deployment), PLAY_LIMIT_S)
            for each in findings[:40]:
                deployment.record.line(f"BROKEN {each}", True)
            deployment.record.line(
                f"{'broken' if findings else 'held'}: {len(findings)} findings, "
                f"disruption {'on' if is_troubled() else 'off'}", True)
            return EXIT_BROKEN if findings else EXIT_HELD
        finally:
            await deployment.stop()
    try:
        code = asyncio.run(run())
    except (NotRun, OSError, asyncio.TimeoutError) as failure:
        print(f"the case could not run: {failure!r}", flush=True)
        code = EXIT_NOT_RUN
    except Exception:  # a fault of the case itself
        traceback.print_exc()
        code = EXIT_NOT_RUN
    sys.exit(code)


def start_watchdog(deployment):
    """Ends a case that hangs or is stopped, and all of its processes."""
    def end(*_):
        print("the case could not run: it did not end", flush=True)
        deployment.kill_hosts()
        shutil.rmtree(deployment.folder, ignore_errors=True)
        os._exit(EXIT_NOT_RUN)
    watchdog = threading.Timer(WATCHDOG_S, end)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)

"""A fake of the platform's object store, with fault injection."""
import asyncio
import collections
import json
import time
import urllib.parse

import messages
from links import split_address

PAGE_SIZE = 50
HISTORY_RETENTION_S = 20.0


class Store:
    """Objects by kind and name.

    Each host connects to its own address, so that faults can be applied to
    single hosts. `mode` is ok, silent, busy (503), many (429) or reset;
    `host_modes` overrides it by host.
    """

    def __init__(self, random):
        self.random = random
        self.objects = collections.defaultdict(dict)
        self.events = collections.deque()
        self.revision = 100
        # Events up to this revision are no longer in the history.
        self.compacted_revision = 0
        self.mode = "ok"
        self.host_modes = {}
        self.delay_s = 0.0
        # Share of the writes that get no response; they are applied at once or
        # up to 4 s later.
        self.lost_write_share = 0.0
        self.watch_stalled_until = 0.0
        self.calls = 0
        self.changed = asyncio.Event()
        # [start, end] of each fault; `end` may lie in the future.
        self.fault_intervals = []

    async def start(self, address, host):
        async def serve(reader, writer):
            await self.serve(reader, writer, host)
        return await asyncio.start_server(serve, *split_address(address))

    @property
    def healthy(self):
        return self.mode == "ok" and not self.delay_s and \
            not self.lost_write_share

    # Writes by backend servers and the operator.
    def put(self, kind, name, specification):
        self.revision += 1
        entry = {"metadata": {"name": name, "revision": self.revision,
                              "finalizers": [], "deleting": False},
                 "specification": specification, "status": None}
        self.objects[kind][name] = entry
        self.record_event(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects[kind].pop(name, None)
        if entry is not None:
            self.revision += 1
            self.record_event(kind, entry, True)
        return entry

    def record_event(self, kind, entry, deleted):
        """Adds an event for watches and drops events past the retention."""
        now = time.monotonic()
        self.events.append((self.revision, now, kind,
                            {"object": entry, "deleted": deleted}))
        while self.events and now - self.events[0][1] > HISTORY_RETENTION_S:
            self.compacted_revision = self.events.popleft()[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drops the event history; watches from before get status 410."""
        self.compacted_revision = self.revision
        self.events.clear()

    async def serve(self, reader, writer, host):
        try:
            while True:
                request = await messages.read_message(reader)
                if request is None:
                    break
                if not await self.handle_request(writer, request, host):
                    break
        except (messages.MessageError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            messages.reset(writer)

    async def handle_request(self, writer, request, host):
        """Answers a request; returns whether the connection stays open."""
        self.calls += 1
        mode = self.host_modes.get(host, self.mode)
        if mode == "silent":
            await asyncio.sleep(30)
            return False
        if mode == "reset":
            return False
        if mode in ("busy", "many"):
            status = 503 if mode == "busy" else 429
            writer.write(messages.make_response(status, b"{}"))
            return True
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        target = urllib.parse.urlsplit(request.start_line[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        parts = target.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "objects":
            writer.write(messages.make_response(404, b"{}"))
            return True
        kind, name = parts[1], "/".join(parts[2:])
        is_write = request.start_line[0] != "GET"
        if is_write and self.random.random() < self.lost_write_share:
            if self.random.random() < 0.5:
                asyncio.get_running_loop().call_later(
                    self.random.uniform(1, 4), self.write, request, kind, name)
            else:
                self.write(request, kind, name)
            return False
        if is_write:
            status, body = self.write(request, kind, name)
        elif "watch" in query:
            status, body = await self.watch(kind, query)
        else:
            status, body = self.read(kind, name, query)
        writer.write(messages.make_response(
            status, json.dumps(body).encode(),
            {"Content-Type": "application/json"}))
        await writer.drain()
        return True

    def read(self, kind, name, query):
        stored = self.objects[kind]
        if name:
            return (200, stored[name]) if name in stored else (404, {})
        names = sorted(each for each in stored if each > query.get("after", ""))
        return 200, {"items": [stored[each] for each in names[:PAGE_SIZE]],
                     "more": len(names) > PAGE_SIZE, "as_of": self.revision}

    async def watch(self, kind, query):
        """Long poll: waits for events after the revision in the query."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if since < self.compacted_revision:
                return 410, {}
            found = [event for revision, _, of, event in self.events
                     if of == kind and revision > since]
            now = time.monotonic()
            if found and now >= self.watch_stalled_until:
                return 200, {"events": found, "as_of": self.revision}
            if now >= end:
                return 200, {"events": [], "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now)
            except asyncio.TimeoutError:
                pass

    def write(self, request, kind, name):
        stored = self.objects[kind]
        if request.start_line[0] == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        body = json.loads(request.body)
        is_create = request.start_line[0] == "POST"
        if is_create:
            name = body["metadata"]["name"]
        if is_create and name in stored:
            return 409, stored[name]
        if not is_create and name not in stored:
            return 404, {}
        if not is_create and \
                stored[name]["specification"] == body["specification"]:
            return 200, stored[name]
        return 200, self.put(kind, name, body["specification"])

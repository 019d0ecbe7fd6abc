"""The stand-in of the platform's object store, with its faults."""
import asyncio
import collections
import json
import time
import urllib.parse

import messages
from links import split

PAGE = 50
HISTORY_S = 20.0


class Store:
    """Objects by kind and name. Each host calls at an address of its own, so
    that single ones can be refused."""

    def __init__(self, random):
        self.random = random
        self.objects = collections.defaultdict(dict)
        self.events = collections.deque()
        self.revision = 100
        self.forgotten = 0
        self.mode = "ok"
        self.refused = {}
        self.slow_s = 0.0
        self.lost_share = 0.0
        self.deaf_until = 0.0
        self.calls = 0
        self.changed = asyncio.Event()
        self.disturbed = []

    async def start(self, address, host):
        async def serve(reader, writer):
            await self.serve(reader, writer, host)
        return await asyncio.start_server(serve, *split(address))

    @property
    def healthy(self):
        return self.mode == "ok" and not self.slow_s and not self.lost_share

    # What servers and the operator write.
    def put(self, kind, name, specification):
        self.revision += 1
        entry = {"metadata": {"name": name, "revision": self.revision,
                              "finalizers": [], "deleting": False},
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
        now = time.monotonic()
        self.events.append((self.revision, now, kind,
                            {"object": entry, "deleted": deleted}))
        while self.events and now - self.events[0][1] > HISTORY_S:
            self.forgotten = self.events.popleft()[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drops the history; watches hear nothing for a second before."""
        self.forgotten = self.revision
        self.events.clear()

    async def serve(self, reader, writer, host):
        try:
            while True:
                request = await messages.read_message(reader)
                if request is None:
                    break
                if not await self.answer(writer, request, host):
                    break
        except (messages.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            messages.reset(writer)

    async def answer(self, writer, request, host):
        """Returns whether the connection goes on."""
        self.calls += 1
        mode = self.refused.get(host, self.mode)
        if mode == "silent":
            await asyncio.sleep(30)
            return False
        if mode == "reset":
            return False
        if mode in ("busy", "many"):
            status = 503 if mode == "busy" else 429
            writer.write(messages.make_answer(status, b"{}"))
            return True
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        target = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        parts = target.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "objects":
            writer.write(messages.make_answer(404, b"{}"))
            return True
        kind, name = parts[1], "/".join(parts[2:])
        is_write = request.start[0] != "GET"
        if is_write and self.random.random() < self.lost_share:
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
        writer.write(messages.make_answer(
            status, json.dumps(body).encode(),
            {"Content-Type": "application/json"}))
        await writer.drain()
        return True

    def read(self, kind, name, query):
        held = self.objects[kind]
        if name:
            return (200, held[name]) if name in held else (404, {})
        names = sorted(each for each in held if each > query.get("after", ""))
        return 200, {"items": [held[each] for each in names[:PAGE]],
                     "more": len(names) > PAGE, "as_of": self.revision}

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if since < self.forgotten:
                return 410, {}
            found = [event for revision, _, of, event in self.events
                     if of == kind and revision > since]
            now = time.monotonic()
            if found and now >= self.deaf_until:
                return 200, {"events": found, "as_of": self.revision}
            if now >= end:
                return 200, {"events": [], "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now)
            except asyncio.TimeoutError:
                pass

    def write(self, request, kind, name):
        held = self.objects[kind]
        if request.start[0] == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        body = json.loads(request.body)
        creates = request.start[0] == "POST"
        if creates:
            name = body["metadata"]["name"]
        if creates and name in held:
            return 409, held[name]
        if not creates and name not in held:
            return 404, {}
        if not creates and held[name]["specification"] == body["specification"]:
            return 200, held[name]
        return 200, self.put(kind, name, body["specification"])

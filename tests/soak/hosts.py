"""Entry hosts as processes of their own, behind links to store and peers."""
import asyncio
import json
import os
import pathlib
import signal
import subprocess
import time

import messages
from links import Link, split

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get(
    "CORIANDERTRAY_BIN", ROOT / "build" / "bin")) / "coriandertray-host"
GRACE_S = 6.0
ZONES = ("a", "b", "c")


class Host:
    """One entry host; it is started again whenever it ends."""

    def __init__(self, world, index):
        self.world = world
        self.name = f"host-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.ip = world.ip(2, index)
        self.listen = f"{self.ip}:8500"
        self.readiness = f"{self.ip}:8501"
        self.folder = world.out / self.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store_address = f"{world.ip(1, index)}:8400"
        self.store_link = Link(f"{world.ip(1, index)}:8401", self.store_address)
        self.peer_link = Link(f"{world.ip(3, index)}:7600", f"{self.ip}:7540")
        self.store_server = None
        self.process = None
        self.incarnation = 0
        self.ready = False
        self.misses = 2
        # (start, end, kind): what was done to it; `end` may lie ahead.
        self.disturbances = []
        self.expected_end = False

    def disturb(self, kind, seconds):
        now = time.monotonic()
        self.disturbances.append([now, now + seconds, kind])

    def was_disturbed(self, start, end, other_than=()):
        return any(begin <= end and until >= start and kind not in other_than
                   for begin, until, kind in self.disturbances)

    async def prepare(self):
        self.store_server = await self.world.store.start(self.store_address,
                                                         self.name)
        await self.store_link.start()
        await self.peer_link.start()
        settings = {
            "host": self.name, "zone": self.zone, "ip": self.ip,
            "listen": self.listen, "readiness": self.readiness,
            "first_internal_port": 7540, "peer_address": self.peer_link.listen,
            "cpu_share": 0.2, "grace_period": f"{GRACE_S:g}s",
            "retry_ratio": 0.2, "retry_window": "10s",
            "retry_slack": self.world.retry_slack,
            "platform": self.store_link.listen}
        (self.folder / "settings.json").write_text(json.dumps(settings))

    def stop_listening(self):
        self.store_link.stop()
        self.peer_link.stop()
        if self.store_server:
            self.store_server.close()

    def start(self):
        self.incarnation += 1
        self.expected_end = False
        self.disturb("start", 0)
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--settings", str(self.folder / "settings.json")],
            stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.expected_end = True
        self.disturb("kill", 0)
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def terminate(self):
        """As the platform stops a process; it gets to start again after it."""
        self.expected_end = True
        self.disturb("term", GRACE_S + 1)
        entry = self.disturbances[-1]
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        process = self.process
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.world.checks.fail("LEAVES", f"{self.name} outlived its grace")
            process.kill()
        entry[1] = time.monotonic()

    async def pause(self, seconds):
        self.disturb("pause", seconds)
        process = self.process
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def keep(self):
        """Starts it again after each end."""
        while not self.world.over:
            if self.process.poll() is not None:
                if not self.expected_end:
                    self.world.checks.fail(
                        "ENDS", f"{self.name} ended by itself: "
                        f"{self.process.returncode}")
                await asyncio.sleep(self.world.random.uniform(0.2, 0.8))
                self.start()
            await asyncio.sleep(0.02)

    async def ask_readiness(self):
        """The balancer: two misses in a row take a host out."""
        while not self.world.over:
            answered = False
            writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*split(self.readiness)), 0.8)
                writer.write(messages.make_request(
                    "GET", "/readiness", {"Host": "balancer"}))
                answer = await asyncio.wait_for(
                    messages.read_message(reader, True), 0.8)
                answered = answer is not None and answer.status == 200
            except (OSError, asyncio.TimeoutError, messages.Broken):
                pass
            finally:
                if writer:
                    messages.reset(writer)
            self.misses = 0 if answered else self.misses + 1
            self.ready = self.misses < 2
            await asyncio.sleep(1)

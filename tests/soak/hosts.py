"""Entry hosts as processes, connected to the store and to peers by links."""
import asyncio
import json
import os
import pathlib
import signal
import subprocess
import time

import messages
from links import Link, split_address

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get(
    "CORIANDERTRAY_BIN", ROOT / "build" / "bin")) / "coriandertray-host"
GRACE_PERIOD_S = 6.0
ZONES = ("a", "b", "c")
# By how much an account may exceed its quota; see the design page of accounts.
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20


class Host:
    """One entry host process; it is restarted whenever it exits."""

    def __init__(self, soak, index):
        self.soak = soak
        self.name = f"host-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.ip = soak.ip(2, index)
        self.listen = f"{self.ip}:8500"
        self.readiness = f"{self.ip}:8501"
        self.folder = soak.out / self.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store_address = f"{soak.ip(1, index)}:8400"
        self.store_link = Link(f"{soak.ip(1, index)}:8401", self.store_address)
        self.peer_link = Link(f"{soak.ip(3, index)}:7600", f"{self.ip}:7540")
        self.store_server = None
        self.process = None
        self.incarnation = 0
        self.ready = False
        self.failed_polls = 2
        # (start, end, kind) of each fault applied to it; `end` may lie in the
        # future.
        self.fault_intervals = []
        self.exit_expected = False

    def record_fault(self, kind, seconds):
        now = time.monotonic()
        self.fault_intervals.append([now, now + seconds, kind])

    def had_fault(self, start, end, other_than=()):
        return any(begin <= end and until >= start and kind not in other_than
                   for begin, until, kind in self.fault_intervals)

    async def prepare(self):
        """Starts the links and writes the settings file."""
        self.store_server = await self.soak.store.start(self.store_address,
                                                        self.name)
        await self.store_link.start()
        await self.peer_link.start()
        settings = {
            "host": self.name, "zone": self.zone, "ip": self.ip,
            "listen": self.listen, "readiness": self.readiness,
            "first_internal_port": 7540, "peer_address": self.peer_link.listen,
            "cpu_share": 0.2, "memory_mb": 260,
            "grace_period": f"{GRACE_PERIOD_S:g}s",
            "retry_ratio": 0.2, "retry_window": "10s",
            "retry_slack": self.soak.retry_slack,
            "quota_window": f"{QUOTA_WINDOW_S:g}s",
            "quota_overshoot": QUOTA_OVERSHOOT, "quota_slack": QUOTA_SLACK,
            "platform": self.store_link.listen}
        (self.folder / "settings.json").write_text(json.dumps(settings))

    def stop_listening(self):
        self.store_link.stop()
        self.peer_link.stop()
        if self.store_server:
            self.store_server.close()

    def start(self):
        self.incarnation += 1
        self.exit_expected = False
        self.record_fault("start", 0)
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--settings", str(self.folder / "settings.json")],
            stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.exit_expected = True
        self.record_fault("kill", 0)
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def terminate(self):
        """Stops the process as the platform does: SIGTERM and a grace period.

        supervise() starts it again.
        """
        self.exit_expected = True
        self.record_fault("term", GRACE_PERIOD_S + 1)
        entry = self.fault_intervals[-1]
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_PERIOD_S
        process = self.process
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.soak.checks.fail("LEAVES", f"{self.name} did not exit in time")
            process.kill()
        entry[1] = time.monotonic()

    async def pause(self, seconds):
        """Suspends the process with SIGSTOP."""
        self.record_fault("pause", seconds)
        process = self.process
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def supervise(self):
        """Restarts the process after each exit; reports unexpected exits."""
        while not self.soak.stopping:
            if self.process.poll() is not None:
                if not self.exit_expected:
                    self.soak.checks.fail(
                        "ENDS", f"{self.name} exited unexpectedly: "
                        f"{self.process.returncode}")
                await asyncio.sleep(self.soak.random.uniform(0.2, 0.8))
                self.start()
            await asyncio.sleep(0.02)

    async def ask_reader(self):
        """The name of the host that reads the store for the others, or None."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 7541), 0.5)
            writer.write(messages.make_request("GET", "/state",
                                               {"Host": "operator"}))
            response = await asyncio.wait_for(
                messages.read_message(reader, True), 0.5)
            return json.loads(response.body)["view"]["reader"]
        except (OSError, asyncio.TimeoutError, messages.MessageError,
                AttributeError, KeyError, ValueError):
            return None
        finally:
            if writer:
                messages.reset(writer)

    async def poll_readiness(self):
        """Polls readiness as the load balancer does.

        The host is not ready after two failed polls in a row.
        """
        while not self.soak.stopping:
            is_ready = False
            writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*split_address(self.readiness)),
                    0.8)
                writer.write(messages.make_request(
                    "GET", "/readiness", {"Host": "balancer"}))
                response = await asyncio.wait_for(
                    messages.read_message(reader, True), 0.8)
                is_ready = response is not None and response.status == 200
            except (OSError, asyncio.TimeoutError, messages.MessageError):
                pass
            finally:
                if writer:
                    messages.reset(writer)
            self.failed_polls = 0 if is_ready else self.failed_polls + 1
            self.ready = self.failed_polls < 2
            await asyncio.sleep(1)

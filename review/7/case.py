"""A rolling restart stops a host while it is frozen."""
import asyncio
import collections
import itertools
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import RESTART_DELAY_S, Fleet, Record, config, free_port, rule, \
    run_case, trouble  # noqa: E402
import messages  # noqa: E402
from backend import start_backends  # noqa: E402

RATE = 160.0
# Eight in the zone of the clients, two in another one.
HOSTS = 10
ZONES = ("a", "a", "a", "a", "b")
WORK_S = 0.35
DEADLINE_MS = 4000
GRACE_PERIOD_S = 6.0
STABLE_WINDOW_S = 3.0
TERM_AT_S = 8.0
# The freeze begins before the SIGTERM and ends after it.
FREEZE_S = 3.5
FREEZE_BEFORE_S = 1.5
RUN_S = 17.0
# The rolling restart: so many hosts at a time, with this pause.
ROLL_STEP = 2
ROLL_GAP_S = 1.3
# A request sent sooner after the SIGTERM may be cut while its server works.
EXCUSED_S = 3.0


class Call:
    def __init__(self, number, host):
        self.id = f"q{number:06d}"
        self.host = host
        self.sent = time.monotonic()
        self.ended = None
        self.outcome = "no connection"


class Case:
    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.zone_hosts = [host for host in fleet.hosts if host.zone == "a"]
        self.misses = {host: 0 for host in self.zone_hosts}
        self.calls = []
        self.numbers = itertools.count(1)
        self.stopping = False
        self.woken = 0.0

    async def ask_readiness(self, host):
        """Two misses in a row take a host out of the rotation."""
        while not self.stopping:
            self.misses[host] = 0 if await host.is_ready() else \
                self.misses[host] + 1
            await asyncio.sleep(1.0)

    def pick_host(self):
        """All hosts of the zone if fewer than half of them are in rotation."""
        in_rotation = [host for host in self.zone_hosts
                       if self.misses[host] < 2]
        if 2 * len(in_rotation) < len(self.zone_hosts):
            in_rotation = self.zone_hosts
        return random.choice(in_rotation)

    async def call(self):
        this = Call(next(self.numbers), self.pick_host())
        self.calls.append(this)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                this.host.ip, self.fleet.frontend_port), 1.0)
            this.outcome = "no answer"
            this.sent = time.monotonic()
            writer.write(messages.make_request("POST", "/book/1", {
                "Host": "shop.example", "X-Request-Id": this.id,
                "X-Request-Deadline": str(DEADLINE_MS)}, b"x" * 1000))
            answer = await asyncio.wait_for(
                messages.read_message(reader, True), DEADLINE_MS / 1000)
            this.outcome = answer.status if answer else "closed"
        except asyncio.TimeoutError:
            pass
        except (OSError, messages.MessageError):
            if this.outcome == "no answer":
                this.outcome = "closed"
        finally:
            this.ended = time.monotonic()
            if writer:
                writer.close()

    async def load(self):
        tasks = []
        start = time.monotonic()
        for number in range(int(RATE * RUN_S)):
            await asyncio.sleep(max(0, start + number / RATE -
                                    time.monotonic()))
            tasks.append(asyncio.ensure_future(self.call()))
        await asyncio.gather(*tasks)

    async def freeze(self, host):
        self.record.write(f"{host.name} freezes")
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        host.signal(signal.SIGCONT)
        self.woken = time.monotonic()
        self.record.write(f"{host.name} wakes")

    async def restart(self, host):
        """SIGTERM, and SIGKILL after the grace period."""
        self.record.write(f"SIGTERM to {host.name}")
        host.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_PERIOD_S
        while host.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if host.is_running():
            self.record.write(f"SIGKILL to {host.name}")
            host.signal(signal.SIGKILL)
            host.process.wait()
        self.record.write(f"{host.name} has ended")
        await asyncio.sleep(RESTART_DELAY_S)
        host.start()

    async def run(self, backends):
        self.fleet.store.put("config", "main", config(
            7, ["crewdesk"], [rule("/book/", "unsafe", "crewdesk", "1500ms")]))
        await self.fleet.start()
        polls = [asyncio.ensure_future(self.ask_readiness(host))
                 for host in self.zone_hosts]
        load = asyncio.ensure_future(self.load())
        await asyncio.sleep(TERM_AT_S - FREEZE_BEFORE_S)
        first = self.zone_hosts[0]
        frozen = asyncio.ensure_future(
            self.freeze(first) if trouble() else asyncio.sleep(FREEZE_S))
        await asyncio.sleep(FREEZE_BEFORE_S)
        term = time.monotonic()
        restarts = []
        for number, host in enumerate(self.zone_hosts):
            await asyncio.sleep(max(0, term + number // ROLL_STEP * ROLL_GAP_S -
                                    time.monotonic()))
            restarts.append(asyncio.ensure_future(self.restart(host)))
        await frozen
        await load
        await asyncio.gather(*restarts)
        self.stopping = True
        await asyncio.gather(*polls)
        return self.judge(backends, first, term)

    def judge(self, backends, host, term):
        ran = {request_id for backend in backends
               for _, request_id, did_run in backend.arrivals if did_run}
        lost = [each for each in self.calls if each.outcome == "closed"
                and each.host is host and each.id in ran
                and each.sent > term + EXCUSED_S
                and each.sent >= self.woken + STABLE_WINDOW_S
                and each.ended - each.sent < 1.4]
        for each in self.calls:
            self.record.write(
                f"{each.id} to {each.host.name} sent at "
                f"{each.sent - self.record.started:.3f}: {each.outcome} at "
                f"{each.ended - self.record.started:.3f}"
                f"{', ran' if each.id in ran else ''}"
                f"{', LOST' if each in lost else ''}")
        outcomes = dict(collections.Counter(each.outcome
                                            for each in self.calls))
        text = (f"{len(lost)} requests that a server had begun, sent "
                f"{min([each.sent - term for each in lost], default=0):.1f} s "
                f"or later after the SIGTERM, lost their connection; "
                f"outcomes {outcomes}")
        self.record.write(text)
        print(text)
        return 1 if lost else 0


async def case():
    record = Record(HERE)
    fleet = Fleet(hosts=HOSTS, zones=ZONES)
    backends = []
    try:
        backends = await start_backends(
            fleet, "crewdesk", 32, free_port(
                [fleet.ip(100 + index) for index in range(32)]), work_s=WORK_S)
        return await Case(record, fleet).run(backends)
    finally:
        for backend in backends:
            backend.stop()
        fleet.stop()
        record.close()


run_case(case)

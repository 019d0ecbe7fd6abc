"""Releases servers of a service, three at a time, while all shed load."""
import asyncio
import itertools
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Fleet, Record, config, free_port, rule, run_case, \
    trouble  # noqa: E402
from backend import Backend  # noqa: E402
from budget import judge  # noqa: E402
from client import steady_load  # noqa: E402

RATE = 55.5
SERVERS = 47
SHED_SHARE = 0.55
SHED_AT_S = 12.0
SHED_FOR_S = 8.5
# Releases of so many servers each, so many in all, and this long apart.
RELEASED = 21
RELEASE_STEP = 3
RELEASE_GAP_S = 3.0
RELEASE_AT_S = 6.0
# How long a leaving server serves after the store has accepted its report.
DRAIN_S = 2.1


class Case:
    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.numbers = itertools.count()
        self.port = free_port([fleet.ip(100 + index) for index in range(60)])
        self.backends = []
        self.shed_share = 0.0

    async def add(self):
        number = next(self.numbers)
        backend = Backend(self.fleet, "crewdesk", f"i-{number:03d}",
                          ("a", "b", "c")[number % 3],
                          f"{self.fleet.ip(100 + number)}:{self.port}")
        backend.shed_share = self.shed_share
        self.backends.append(backend)
        await backend.start()

    async def release(self):
        await asyncio.sleep(RELEASE_AT_S)
        for first in range(0, RELEASED, RELEASE_STEP):
            for _ in range(RELEASE_STEP):
                await self.add()
            leaving = self.backends[first:first + RELEASE_STEP]
            self.record.write(f"{[each.name for each in leaving]} leave")
            await asyncio.gather(*[each.drain_and_leave(DRAIN_S)
                                   for each in leaving])
            await asyncio.sleep(RELEASE_GAP_S - DRAIN_S)

    async def shed(self):
        await asyncio.sleep(SHED_AT_S)
        for share, seconds in ((SHED_SHARE, SHED_FOR_S), (0.0, 0.0)):
            self.shed_share = share
            for backend in self.backends:
                backend.shed_share = share
            self.record.write(f"all servers shed {share} of their requests")
            await asyncio.sleep(seconds)

    async def run(self):
        for _ in range(SERVERS):
            await self.add()
        self.fleet.store.put("config", "main", config(
            7, ["crewdesk"], [rule("/book/", "unsafe", "crewdesk")]))
        await self.fleet.start()
        calls = []
        await asyncio.gather(
            steady_load(self.fleet, RATE, SHED_AT_S + 14, "POST", "/book/1",
                        4000, calls, b"x" * 1000),
            self.shed(), *([self.release()] if trouble() else []))
        return judge(self.record, self.backends, calls, self.fleet.bounds)


async def case():
    record = Record(HERE)
    fleet = Fleet(hosts=6)
    this = Case(record, fleet)
    try:
        return await this.run()
    finally:
        for backend in this.backends:
            backend.stop()
        fleet.stop()
        record.close()


run_case(case)

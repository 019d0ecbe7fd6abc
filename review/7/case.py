"""Kills the allocator of a service once, while its servers shed load."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Fleet, Record, config, free_port, rule, run_case, \
    trouble  # noqa: E402
from backend import start_backends  # noqa: E402
from budget import judge  # noqa: E402
from client import steady_load  # noqa: E402

RATE = 55.5
SERVERS = 16
SHED_SHARE = 0.55
SHED_AT_S = 12.0
SHED_FOR_S = 8.5
KILL_AFTER_S = 4.0


async def case():
    record = Record(HERE)
    fleet = Fleet(hosts=6)
    backends = []
    try:
        backends = await start_backends(
            fleet, "crewdesk", SERVERS, free_port(
                [fleet.ip(100 + index) for index in range(SERVERS)]))
        fleet.store.put("config", "main", config(
            7, ["crewdesk"], [rule("/book/", "unsafe", "crewdesk")]))
        await fleet.start()
        calls = []
        load = asyncio.ensure_future(steady_load(
            fleet, RATE, SHED_AT_S + 14, "POST", "/book/1", 4000, calls,
            b"x" * 1000))
        await asyncio.sleep(SHED_AT_S)
        for backend in backends:
            backend.shed_share = SHED_SHARE
        record.write(f"all servers shed {SHED_SHARE} of their requests")
        await asyncio.sleep(KILL_AFTER_S)
        name = (await fleet.hosts[0].state())["slots"]["pools"]["crewdesk"][
            "allocator"]
        host = next(each for each in fleet.hosts if each.name == name)
        record.write(f"{name} is the allocator of crewdesk")
        if trouble():
            record.write(f"SIGKILL to {name}")
            await host.kill_and_restart()
            record.write(f"{name} is started again")
        await asyncio.sleep(SHED_FOR_S - KILL_AFTER_S)
        for backend in backends:
            backend.shed_share = 0.0
        record.write("the servers shed no more")
        await load
        return judge(record, backends, calls, fleet.bounds)
    finally:
        for backend in backends:
            backend.stop()
        fleet.stop()
        record.close()


run_case(case)

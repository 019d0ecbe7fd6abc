"""A host that leaves drops pipelined requests that it has passed on."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import clients
import standins

HOSTS = 3
CLIENTS = 24
# Safe requests that a client sends before the first one is answered.
ROW = 3
TRAFFIC_S = 14.0
TERMINATE_AT_S = 5.0
GAP_S = 1.3
DEADLINE_S = 3.0
TIMEOUT_S = 1.5


def work_s(random):
    """The work of `skyread`: 180 ms, at times seven times as long."""
    seconds = random.lognormvariate(0, 0.5) * 0.18 / 1.13
    if random.random() < 0.03:
        seconds *= 7
    return min(seconds, 1.9)


async def use_connection(deployment, client, calls, end):
    """Sends rows of requests on one connection until it closes."""
    record = deployment.record
    host = deployment.choose_host(client)
    try:
        reader, writer = await clients.connect(host)
    except (OSError, asyncio.TimeoutError):
        await asyncio.sleep(0.2)
        return
    stays_open = True
    try:
        while stays_open and time.monotonic() < end:
            row = [clients.Call(deployment.new_id(), host, time.monotonic(),
                                "GET", DEADLINE_S, behind=index > 0)
                   for index in range(ROW)]
            calls += row
            for call in row:
                record.line(f"{call.id} is sent to {host.name}"
                            f"{', behind another' if call.behind else ''}")
                writer.write(clients.request_bytes(call, "/read/1"))
            await writer.drain()
            for call in row:
                call.terminated_at = host.terminated_at
                stays_open = await clients.await_answer(
                    call, reader, record, DEADLINE_S + 2.0) and stays_open
            await asyncio.sleep(deployment.random.uniform(0.05, 0.4))
    except ConnectionError:
        pass
    finally:
        writer.close()


async def run_client(deployment, client, calls, end):
    while time.monotonic() < end:
        await use_connection(deployment, client, calls, end)


async def roll(deployment):
    await asyncio.sleep(TERMINATE_AT_S)
    tasks = []
    for host in deployment.hosts:
        tasks.append(asyncio.ensure_future(host.terminate()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


def lost(call, arrivals):
    """Whether rule LOST counts this request; returns why, or None.

    Only requests behind another one, and only before the last sixth of the
    grace period.
    """
    if not call.behind or call.outcome != "cut" or call.terminated_at is None or \
            call.id not in arrivals:
        return None
    ended = call.ended - call.terminated_at
    if not 0 <= ended < standins.GRACE_PERIOD_S * 5 / 6 or \
            call.ended - call.sent >= TIMEOUT_S:
        return None
    return (f"LOST {call.id}: passed on to {arrivals[call.id][1]}, its "
            f"connection ended without an answer {ended:.2f} s after the "
            f"SIGTERM of {call.host.name}")


async def play(deployment):
    random = deployment.random
    await deployment.store.start()
    for _ in range(13):
        await deployment.add_backend("auroracast", 2, 8,
                                     lambda request: work_s(random))
    deployment.configure(7, [{
        "name": "r-read", "path_prefix": "/read/", "kind": "safe",
        "timeout": "1500ms", "target_latency": "600ms", "priority": 2,
        "service": "auroracast", "max_attempts": 2}], ["auroracast"])
    await deployment.start()
    calls = []
    end = time.monotonic() + TRAFFIC_S
    tasks = [run_client(deployment, client, calls, end)
             for client in range(CLIENTS)]
    if standins.is_troubled():
        tasks.append(roll(deployment))
    await asyncio.gather(*tasks)
    answered = sum(call.outcome == "answer" for call in calls)
    deployment.record.line(f"{len(calls)} requests, {answered} answered", True)
    if answered < len(calls) / 2:
        raise standins.NotRun("too few requests were answered")
    arrivals = {}
    for backend in deployment.backends:
        for at, request_id, _ in backend.arrivals:
            arrivals.setdefault(request_id, (at, backend.name))
    return [why for why in (lost(call, arrivals) for call in calls) if why]


standins.run_case(FOLDER, lambda: standins.Deployment(FOLDER, HOSTS), play)

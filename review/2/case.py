"""The next reader of the server list keeps servers that are gone."""
import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import clients
import standins

HOSTS = 6
BACKENDS = 8
RATE_PER_S = 60
DEADLINE_S = 4.0
DRAIN_TIMEOUT_S = 2.0
STABLE_WINDOW_S = 3.0
FREEZE_S = 4.0
# The entry of a backend that leaves is removed this long after the freeze began.
REMOVAL_DELAY_S = 0.3
# How long the backend goes on serving after that.
SERVES_ON_S = 9.0
ROUNDS = 2
ROUND_S = 14.0


async def reader_of(deployment):
    """The host that reads the platform for the others, by its state page."""
    for host in deployment.hosts:
        port = deployment.ports["internal"] + 1
        reader, writer = await asyncio.open_connection(host.ip, port)
        writer.write(standins.encode("GET /state HTTP/1.1", {"Host": "x"}))
        answer = await standins.read_message(reader, True)
        writer.close()
        name = json.loads(answer.body)["view"]["reader"]
        return next(each for each in deployment.hosts if each.name == name)


async def send_traffic(deployment, calls, end):
    tasks = set()
    while time.monotonic() < end:
        host = deployment.choose_host(deployment.random.randrange(144))
        call = clients.Call(deployment.new_id(), host, time.monotonic(), "POST",
                            DEADLINE_S)
        calls.append(call)
        task = asyncio.ensure_future(
            clients.send_one(deployment, call, "/join/1", b"x" * 4000))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(deployment.random.expovariate(RATE_PER_S))
    if tasks:
        await asyncio.wait(tasks, timeout=8)


async def leave(deployment, backend):
    """A backend leaves without a word: its entry goes, and it serves on."""
    backend.beats.cancel()
    deployment.store.remove("servers", backend.name)
    backend.gone_at = time.monotonic()
    deployment.record.line(f"the entry of {backend.name} is removed", True)
    await asyncio.sleep(SERVES_ON_S)
    backend.server.close()


async def play_rounds(deployment, frozen):
    for number in range(ROUNDS):
        start = time.monotonic()
        reader = await reader_of(deployment)
        process = reader.process
        if standins.is_troubled():
            deployment.record.line(f"{reader.name} freezes", True)
            frozen.append([reader, time.monotonic(), time.monotonic() + 99])
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(REMOVAL_DELAY_S)
        leaving = asyncio.ensure_future(
            leave(deployment, deployment.backends[number]))
        await asyncio.sleep(FREEZE_S - REMOVAL_DELAY_S)
        if standins.is_troubled():
            process.send_signal(signal.SIGCONT)
            frozen[-1][2] = time.monotonic()
            deployment.record.line(f"{reader.name} goes on", True)
        await leaving
        await asyncio.sleep(start + ROUND_S - time.monotonic())


def was_frozen(frozen, host, start, end):
    return any(each is host and since <= end and until >= start
               for each, since, until in frozen)


async def play(deployment):
    random = deployment.random
    await deployment.store.start()
    for _ in range(BACKENDS):
        await deployment.add_backend(
            "subroll", 2, 8,
            lambda request: min(1.4, random.lognormvariate(0, 0.5) * 0.125))
    deployment.configure(7, [{
        "name": "r-join", "path_prefix": "/join/", "kind": "unsafe",
        "timeout": "2000ms", "target_latency": "600ms", "priority": 1,
        "service": "subroll", "max_attempts": 2}], ["subroll"])
    await deployment.start()
    calls, frozen = [], []
    end = time.monotonic() + ROUNDS * ROUND_S
    await asyncio.gather(send_traffic(deployment, calls, end),
                         play_rounds(deployment, frozen))
    by_id = {call.id: call for call in calls}
    answered = sum(call.outcome == "answer" for call in calls)
    deployment.record.line(f"{len(calls)} requests, {answered} answered", True)
    findings = []
    for backend in deployment.backends:
        if backend.gone_at is None:
            continue
        for at, request_id, _ in backend.arrivals:
            call = by_id.get(request_id)
            late = at - backend.gone_at
            if call is None or late <= DRAIN_TIMEOUT_S:
                continue
            if was_frozen(frozen, call.host, at - STABLE_WINDOW_S - 3, at):
                continue
            findings.append(
                f"DRAIN {request_id}: reaches {backend.name} {late:.2f} s after "
                f"its entry was removed, from {call.host.name}")
    return findings


standins.run_case(FOLDER, lambda: standins.Deployment(FOLDER, HOSTS), play)

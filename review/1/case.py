"""Hosts that leave take new requests until they end, and break them off."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import clients
import standins

HOSTS = 5
# roll_term as in the site file: two at a time, a second apart.
AT_A_TIME = 2
GAP_S = 1.0
RATE_PER_S = 124
TRAFFIC_S = 40.0
# Each host is stopped once in each of the two rolls.
ROLLS_AT_S = (4.0, 22.0)
TIMEOUT_S = 2.0
DEADLINE_S = 4.0
LOSS_SLACK_S = 0.2
# A request that was sent by then, and at which its backend is still at work in
# the last sixth of the grace period, may be cut.
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = standins.GRACE_PERIOD_S * 5 / 6


def work_s(random):
    """The work of `alertjoin`: 140 ms, at times seven times as long."""
    seconds = random.lognormvariate(0, 0.5) * 0.14 / 1.13
    if random.random() < 0.03:
        seconds *= 7
    return min(seconds, 1.4)


async def send_traffic(deployment, calls):
    tasks = []
    start = time.monotonic()
    while time.monotonic() - start < TRAFFIC_S:
        client = deployment.random.randrange(144)
        call = clients.Call(deployment.new_id(),
                            deployment.choose_host(client), time.monotonic(),
                            deadline_s=DEADLINE_S)
        calls.append(call)
        tasks.append(asyncio.ensure_future(clients.send_one(
            deployment, call, "/join/1", b"x" * 4000)))
        await asyncio.sleep(deployment.random.expovariate(RATE_PER_S))
    await asyncio.wait(tasks, timeout=8)


async def roll(deployment, at_s):
    await asyncio.sleep(at_s)
    hosts = list(deployment.hosts)
    tasks = []
    while hosts:
        for host in hosts[:AT_A_TIME]:
            tasks.append(asyncio.ensure_future(host.terminate()))
        hosts = hosts[AT_A_TIME:]
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


def lost(deployment, call):
    """Whether rule LOST counts this request; returns why, or None."""
    if call.outcome != "cut" or call.terminated_at is None:
        return None
    arrivals = [at for backend in deployment.backends
                for at, request_id, _ in backend.arrivals
                if request_id == call.id]
    if not arrivals:
        return None
    sent = call.sent - call.terminated_at
    ended = call.ended - call.terminated_at
    if ended > standins.GRACE_PERIOD_S + 1:
        return None
    if call.ended - call.sent >= min(TIMEOUT_S, DEADLINE_S):
        return None
    if sent <= EXCUSED_SENT_S and ended >= EXCUSED_WORK_S:
        return None
    return (f"LOST {call.id}: sent {sent:.2f} s after the SIGTERM of "
            f"{call.host.name}, passed on to a backend, its connection ended "
            f"without an answer {ended:.2f} s after the SIGTERM")


async def play(deployment):
    random = deployment.random
    for _ in range(19):
        await deployment.add_backend("subroll", 2, 8,
                                     lambda request: work_s(random))
    deployment.configure(7, [{
        "name": "r-join", "path_prefix": "/join/", "kind": "unsafe",
        "timeout": "2000ms", "target_latency": "600ms", "priority": 1,
        "service": "subroll", "max_attempts": 2}], ["subroll"])
    await deployment.start()
    calls = []
    tasks = [send_traffic(deployment, calls)]
    if standins.is_troubled():
        tasks += [roll(deployment, at_s) for at_s in ROLLS_AT_S]
    await asyncio.gather(*tasks)
    answered = sum(call.outcome == "answer" for call in calls)
    deployment.record.line(f"{len(calls)} requests, {answered} answered", True)
    if answered < len(calls) / 2:
        raise standins.NotRun("too few requests were answered")
    return [why for why in (lost(deployment, call) for call in calls) if why]


async def make_and_play(deployment):
    await deployment.store.start()
    return await play(deployment)


standins.run_case(FOLDER, lambda: standins.Deployment(FOLDER, HOSTS),
                  make_and_play)

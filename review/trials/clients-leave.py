#!/usr/bin/env python3
"""A trial beside the cases: clients that pipeline requests leave (GONE).

Usage: clients-leave.py REQUESTS. Prints, for each of four tries, how many of
the requests backends were still working on half a second after the client had
closed its connection. Exits with 1 if it was over a quarter of them in a try.
"""
import asyncio
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import clients
import standins

TRIES = 4
WORK_S = 1.4
LEAVES_AFTER_S = 0.3
CHECKED_AFTER_S = 0.5


async def play(deployment):
    count = int(sys.argv[1])
    await deployment.store.start()
    for _ in range(12):
        await deployment.add_backend("auroracast", 3, 8,
                                     lambda request: WORK_S)
    deployment.configure(7, [{
        "name": "r-read", "path_prefix": "/read/", "kind": "safe",
        "timeout": "1500ms", "target_latency": "1000ms", "priority": 2,
        "service": "auroracast", "max_attempts": 2}], ["auroracast"])
    await deployment.start()
    host = deployment.hosts[0]
    findings = []
    for number in range(TRIES):
        _, writer = await clients.connect(host)
        calls = [clients.Call(deployment.new_id(), host, 0, "GET", 3.0)
                 for _ in range(count)]
        for call in calls:
            writer.write(clients.request_bytes(call, "/read/1"))
        await asyncio.sleep(LEAVES_AFTER_S)
        writer.close()
        await asyncio.sleep(CHECKED_AFTER_S)
        ids = {call.id for call in calls}
        arrived = sum(request_id in ids for backend in deployment.backends
                      for _, request_id, _ in backend.arrivals)
        running = sum(backend.running for backend in deployment.backends)
        deployment.record.line(f"try {number + 1}: {running} of {arrived} that "
                               "had arrived are still at work", True)
        if 4 * running > arrived:
            findings.append(f"GONE in try {number + 1}: {running} of {arrived}")
        await asyncio.sleep(2.5)
    return findings


with tempfile.TemporaryDirectory() as record_folder:
    standins.run_case(record_folder,
                      lambda: standins.Deployment(record_folder, 1), play)

"""Clients: one request on a connection of its own."""
import asyncio
import itertools
import random
import time

import messages

NUMBERS = itertools.count(1)


async def call(host, method, path, deadline_ms, body=b""):
    """Sends one request; returns (request id, time sent, status or None)."""
    request_id = f"q{next(NUMBERS):06d}"
    sent = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host.ip, host.fleet.frontend_port), 1.0)
        sent = time.monotonic()
        writer.write(messages.make_request(method, path, {
            "Host": "shop.example", "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms)}, body))
        answer = await asyncio.wait_for(messages.read_message(reader, True),
                                        deadline_ms / 1000)
        return request_id, sent, answer.status if answer else None
    except (OSError, asyncio.TimeoutError, messages.MessageError):
        return request_id, sent, None
    finally:
        if writer:
            writer.close()


async def steady_load(fleet, rate, seconds, method, path, deadline_ms, calls,
                      body=b""):
    """Sends requests at a steady rate to running hosts, drawn at random."""
    tasks = []
    start = time.monotonic()
    for number in itertools.count():
        due = start + number / rate
        if due > start + seconds:
            break
        await asyncio.sleep(max(0, due - time.monotonic()))
        running = [host for host in fleet.hosts if host.is_running()]
        tasks.append(asyncio.ensure_future(call(
            random.choice(running), method, path, deadline_ms, body)))
    calls += await asyncio.gather(*tasks)

"""Clients of the cases: one request at a time, or some safe ones in a row."""
import asyncio
import dataclasses
import time

import standins


@dataclasses.dataclass
class Call:
    """One request of a client, and how it ended."""
    id: str
    host: object
    sent: float
    method: str = "POST"
    deadline_s: float = 4.0
    # answer: complete. cut: the connection ended first. none: no answer in
    # time. left: the client closed the connection. unsent: no connection.
    outcome: str = "unsent"
    status: int = 0
    ended: float = 0.0
    left: float = 0.0
    signature: str = ""
    # SIGTERM of the host that was in force when the request ended, if any.
    terminated_at: object = None
    # Whether it was sent behind another request on its connection.
    behind: bool = False


def request_bytes(call, path, body=b""):
    headers = {"Host": "shop.example", "X-Request-Id": call.id,
               "X-Request-Deadline": str(int(call.deadline_s * 1000))}
    if call.method == "GET":
        lines = [f"GET {path} HTTP/1.1"] + \
            [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
    return standins.encode(f"{call.method} {path} HTTP/1.1", headers, body)


async def connect(host):
    return await asyncio.wait_for(asyncio.open_connection(
        *standins.split_address(host.frontend), limit=4 << 20), 1.0)


async def await_answer(call, reader, record, wait_s):
    """Reads the answer of a call; returns whether the connection stays open."""
    try:
        answer = await asyncio.wait_for(
            standins.read_message(reader, True), wait_s)
    except asyncio.TimeoutError:
        call.outcome = "none"
        answer = None
    except (standins.Incomplete, ConnectionError):
        call.outcome = "cut"
        answer = None
    else:
        call.outcome = "answer" if answer else "cut"
    call.ended = time.monotonic()
    call.terminated_at = call.host.terminated_at or call.terminated_at
    if answer:
        call.status = answer.status
        call.signature = answer.header("x-response-signature", "")
    record.line(f"{call.id} ends: {call.outcome} {call.status or ''}")
    return answer is not None and \
        answer.header("connection", "").lower() != "close"


async def send_one(deployment, call, path, body=b"", leave_after_s=None):
    """Sends a request on a new connection and awaits its answer.

    With `leave_after_s` the client closes the connection after that time.
    """
    record = deployment.record
    try:
        reader, writer = await connect(call.host)
    except (OSError, asyncio.TimeoutError):
        record.line(f"{call.id} finds no connection to {call.host.name}")
        return call
    call.sent = time.monotonic()
    call.terminated_at = call.host.terminated_at
    record.line(f"{call.id} {call.method} {path} is sent to {call.host.name}, "
                f"{len(body)} bytes")
    try:
        writer.write(request_bytes(call, path, body))
        await writer.drain()
        if leave_after_s is None:
            await await_answer(call, reader, record, call.deadline_s + 2.0)
        else:
            await await_or_leave(call, reader, record, leave_after_s)
    except ConnectionError:
        call.outcome, call.ended = "cut", time.monotonic()
        record.line(f"{call.id} ends: cut")
    finally:
        writer.close()
    return call


async def await_or_leave(call, reader, record, leave_after_s):
    await await_answer(call, reader, record, leave_after_s)
    if call.outcome == "none":
        call.outcome, call.left = "left", time.monotonic()
        record.line(f"{call.id}: the client closes its connection")

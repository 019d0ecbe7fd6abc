"""Reads and encodes HTTP/1.1 messages on asyncio streams."""
import asyncio
import dataclasses
import socket
import struct
import time


class MessageError(Exception):
    """The message is malformed, or its connection closed before its end."""


@dataclasses.dataclass
class Message:
    """A request or a response; `start_line` holds its first line in parts."""
    start_line: list
    headers: dict
    body: bytes
    # The header lines as received, as `headers` holds one value per name.
    lines: list = dataclasses.field(default_factory=list)
    received: float = 0.0

    @property
    def status(self):
        return int(self.start_line[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    def header_values(self, name):
        """The values of all headers of this name."""
        parts = [line.partition(":") for line in self.lines]
        return [value.strip() for key, _, value in parts
                if key.strip().lower() == name]


async def read_message(reader, is_response=False):
    """Reads one message; returns None if the connection ends before it begins.

    Raises MessageError if the message is incomplete or malformed.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if not failure.partial:
            return None
        raise MessageError("connection closed within the headers") from failure
    except (ConnectionError, asyncio.LimitOverrunError) as failure:
        raise MessageError(str(failure)) from failure
    lines = head.decode("latin-1").split("\r\n")
    start_line = lines[0].split(" ", 2)
    if len(start_line) < 2 or (is_response and not start_line[1].isdigit()):
        raise MessageError("malformed start line")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers, is_response)
    except (asyncio.IncompleteReadError, ConnectionError,
            ValueError) as failure:
        raise MessageError("body incomplete or malformed") from failure
    return Message(start_line, headers, body, lines[1:], time.monotonic())


async def read_body(reader, headers, is_response):
    """Reads a body that is chunked, of known length, or ended by the close."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if is_response and headers.get("connection", "").lower() == "close":
        return await reader.read()
    return b""


def make_response(status, body=b"", headers=None, framing="length"):
    """Encodes a response; `framing` is length, chunked or close."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        body += b"0\r\n\r\n"
    elif framing == "close":
        lines.append("Connection: close")
    else:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_request(method, path, headers, body=b"", chunked=False):
    """Encodes a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if chunked and body:
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes the connection with a TCP reset.

    Unlike after an ordinary close, the peer can't take a truncated message for
    a complete one.
    """
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()

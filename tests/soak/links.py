"""Loopback proxies that simulate link faults.

A link can be delayed, reset, refuse connections, or block either direction.
"""
import asyncio

import messages


class Link:
    """Forwards connections from `listen` to `target`.

    A blocked direction delivers its data when the block ends, as TCP does after
    a period of packet loss.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.blocked = {"forward": False, "backward": False}
        self.refuses = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.listen))

    def stop(self):
        if self.server:
            self.server.close()
        self.reset()

    def clear_faults(self):
        self.delay_s = 0.0
        self.blocked = {"forward": False, "backward": False}
        self.refuses = False

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            messages.reset(writer)

    async def serve(self, reader, writer):
        link_writers = [writer]
        self.writers.add(writer)
        # Whether both directions ended without an error; else the connection is
        # reset.
        closed_cleanly = False
        try:
            if self.refuses:
                return
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self.target))
            link_writers.append(target_writer)
            self.writers.add(target_writer)
            await asyncio.gather(
                self.copy_stream(reader, target_writer, "forward"),
                self.copy_stream(target_reader, writer, "backward"))
            closed_cleanly = True
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            for each in link_writers:
                self.writers.discard(each)
                if closed_cleanly:
                    each.close()
                else:
                    messages.reset(each)

    async def copy_stream(self, reader, writer, direction):
        while True:
            data = await reader.read(65536)
            if self.delay_s > 0:
                await asyncio.sleep(self.delay_s)
            while self.blocked[direction]:
                await asyncio.sleep(0.02)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def split_address(address):
    """Splits "IP:PORT" into a host and a port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)

"""Loopback proxies: links that can be delayed, reset, cut one way or silent."""
import asyncio

import messages


class Link:
    """Forwards connections to `target`. What a cut withholds goes on when the
    cut ends, as over a network that lost packets for a while."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.cut = {"forward": False, "backward": False}
        self.refuses = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split(self.listen))

    def stop(self):
        if self.server:
            self.server.close()
        self.reset()

    def heal(self):
        self.delay_s = 0.0
        self.cut = {"forward": False, "backward": False}
        self.refuses = False

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            messages.reset(writer)

    async def serve(self, reader, writer):
        ends = [writer]
        self.writers.add(writer)
        in_order = False
        try:
            if self.refuses:
                return
            onward, outward = await asyncio.open_connection(*split(self.target))
            ends.append(outward)
            self.writers.add(outward)
            await asyncio.gather(self.pump(reader, outward, "forward"),
                                 self.pump(onward, writer, "backward"))
            in_order = True
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            for each in ends:
                self.writers.discard(each)
                if in_order:
                    each.close()
                else:
                    messages.reset(each)

    async def pump(self, reader, writer, direction):
        while True:
            data = await reader.read(65536)
            if self.delay_s > 0:
                await asyncio.sleep(self.delay_s)
            while self.cut[direction]:
                await asyncio.sleep(0.02)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def split(address):
    """"IP:PORT" as the arguments of asyncio's calls."""
    host, _, port = address.rpartition(":")
    return host, int(port)

"""A path to the store that can be cut, as a partition does."""
import asyncio

from links import split_address


class Path:
    """Forwards connections from `listen` to `target`.

    While it is cut, nothing passes. A connection that was used or opened
    meanwhile stays silent for good; new ones work again after the cut.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.is_cut = False
        # Set when a call for the list of servers begins.
        self.list_call = asyncio.Event()
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *split_address(self.listen))

    def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def serve(self, reader, writer):
        state = {"silent": self.is_cut}
        target_reader, target_writer = await asyncio.open_connection(
            *split_address(self.target))
        copies = [asyncio.ensure_future(each) for each in (
            self.copy(reader, target_writer, state),
            self.copy(target_reader, writer, state))]
        self.tasks.update(copies)
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for each in copies:
            each.cancel()
        for each in (writer, target_writer):
            each.close()

    async def copy(self, reader, writer, state):
        try:
            while data := await reader.read(65536):
                if b"GET /objects/servers" in data:
                    self.list_call.set()
                state["silent"] = state["silent"] or self.is_cut
                if not state["silent"]:
                    writer.write(data)
        except ConnectionError:
            pass

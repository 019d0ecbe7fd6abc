"""Copies of responses, which a backend server sends without being asked."""
import asyncio
import dataclasses
import random

# When a copy is sent: right behind the response; some time later, mostly while
# the connection is idle; as soon as the next request has come; just before the
# answer to the next request or to a later one; as the last bytes of the
# connection.
PLACES = ("behind", "late", "next", "next", "answer", "answer", "last")


@dataclasses.dataclass
class CopySettings:
    """How a server copies its responses; `share` is that of the copied ones."""
    draw: random.Random
    share: float
    # Whether only responses that say that the request was not executed are
    # copied.
    refusals_only: bool


@dataclasses.dataclass
class Copy:
    """A response that is to be sent again."""
    request_id: str
    data: bytes
    place: str = "behind"
    # Requests of the connection that get their answers before.
    answers_before: int = 0
    # Seconds between the two parts in which it is written; 0: it is not cut.
    cut_s: float = 0.0


class ResponseWriter:
    """Writes the responses of one connection, and copies between them."""

    def __init__(self, writer, log):
        self.writer = writer
        self.log = log
        # Held while bytes of one response are written.
        self.lock = asyncio.Lock()
        # The id of the request that has come and is not answered.
        self.under_way = None
        self.refused = set()
        # Copies that wait for a request or its answer.
        self.waiting = []
        self.tasks = set()

    async def begin(self, request_id):
        """Notes a request that has come, and sends the copies due then."""
        self.under_way = request_id
        self.log.sent_again += request_id in self.refused
        await self.send_waiting("next")

    async def send(self, data, settings=None, refused=False):
        """Answers the request under way with a whole response.

        Then plans copies of it by the CopySettings, if there are any.
        """
        await self.send_waiting("answer")
        request_id = self.under_way
        async with self.lock:
            self.writer.write(data)
            self.under_way = None
        if refused:
            self.refused.add(request_id)
        if settings and (refused or not settings.refusals_only) and \
                settings.draw.random() < settings.share:
            self.plan_copies(settings.draw, request_id, data)

    async def send_part(self, data):
        """Writes a response that is cut; the connection is closed after it."""
        async with self.lock:
            self.writer.write(data)

    def plan_copies(self, draw, request_id, data):
        """Draws how often, when and how a response is sent again."""
        copy = Copy(request_id, data, draw.choice(PLACES))
        if copy.place == "answer":
            copy.answers_before = draw.choice([0, 0, 1, 3])
        if draw.random() < 0.25:
            copy.cut_s = draw.uniform(0.005, 0.06)
        copies = [copy] * draw.choice([1, 1, 1, 2, 4])
        delay_s = draw.uniform(0.005, 0.3)
        if copy.place in ("next", "answer"):
            self.waiting += copies
            return
        task = asyncio.ensure_future(self.send_later(
            copies, 0.0 if copy.place == "behind" else delay_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_later(self, copies, delay_s):
        await asyncio.sleep(delay_s)
        for copy in copies:
            await self.send_copy(copy)
        if copies[-1].place == "last":
            self.writer.close()

    async def send_waiting(self, place):
        """Sends the copies that are due at this place."""
        due = [copy for copy in self.waiting
               if copy.place == place and copy.answers_before <= 0]
        self.waiting = [
            dataclasses.replace(copy, answers_before=copy.answers_before -
                                (place == "answer"))
            for copy in self.waiting if copy not in due]
        for copy in due:
            await self.send_copy(copy)

    async def send_copy(self, copy):
        """Writes a copy between whole responses."""
        async with self.lock:
            if self.writer.is_closing():
                return
            self.log.copies += 1
            if copy.request_id == self.under_way:
                self.log.copied_under_way.append(copy.request_id)
            half = len(copy.data) // 2 if copy.cut_s else len(copy.data)
            self.writer.write(copy.data[:half])
            if copy.cut_s:
                await asyncio.sleep(copy.cut_s)
                self.writer.write(copy.data[half:])

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.writer.close()

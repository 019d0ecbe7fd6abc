"""The promises, checked from what callers and backend servers saw."""
import bisect
import collections
import time

from backends import body_of, signature

NOT_RUN = (408, 421, 429, 503)
IN_TOUCH_S = 3.0
DRAIN_S = 2.0
SLACK_S = 0.3
CONFIG_S = 2.0
LATE_S = 1.0
RECOVERED_SHARE = 0.9
MEMORY_KB = 260 * 1024


class Checks:
    def __init__(self, world):
        self.world = world
        self.failures = []

    def fail(self, promise, what):
        at = time.monotonic() - self.world.began
        self.failures.append(f"{promise} at {at:.2f} s: {what}")

    def in_touch(self, host, start, end):
        """No fault of the host, its links or the store from three seconds
        before `start` to `end`."""
        begin = start - IN_TOUCH_S
        if host.was_disturbed(begin, end):
            return False
        return not any(since <= end and until >= begin
                       for since, until in self.world.store.disturbed)

    def judge(self, with_timing):
        calls = self.world.callers.calls
        by_id = {call.id: call for call in calls}
        runs = collections.defaultdict(list)
        for at, request, server in self.world.ledger.runs:
            runs[request.header("x-request-id")].append((at, request, server))
        for call in calls:
            self.judge_answer(call, runs[call.id])
        self.judge_runs(by_id, runs)
        self.judge_budget(by_id)
        self.judge_kept(calls, runs)
        if with_timing:
            self.judge_draining(by_id)
            self.judge_time(calls)
            self.judge_recovery(calls)

    def judge_answer(self, call, runs):
        if call.outcome != "answer":
            return
        signed = call.headers.get("x-response-signature")
        given = self.world.ledger.answers.get(call.id, [])
        if call.headers.get("x-request-id", call.id) != call.id:
            self.fail("MIXED", f"{call.id} got an answer to another request")
        if 200 <= call.status < 300:
            own = [server for _, _, server in runs
                   if signature(call.id, server.name) == signed]
            if not own:
                self.fail("MIXED", f"{call.id}: {call.status}, signed by no "
                          "server that ran it")
            elif call.answer != body_of(call.id, own[0].name):
                whole = body_of(call.id, own[0].name)
                kind = ("cut" if whole.startswith(call.answer) else "other")
                self.fail("MIXED", f"{call.id}: {kind} bytes, "
                          f"{len(call.answer)} of {len(whole)}, of "
                          f"{own[0].name}, framed by "
                          f"{self.world.ledger.framings.get(call.id)}")
        elif signed and (call.status, signed) not in [
                (status, sign) for status, sign, _ in given]:
            self.fail("MIXED", f"{call.id}: no server gave {call.status}")
        if call.status in NOT_RUN and runs and not call.repeatable:
            self.fail("REFUSED", f"{call.id}: {call.status}, but it ran")

    def judge_runs(self, by_id, runs):
        for request_id, each in runs.items():
            call = by_id.get(request_id)
            if call is None:
                self.fail("UNASKED", f"{request_id} was never sent")
                continue
            for _, request, server in each:
                same = (request.start[0], request.start[1], request.body) == (
                    call.method, call.path, call.body)
                if not same:
                    self.fail("UNASKED", f"{request_id} was changed on its way")
                if server.service not in self.world.config.ever_allowed(
                        call.path):
                    self.fail("ROUTE", f"{call.path} ran at {server.service}")
            if len(each) > 1 and not call.repeatable:
                self.fail("TWICE", f"{request_id} ran {len(each)} times")
            if len({server.name for _, _, server in each}) > 2:
                self.fail("BUDGET", f"{request_id} ran at {len(each)} servers")

    def judge_budget(self, by_id):
        asked = collections.defaultdict(list)
        for call in by_id.values():
            for service in self.world.config.ever_allowed(call.path):
                asked[service].append(call.sent)
        seen = set()
        again = collections.defaultdict(list)
        for at, request_id, server, _ in self.world.ledger.arrivals:
            if request_id in seen:
                again[server.service].append(at)
            seen.add(request_id)
        for service, times in again.items():
            sent = sorted(asked[service])
            for index, start in enumerate(times):
                end = start + 10.0
                count = bisect.bisect_right(times, end) - index
                requests = (bisect.bisect_right(sent, end) -
                            bisect.bisect_left(sent, start))
                if count > 0.2 * requests + self.world.retry_slack:
                    self.fail("BUDGET", f"{service}: {count} repeats for "
                              f"{requests} requests in 10 s")
                    break

    def judge_kept(self, calls, runs):
        """A host that is only being stopped answers all that it sent on."""
        for call in calls:
            if call.outcome != "closed" or call.behind_close:
                continue
            others = call.host.was_disturbed(call.sent - IN_TOUCH_S, call.ended,
                                             other_than=("term", "hup"))
            if others or call.host.incarnation != call.incarnation and not \
                    call.host.was_disturbed(call.sent - 8, call.ended):
                continue
            sound = [server for _, _, server in runs[call.id]
                     if not server.world.was_harmed(server, call.sent,
                                                    call.ended)]
            if sound:
                self.fail("LOST", f"{call.id} was cut by {call.host.name}")

    def judge_draining(self, by_id):
        for at, request_id, server, _ in self.world.ledger.arrivals:
            since = server.drain_acknowledged
            call = by_id.get(request_id)
            if since is None or call is None or at < since + DRAIN_S + SLACK_S:
                continue
            if self.in_touch(call.host, since, at):
                self.fail("DRAIN", f"{request_id} reached {server.name} "
                          f"{at - since:.2f} s after it drained")

    def judge_time(self, calls):
        late = [call for call in calls
                if call.outcome in ("answer", "none") and
                call.ended - call.sent > min(call.deadline_s, 2.0) + LATE_S and
                self.in_touch(call.host, call.sent, call.ended)]
        for call in late[:3]:
            self.fail("LATE", f"{call.id} at {call.host.name} after "
                      f"{call.ended - call.sent:.2f} s of {call.deadline_s} s")

    def judge_recovery(self, calls):
        last = [call for call in calls
                if self.world.calm_since <= call.sent <= self.world.calm_until]
        served = sum(call.status == 200 for call in last)
        self.world.summary["recovered"] = round(served / max(1, len(last)), 3)
        if served < RECOVERED_SHARE * len(last):
            self.fail("RECOVER", f"{served} of {len(last)} served at the end")

    def judge_memory(self):
        for host in self.world.hosts:
            try:
                with open(f"/proc/{host.process.pid}/status",
                          encoding="utf-8") as status:
                    peak = [int(line.split()[1]) for line in status
                            if line.startswith("VmHWM")]
            except OSError:
                continue
            if peak and peak[0] > MEMORY_KB:
                self.fail("MEMORY", f"{host.name} used {peak[0]} kB")

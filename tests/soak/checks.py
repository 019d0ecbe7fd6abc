"""Checks the invariants against what callers and backend servers observed.

A failure begins with the name of its check:

MIXED    a response belongs to another request, or is incomplete
REFUSED  a request was executed, but the caller was told that it was not
UNASKED  a server got a request that no caller sent, or an altered one, one
         that names another account than its caller's, or a key
ROUTE    a request reached a service that no configuration routed it to, or a
         server without a key that any configuration had
QUOTA    more requests of an account ran within a window than its quota allows
DENIED   a caller with a valid key was told that it has none
TWICE    a request that must not be repeated was executed more than once
BUDGET   requests were retried more often than the retry budget allows, or
         reached a server that wanted none from that host
LOST     a host that was stopped or reloaded dropped a request
DRAIN    a server got a request too long after its drain signal, or from a
         host that it had told that it leaves
LATE     a call took too long at a host without faults
RECOVER  too few calls succeeded after the faults
MEMORY   a host used too much memory
CONFIG   a host without faults lacks a configuration change (see soak.py)
LEAVES   a host did not exit within its grace period (see hosts.py)
ENDS     a host exited unexpectedly (see hosts.py)
"""
import bisect
import collections
import time

from backends import expected_body, signature
from configurations import KEY_PREFIX
from hosts import QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S

# Statuses that tell the caller that its request was not executed.
NOT_EXECUTED_STATUSES = (401, 408, 421, 429, 503)
# A fault may affect a host for this long after its end.
FAULT_FREE_LEAD_S = 3.0
# Time after a drain signal in which a server may still get requests.
DRAIN_LIMIT_S = 2.0
DRAIN_SLACK_S = 0.3
# A request may cross the refusal that names a Retry-After for this long.
HOLD_OFF_SLACK_S = 0.5
# Requests that may reach a server while it wants none from the host.
HOLD_OFF_LIMIT = 2
# Time after which a configuration change must be in use.
CONFIG_LIMIT_S = 2.0
# Time after which a superseded configuration must not be in use: the upper
# limit of the deployment, and a longer one without checks of time, as hosts
# stood still for 4 s on a machine with a load of 40.
SUPERSEDED_LIMIT_S = 2.5
LOOSE_SUPERSEDED_LIMIT_S = 10.0
# Time that a request takes from its host to a server without faults.
ARRIVAL_SLACK_S = 0.5
# Time past its deadline in which a call must end.
LATE_SLACK_S = 1.0
MIN_RECOVERED_SHARE = 0.9
MEMORY_LIMIT_KB = 260 * 1024


class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.failures = []

    def fail(self, check, detail):
        at = time.monotonic() - self.soak.started
        self.failures.append(f"{check} at {at:.2f} s: {detail}")

    def fail_some(self, check, details):
        """Reports the first three failures of a kind and their number."""
        for detail in details[:3]:
            self.fail(check, f"{detail} ({len(details)} of the kind)")

    def is_fault_free(self, host, start, end):
        """Whether the host, its links and the store had no fault.

        Covers the time from three seconds before `start` to `end`.
        """
        begin = start - FAULT_FREE_LEAD_S
        if host.had_fault(begin, end):
            return False
        return not any(since <= end and until >= begin
                       for since, until in self.soak.store.fault_intervals)

    def check_all(self, with_timing):
        """Runs every check but MEMORY; those on time only if `with_timing`."""
        calls = self.soak.callers.calls
        by_id = {call.id: call for call in calls}
        executions = collections.defaultdict(list)
        for at, request, server in self.soak.execution_log.executions:
            executions[request.header("x-request-id")].append(
                (at, request, server))
        for call in calls:
            self.check_response(call, executions[call.id])
        self.check_executions(by_id, executions)
        self.check_retry_budget(by_id)
        self.check_graceful_stop(calls, executions)
        self.check_hold_offs(by_id)
        if self.soak.config.accounts:
            self.check_accounts(by_id)
            self.check_quotas(by_id, executions)
            self.check_denials(calls)
        if with_timing:
            self.check_draining(by_id)
            self.check_leaving(by_id)
            self.check_latency(calls)
            self.check_recovery(calls)

    def check_response(self, call, executions):
        """A response must be complete and from a server that got the request."""
        if call.outcome != "answer":
            return
        response_signature = call.headers.get("x-response-signature")
        responses = self.soak.execution_log.responses.get(call.id, [])
        if call.headers.get("x-request-id", call.id) != call.id:
            self.fail("MIXED", f"{call.id} got an answer to another request")
        if 200 <= call.status < 300:
            signers = [server for _, _, server in executions
                       if signature(call.id, server.name) == response_signature]
            if not signers:
                self.fail("MIXED", f"{call.id}: {call.status}, signed by no "
                          "server that ran it")
            elif call.response_body != expected_body(call.id, signers[0].name):
                expected_bytes = expected_body(call.id, signers[0].name)
                kind = ("cut" if expected_bytes.startswith(call.response_body)
                        else "other")
                self.fail("MIXED", f"{call.id}: {kind} bytes, "
                          f"{len(call.response_body)} of {len(expected_bytes)}"
                          f", of {signers[0].name}, framed by "
                          f"{self.soak.execution_log.framings.get(call.id)}")
        elif response_signature and (call.status, response_signature) not in [
                (status, sent_signature)
                for status, sent_signature, _ in responses]:
            self.fail("MIXED", f"{call.id}: no server gave {call.status}")
        if call.status in NOT_EXECUTED_STATUSES and executions and \
                not call.retryable:
            copied = call.id in self.soak.execution_log.copied_under_way
            self.fail("REFUSED", f"{call.id}: {call.status}, but was executed"
                      f"{', a copy came meanwhile' * copied}")

    def check_executions(self, by_id, executions):
        """Checks what the servers executed against what the callers sent."""
        for request_id, each in executions.items():
            call = by_id.get(request_id)
            if call is None:
                self.fail("UNASKED", f"{request_id} was never sent")
                continue
            for _, request, server in each:
                same = (
                    request.start_line[0], request.start_line[1], request.body
                ) == (call.method, call.path, call.body)
                if not same:
                    self.fail("UNASKED", f"{request_id} was changed on its way")
                if server.service not in self.soak.config.allowed_services(
                        call.path):
                    self.fail("ROUTE", f"{call.path} ran at {server.service}")
            if len(each) > 1 and not call.retryable:
                self.fail("TWICE", f"{request_id} ran {len(each)} times")
            if len({server.name for _, _, server in each}) > 2:
                self.fail("BUDGET", f"{request_id} ran at {len(each)} servers")

    def must_be_in_force(self, configuration, host, at):
        """Whether the host may use no older configuration any more.

        It must use a configuration in time, unless it had a fault then, or if
        it had no fault lately.
        """
        limit_s = (LOOSE_SUPERSEDED_LIMIT_S if self.soak.options.no_timing
                   else SUPERSEDED_LIMIT_S)
        written = configuration.written
        return at >= written + limit_s and (
            self.is_fault_free(host, written, written + limit_s) or
            self.is_fault_free(host, at - limit_s, at))

    def in_force(self, host, start, end):
        """The configurations that the host may use in the interval."""
        history = self.soak.config.history
        first = max((index for index, each in enumerate(history)
                     if self.must_be_in_force(each, host, start)), default=0)
        return [each for each in history[first:] if each.written <= end]

    def accounts_in_force(self, call, start, end):
        """The accounts of a call by each configuration that may be in use."""
        return {each.account_of(call)
                for each in self.in_force(call.host, start, end)}

    def accounts_on_arrival(self, call, request, server):
        """The accounts that a request may have had when its host sent it.

        The key is checked just before that, which is long before the arrival
        only if the server or its link has a fault.
        """
        start = request.received - ARRIVAL_SLACK_S
        if self.soak.backend_had_fault(server, call.sent, request.received):
            start = call.sent
        return self.accounts_in_force(call, start, request.received)

    def check_accounts(self, by_id):
        """Servers get each request with its account and without its key."""
        leaked, keyless, misnamed = [], [], []
        for request, server in self.soak.execution_log.received:
            request_id = request.header("x-request-id")
            if any(KEY_PREFIX in line for line in request.lines):
                leaked.append(f"{request_id} brought {server.name} a key")
            call = by_id.get(request_id)
            if call is None:
                continue
            if all(each.account_of(call) is None
                   for each in self.soak.config.history):
                keyless.append(f"{request_id} reached {server.name} with key "
                               f"{call.key}")
                continue
            names = request.header_values("x-tenant")
            allowed = self.accounts_on_arrival(call, request, server)
            if names not in [[name] if name else [] for name in allowed
                             if name is not None]:
                misnamed.append(f"{request_id} reached {server.name} for "
                                f"{names}, its key is of {allowed}")
        self.fail_some("UNASKED", leaked)
        self.fail_some("UNASKED", misnamed)
        self.fail_some("ROUTE", keyless)

    def check_quotas(self, by_id, executions):
        """Bounds the requests of an account that run in any window."""
        times = collections.defaultdict(list)
        for request_id, each in executions.items():
            call = by_id.get(request_id)
            if not each or call is None:
                continue
            _, request, server = min(each, key=lambda run: run[1].received)
            # A faulty link may bring requests of any time at once.
            if request.received > call.sent + ARRIVAL_SLACK_S and \
                    self.soak.backend_had_fault(server, call.sent,
                                                request.received):
                continue
            names = self.accounts_on_arrival(call, request, server)
            name = request.header("x-tenant")
            if name not in names and len(names) == 1:
                name = names.pop()
            if name:
                times[name].append(request.received)
        for name, received in times.items():
            received.sort()
            excesses = []
            lowest = min(self.quota_limit([each.quotas[name]])
                         for each in self.soak.config.history
                         if name in each.quotas)
            for index, start in enumerate(received):
                count = bisect.bisect_left(
                    received, start + QUOTA_WINDOW_S) - index
                if count <= lowest:
                    continue
                limit = self.quota_limit(self.quotas_in_force(name, start))
                if count > limit:
                    excesses.append((count - limit, count, limit, start))
            if excesses:
                _, count, limit, start = max(excesses)
                self.fail("QUOTA", f"{count} of {limit:.0f} requests of {name} "
                          f"ran in {QUOTA_WINDOW_S:g} s from "
                          f"{start - self.soak.started:.2f} s on; "
                          f"{len(excesses)} windows")

    def quotas_in_force(self, name, start):
        """The quotas that may bound an account in the window from `start`.

        A lower limit binds one window after all hosts must use it.
        """
        return [each.quotas[name] for host in self.soak.hosts
                for each in self.in_force(host, start - QUOTA_WINDOW_S,
                                          start + QUOTA_WINDOW_S)
                if name in each.quotas]

    @staticmethod
    def quota_limit(quotas):
        """The requests that may run in a window by the highest quota."""
        if not all(rate for rate, _ in quotas):
            return float("inf")
        return max((rate * QUOTA_WINDOW_S + burst for rate, burst in quotas),
                   default=0.0) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK

    def check_denials(self, calls):
        """No caller is told that its key is unknown while it is valid."""
        self.fail_some("DENIED", [
            f"{call.id} got 401 at {call.host.name} with a key of {accounts}"
            for call in calls if call.status == 401
            for accounts in [self.accounts_in_force(call, call.sent,
                                                    call.ended)]
            if None not in accounts])

    def is_owed_service(self, call):
        """Whether the call is neither denied nor beyond a quota."""
        accounts = (self.accounts_in_force(call, call.sent, call.ended)
                    if self.soak.config.accounts else set())
        is_limited = any(each.quotas[name][0]
                         for each in self.soak.config.history
                         for name in accounts & each.quotas.keys())
        return None not in accounts and not (call.status == 429 and is_limited)

    def check_retry_budget(self, by_id):
        """Retries in any 10 s must stay within the fleet-wide retry budget."""
        request_times = collections.defaultdict(list)
        for call in by_id.values():
            if call.status == 401:
                continue
            for service in self.soak.config.allowed_services(call.path):
                request_times[service].append(call.sent)
        seen = set()
        repeat_times = collections.defaultdict(list)
        for at, request_id, server, _ in self.soak.execution_log.arrivals:
            if request_id in seen:
                repeat_times[server.service].append(at)
            seen.add(request_id)
        for service, times in repeat_times.items():
            sent = sorted(request_times[service])
            for index, start in enumerate(times):
                end = start + 10.0
                count = bisect.bisect_right(times, end) - index
                requests = (bisect.bisect_right(sent, end) -
                            bisect.bisect_left(sent, start))
                if count > 0.2 * requests + self.soak.retry_slack:
                    self.fail("BUDGET", f"{service}: {count} repeats for "
                              f"{requests} requests in 10 s")
                    break

    def check_graceful_stop(self, calls, executions):
        """A host that is stopped or reloaded must answer what it forwarded.

        That holds for pipelined requests too, whatever the responses before
        them said. Calls whose host or backend server had another fault are left
        out.
        """
        for call in calls:
            if call.outcome != "closed":
                continue
            others = call.host.had_fault(call.sent - FAULT_FREE_LEAD_S,
                                         call.ended,
                                         other_than=("term", "hup"))
            if others or call.host.incarnation != call.incarnation and not \
                    call.host.had_fault(call.sent - 8, call.ended):
                continue
            healthy_servers = [server for _, _, server in executions[call.id]
                               if not server.soak.backend_had_fault(
                                   server, call.sent, call.ended)]
            if healthy_servers:
                self.fail("LOST", f"{call.id} was dropped by {call.host.name}")

    def check_draining(self, by_id):
        """No request may arrive long after a drain signal was acknowledged."""
        for at, request_id, server, _ in self.soak.execution_log.arrivals:
            since = server.drain_acknowledged
            call = by_id.get(request_id)
            if since is None or call is None or \
                    at < since + DRAIN_LIMIT_S + DRAIN_SLACK_S:
                continue
            if self.is_fault_free(call.host, since, at):
                self.fail("DRAIN", f"{request_id} reached {server.name} "
                          f"{at - since:.2f} s after it drained")

    def requests_after(self, statements, by_id):
        """Pairs each statement of a server with later requests of that host.

        `statements` begin with a time, the id of the request that got the
        response and the server. Yields each statement with the (time, call) of
        the requests that the server got from the same process of the host,
        unless the response may have been lost.
        """
        arrivals = collections.defaultdict(list)
        for at, request_id, server, _ in self.soak.execution_log.arrivals:
            call = by_id.get(request_id)
            if call is not None:
                arrivals[server, call.host, call.incarnation].append((at, call))
        for statement in statements:
            at, request_id, server = statement[:3]
            call = by_id.get(request_id)
            if call is None or self.soak.backend_had_fault(server, at,
                                                           at + 1.0):
                continue
            yield statement, arrivals[server, call.host, call.incarnation]

    def check_leaving(self, by_id):
        """A host sends nothing to a server that told it that it leaves."""
        log = self.soak.execution_log
        for (at, request_id, server), later in self.requests_after(
                log.leaving, by_id):
            host = by_id[request_id].host
            late = [call for _, call in later
                    if call.sent > at + DRAIN_LIMIT_S + DRAIN_SLACK_S]
            if late and not host.had_fault(at, late[0].ended):
                self.fail("DRAIN", f"{late[0].id} reached {server.name} from "
                          f"{host.name}, which it had told that it leaves")
                return

    def check_hold_offs(self, by_id):
        """A host keeps to the Retry-After of a server."""
        log = self.soak.execution_log
        for (at, request_id, server, seconds), later in self.requests_after(
                log.hold_offs, by_id):
            host = by_id[request_id].host
            early = [call for arrived, call in later
                     if at + HOLD_OFF_SLACK_S < arrived < at + seconds]
            if len(early) > HOLD_OFF_LIMIT and not host.had_fault(
                    at, at + seconds):
                self.fail("BUDGET", f"{len(early)} requests reached "
                          f"{server.name} from {host.name} within "
                          f"{seconds:.2f} s in which it wanted none")

    def check_latency(self, calls):
        """Calls at fault-free hosts must end soon after the deadline or 2 s."""
        late = [call for call in calls
                if call.outcome in ("answer", "none") and
                call.ended - call.sent >
                min(call.deadline_s, 2.0) + LATE_SLACK_S and
                self.is_fault_free(call.host, call.sent, call.ended)]
        for call in late[:3]:
            self.fail("LATE", f"{call.id} at {call.host.name} after "
                      f"{call.ended - call.sent:.2f} s of {call.deadline_s} s")

    def check_recovery(self, calls):
        """Nearly all calls after the faults must succeed."""
        recovery_calls = [call for call in calls
                          if self.soak.recovery_start <= call.sent
                          <= self.soak.recovery_end
                          and self.is_owed_service(call)]
        served = sum(call.status == 200 for call in recovery_calls)
        self.soak.summary["recovered"] = round(
            served / max(1, len(recovery_calls)), 3)
        if served < MIN_RECOVERED_SHARE * len(recovery_calls):
            self.fail("RECOVER",
                      f"{served} of {len(recovery_calls)} served at the end")

    def check_memory(self):
        """The peak resident memory of each running host must be in bounds."""
        for host in self.soak.hosts:
            try:
                with open(f"/proc/{host.process.pid}/status",
                          encoding="utf-8") as status:
                    peak = [int(line.split()[1]) for line in status
                            if line.startswith("VmHWM")]
            except OSError:
                continue
            if peak and peak[0] > MEMORY_LIMIT_KB:
                self.fail("MEMORY", f"{host.name} used {peak[0]} kB")

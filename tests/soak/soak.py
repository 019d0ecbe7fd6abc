#!/usr/bin/env python3
"""Soak test with fault injection.

The entry hosts are real processes; everything else is simulated. Invariants are
checked against what the callers and the backend servers observed.
"""
import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import time

from backends import HEARTBEAT_S, Backend, ExecutionLog
from callers import Callers
from checks import CONFIG_LIMIT_S, Checks
from configurations import SERVICES, Configurations
from faults import Faults
from hosts import ZONES, Host
from store import Store

SERVICE_SHARES = {"reads": 0.3, "books": 0.5, "orders": 0.2}
# Time for the fleet to recover after the last fault.
SETTLE_S = 8.0
# Time after that in which calls must succeed again.
RECOVERY_WINDOW_S = 4.0
HEARTBEAT_TIMEOUT_S = 3 * HEARTBEAT_S
# Shortest time between the drain signal of a server and its end.
MIN_DRAIN_S = 2.0


class Soak:
    """One run: its hosts, store, backend servers, callers and checks."""

    def __init__(self, options, seed):
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        self.out = pathlib.Path(options.out) / f"seed-{seed}"
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.events = open(self.out / "events", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.services = list(SERVICES)
        self.store = Store(self.random)
        self.execution_log = ExecutionLog()
        self.checks = Checks(self)
        self.config = Configurations(self)
        self.callers = Callers(self)
        # Retries that the fleet may send beyond its retry ratio in a window.
        self.retry_slack = 30
        # Factor on the rate of the callers.
        self.burst = 1.0
        # The zone from which all callers come, if any.
        self.crowded_zone = None
        self.overloaded = False
        self.stopping = False
        self.callers_stopping = False
        self.recovery_start = self.recovery_end = float("inf")
        # (backend, start, end) of each fault; `end` may lie in the future.
        self.backend_faults = []
        self.summary = {}
        self.backends = []
        self.backend_count = 0
        self.tasks = []
        self.hosts = [Host(self, index) for index in range(options.hosts)]

    def ip(self, network, index):
        """A loopback address; `network` is added to the second octet."""
        return (f"127.{self.options.network + network}."
                f"{index // 200}.{1 + index % 200}")

    def log(self, message):
        self.events.write(f"{time.monotonic() - self.started:8.3f} {message}\n")

    def backend_had_fault(self, backend, start, end):
        """Whether a fault of the backend server overlaps the interval."""
        return any(other is backend and since <= end and until >= start
                   for other, since, until in self.backend_faults)

    async def add_backend(self, service, predecessor=None):
        """Starts a server, at the address of `predecessor` if there is one.

        Returns it.
        """
        index = self.backend_count
        self.backend_count += 1
        if predecessor:
            link_address = predecessor.address
        else:
            link_address = f"{self.ip(5, index)}:9000"
        # A server that starts again stays in its zone.
        zone = ZONES[index % len(ZONES)]
        if predecessor and predecessor.service == service:
            zone = predecessor.zone
        backend = Backend(self, f"i-{index:04d}", service,
                          zone, f"{self.ip(4, index)}:9001", link_address)
        self.backends.append(backend)
        await backend.start()
        self.log(f"{backend.name} of {service} at {link_address}")
        return backend

    def stop_after_drain(self, backend):
        """Stops a draining server later and removes it from the store."""
        async def stop():
            await asyncio.sleep(MIN_DRAIN_S + self.random.uniform(0.2, 3.0))
            self.record_permanent_fault(backend)
            backend.crash()
            self.store.remove("servers", backend.name)
        self.tasks.append(asyncio.ensure_future(stop()))

    def record_permanent_fault(self, backend):
        self.backend_faults.append((backend, time.monotonic(), float("inf")))

    def check_route_later(self, acknowledged, added):
        """Checks later that the fault-free hosts know an added route."""
        async def check():
            await asyncio.sleep(CONFIG_LIMIT_S + 0.5)
            for host in self.hosts:
                if not self.checks.is_fault_free(host, acknowledged,
                                                 time.monotonic()):
                    continue
                if added not in self.config.added:
                    return
                await self.check_route(host, added, acknowledged)
        self.tasks.append(asyncio.ensure_future(check()))

    async def check_route(self, host, added, acknowledged):
        """Checks that a host does not answer 404 for an added route."""
        try:
            connection = await self.callers.connect(host)
        except (OSError, asyncio.TimeoutError):
            return
        call = self.callers.create_call(f"/added-{added}/x", "GET", True, host,
                                        False)
        self.callers.use_steady_key(call)
        await self.callers.exchange(connection, [call])
        known = added in self.config.added
        is_fault_free = self.checks.is_fault_free(host, acknowledged,
                                                  time.monotonic())
        if call.status == 404 and known and is_fault_free and \
                not self.options.no_timing:
            self.checks.fail("CONFIG", f"{host.name} lacks the route added "
                             f"{time.monotonic() - acknowledged:.1f} s ago")

    async def run_heartbeats(self):
        """Sends the servers' heartbeats; expires entries without heartbeats."""
        while not self.stopping:
            now = time.monotonic()
            for backend in list(self.backends):
                if backend.alive and \
                        now - backend.last_heartbeat >= HEARTBEAT_S:
                    backend.send_heartbeat()
                expired = now - backend.last_heartbeat > HEARTBEAT_TIMEOUT_S
                if expired and backend.name in self.store.objects["servers"]:
                    self.store.remove("servers", backend.name)
            await asyncio.sleep(0.05)

    async def start(self):
        self.config.write()
        for service, share in SERVICE_SHARES.items():
            for _ in range(max(2, round(self.options.backends * share))):
                await self.add_backend(service)
        self.store.put("servers", "forged", {"service": 7})
        for host in self.hosts:
            await host.prepare()
            host.start()
        self.tasks += [asyncio.ensure_future(task) for task in (
            self.run_heartbeats(), *[host.supervise() for host in self.hosts],
            *[host.poll_readiness() for host in self.hosts])]
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all(host.ready for host in self.hosts):
                return
        raise TimeoutError("the hosts did not become ready")

    async def run(self):
        try:
            await self.start()
            callers = asyncio.ensure_future(
                self.callers.run(self.options.rate))
            if self.config.accounts:
                self.tasks.append(asyncio.ensure_future(
                    self.config.accounts.run()))
            await asyncio.sleep(3)
            await Faults(self, self.seed).run(self.options.minutes * 60)
            self.log("faults are over")
            await asyncio.sleep(SETTLE_S)
            self.recovery_start = time.monotonic()
            await asyncio.sleep(RECOVERY_WINDOW_S)
            self.recovery_end = time.monotonic() - 2.5
            self.callers_stopping = True
            await callers
            self.checks.check_memory()
        finally:
            self.stopping = True
            for host in self.hosts:
                if host.process and host.process.poll() is None:
                    host.exit_expected = True
                    host.process.kill()
                    host.process.wait()
                host.stop_listening()
            for backend in self.backends:
                if backend.alive:
                    backend.crash()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.checks.check_all(not self.options.no_timing)
        return self.report()

    def report(self):
        calls = self.callers.calls
        log = self.execution_log
        statuses = {}
        for call in calls:
            key = str(call.status) if call.outcome == "answer" else call.outcome
            statuses[key] = statuses.get(key, 0) + 1
        self.summary.update(
            calls=len(calls), outcomes=dict(sorted(statuses.items())),
            runs=len(log.executions), copies=log.copies,
            copies_under_way=len(log.copied_under_way),
            sent_again=log.sent_again,
            connections_per_request=round(
                log.connections / max(1, len(log.received)), 3),
            store_calls=self.store.calls,
            starts=sum(host.incarnation for host in self.hosts))
        for failure in self.checks.failures:
            self.log(f"FAILED {failure}")
        self.events.close()
        return self.summary, self.checks.failures


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST instead of one seed")
    parser.add_argument("--regression", action="store_true",
                        help="run every seed that ever failed")
    parser.add_argument("--minutes", type=float, default=0.5,
                        help="how long faults are injected")
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--backends", type=int, default=20)
    parser.add_argument("--rate", type=float, default=60,
                        help="connection uses per second")
    parser.add_argument("--network", type=int, default=50,
                        help="base of the second octet of the addresses")
    parser.add_argument("--no-timing", action="store_true",
                        help="skip the checks that have a time bound")
    parser.add_argument("--out", default="/tmp/coriandertray-soak")
    return parser.parse_args()


def select_runs(options):
    """The (seed, minutes) of each run."""
    if options.regression:
        lines = (pathlib.Path(__file__).parent / "REGRESSION.txt").read_text(
            encoding="utf-8").splitlines()
        rows = [line.split() for line in lines if not line.startswith("#")]
        return [(int(each[0]), float(each[1])) for each in rows]
    first, last = (map(int, options.seeds.split("-")) if options.seeds
                   else (options.seed, options.seed))
    return [(seed, options.minutes) for seed in range(first, last + 1)]


def main():
    options = parse_options()
    failed = 0
    for seed, options.minutes in select_runs(options):
        summary, failures = asyncio.run(Soak(options, seed).run())
        failed += bool(failures)
        print(json.dumps({"seed": seed, "failures": len(failures), **summary}),
              flush=True)
        for failure in failures[:10]:
            print(f"  {failure}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

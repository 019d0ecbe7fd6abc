#!/usr/bin/env python3
"""A fault soak: real hosts as processes of their own, stand-ins of everything
else, faults from outside, promises checked by what callers and servers saw."""
import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import time

from backends import BEAT_S, Backend, Ledger
from callers import Callers
from checks import CONFIG_S, Checks
from configurations import SERVICES, Configurations
from faults import Faults
from hosts import ZONES, Host
from store import Store

SHARES = {"reads": 0.3, "books": 0.5, "orders": 0.2}
SETTLE_S = 8.0
CALM_S = 4.0
LAPSE_S = 3 * BEAT_S
DRAIN_S = 2.0


class World:
    """Everything that one soak holds."""

    def __init__(self, options, seed):
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        self.out = pathlib.Path(options.out) / f"seed-{seed}"
        shutil.rmtree(self.out, ignore_errors=True)
        self.out.mkdir(parents=True)
        self.events = open(self.out / "events", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.services = list(SERVICES)
        self.store = Store(self.random)
        self.ledger = Ledger()
        self.checks = Checks(self)
        self.config = Configurations(self)
        self.callers = Callers(self)
        self.retry_slack = 30
        self.burst = 1.0
        self.over = False
        self.calling_over = False
        self.calm_since = self.calm_until = float("inf")
        self.harmed = []
        self.summary = {}
        self.backends = []
        self.backend_count = 0
        self.tasks = []
        self.hosts = [Host(self, index) for index in range(options.hosts)]

    def ip(self, network, index):
        return (f"127.{self.options.network + network}."
                f"{index // 200}.{1 + index % 200}")

    def log(self, what):
        self.events.write(f"{time.monotonic() - self.began:8.3f} {what}\n")

    def was_harmed(self, backend, start, end):
        return any(other is backend and since <= end and until >= start
                   for other, since, until in self.harmed)

    async def add_backend(self, service, predecessor=None):
        """Starts a server, perhaps at the address of one that is gone."""
        index = self.backend_count
        self.backend_count += 1
        if predecessor:
            public = predecessor.address
        else:
            public = f"{self.ip(5, index)}:9000"
        backend = Backend(self, f"i-{index:04d}", service,
                          ZONES[index % len(ZONES)],
                          f"{self.ip(4, index)}:9001", public)
        self.backends.append(backend)
        await backend.start()
        self.log(f"{backend.name} of {service} at {public}")

    def leave_later(self, backend):
        async def leave():
            await asyncio.sleep(DRAIN_S + self.random.uniform(0.2, 3.0))
            self.harm_forever(backend)
            backend.crash()
            self.store.remove("servers", backend.name)
        self.tasks.append(asyncio.ensure_future(leave()))

    def harm_forever(self, backend):
        self.harmed.append((backend, time.monotonic(), float("inf")))

    def test_later(self, acknowledged, added):
        """A route that was added must be known at hosts in touch in time."""
        async def test():
            await asyncio.sleep(CONFIG_S + 0.5)
            for host in self.hosts:
                if not self.checks.in_touch(host, acknowledged,
                                            time.monotonic()):
                    continue
                if added not in self.config.added:
                    return
                await self.test_route(host, added, acknowledged)
        self.tasks.append(asyncio.ensure_future(test()))

    async def test_route(self, host, added, acknowledged):
        try:
            connection = await self.callers.connect(host)
        except (OSError, asyncio.TimeoutError):
            return
        call = self.callers.make(f"/added-{added}/x", "GET", True, host, False)
        await self.callers.exchange(connection, [call])
        known = added in self.config.added
        in_touch = self.checks.in_touch(host, acknowledged, time.monotonic())
        if call.status == 404 and known and in_touch and \
                not self.options.no_timing:
            self.checks.fail("CONFIG", f"{host.name} doesn't know the route "
                             f"added {time.monotonic() - acknowledged:.1f} s ago")

    async def beat(self):
        """Beats of the servers; the store drops the entries of silent ones."""
        while not self.over:
            now = time.monotonic()
            for backend in list(self.backends):
                if backend.alive and now - backend.last_beat >= BEAT_S:
                    backend.beat()
                lapsed = now - backend.last_beat > LAPSE_S
                if lapsed and backend.name in self.store.objects["servers"]:
                    self.store.remove("servers", backend.name)
            await asyncio.sleep(0.05)

    async def start(self):
        self.config.write()
        for service, share in SHARES.items():
            for _ in range(max(2, round(self.options.backends * share))):
                await self.add_backend(service)
        self.store.put("servers", "forged", {"service": 7})
        for host in self.hosts:
            await host.prepare()
            host.start()
        self.tasks += [asyncio.ensure_future(task) for task in (
            self.beat(), *[host.keep() for host in self.hosts],
            *[host.ask_readiness() for host in self.hosts])]
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
            await asyncio.sleep(3)
            await Faults(self, self.seed).run(self.options.minutes * 60)
            self.log("faults are over")
            await asyncio.sleep(SETTLE_S)
            self.calm_since = time.monotonic()
            await asyncio.sleep(CALM_S)
            self.calm_until = time.monotonic() - 2.5
            self.calling_over = True
            await callers
            self.checks.judge_memory()
        finally:
            self.over = True
            for host in self.hosts:
                if host.process and host.process.poll() is None:
                    host.expected_end = True
                    host.process.kill()
                    host.process.wait()
                host.stop_listening()
            for backend in self.backends:
                if backend.alive:
                    backend.crash()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.checks.judge(not self.options.no_timing)
        return self.report()

    def report(self):
        calls = self.callers.calls
        statuses = {}
        for call in calls:
            key = str(call.status) if call.outcome == "answer" else call.outcome
            statuses[key] = statuses.get(key, 0) + 1
        self.summary.update(
            calls=len(calls), outcomes=dict(sorted(statuses.items())),
            runs=len(self.ledger.runs), store_calls=self.store.calls,
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
                        help="how long faults are started")
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--backends", type=int, default=20)
    parser.add_argument("--rate", type=float, default=60,
                        help="uses of connections a second")
    parser.add_argument("--network", type=int, default=50,
                        help="second part of the loopback addresses")
    parser.add_argument("--no-timing", action="store_true",
                        help="leave out the checks that have a time bound")
    parser.add_argument("--out", default="/tmp/coriandertray-soak")
    return parser.parse_args()


def runs_of(options):
    """(seed, minutes) of each run."""
    if options.regression:
        lines = (pathlib.Path(__file__).parent / "REGRESSION.txt").read_text(
            encoding="utf-8").splitlines()
        words = [line.split() for line in lines if not line.startswith("#")]
        return [(int(each[0]), float(each[1])) for each in words]
    first, last = (map(int, options.seeds.split("-")) if options.seeds
                   else (options.seed, options.seed))
    return [(seed, options.minutes) for seed in range(first, last + 1)]


def main():
    options = parse_options()
    failed = 0
    for seed, options.minutes in runs_of(options):
        summary, failures = asyncio.run(World(options, seed).run())
        failed += bool(failures)
        print(json.dumps({"seed": seed, "failures": len(failures), **summary}),
              flush=True)
        for failure in failures[:10]:
            print(f"  {failure}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

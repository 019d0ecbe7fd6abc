"""Faults, drawn by the seed; they come in series and overlap."""
import asyncio
import random
import signal
import time


class Faults:
    def __init__(self, world, seed):
        self.world = world
        # Of its own, so that a seed gives the same faults at each run.
        self.random = random.Random(f"faults of {seed}")
        self.kinds = 2 * [
            self.terminate_in_turn, self.terminate_some, self.kill_some,
            self.pause_some, self.signal_reload,
            self.store_away, self.store_refuses_some, self.store_slow,
            self.store_loses_answers, self.store_forgets,
            self.cut_store_links, self.harm_peer_links, self.harm_peer_links,
            self.harm_backend_links, self.gray_backends, self.gray_backends,
            self.crash_backends, self.reuse_addresses, self.drain_backends,
            self.add_backends, self.flap_backend, self.change_configuration,
            self.change_configuration, self.burst] + [self.kill_all]

    async def run(self, seconds):
        """Starts faults until `seconds` have passed, then waits for their
        ends."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            fault = self.random.choice(self.kinds)
            lasts = min(self.random.uniform(1, 6),
                        max(0.5, end - time.monotonic()))
            self.world.log(f"{fault.__name__} for {lasts:.1f} s")
            tasks.append(asyncio.ensure_future(fault(lasts)))
            # Now and then two at the same moment.
            if self.random.random() < 0.75:
                await asyncio.sleep(self.random.expovariate(1 / 1.5))
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def some(self, things, share=0.3):
        count = max(1, round(len(things) * self.random.uniform(0.05, share)))
        return self.random.sample(things, min(count, len(things)))

    def living(self):
        return [backend for backend in self.world.backends
                if backend.alive and backend.state == "ready"]

    def harm(self, backends, seconds):
        now = time.monotonic()
        for backend in backends:
            self.world.harmed.append((backend, now, now + seconds))

    # Hosts.
    async def terminate_in_turn(self, lasts):
        for host in self.some(self.world.hosts, 0.5):
            await host.terminate()
            await asyncio.sleep(0.5)

    async def terminate_some(self, lasts):
        await asyncio.gather(*[host.terminate()
                               for host in self.some(self.world.hosts)])

    async def kill_some(self, lasts):
        for host in self.some(self.world.hosts):
            host.kill()

    async def kill_all(self, lasts):
        for host in self.world.hosts:
            host.kill()

    async def pause_some(self, lasts):
        await asyncio.gather(*[host.pause(lasts)
                               for host in self.some(self.world.hosts)])

    async def signal_reload(self, lasts):
        for host in self.some(self.world.hosts):
            host.disturb("hup", 0)
            host.signal(signal.SIGHUP)

    # The store.
    async def store_fault(self, lasts, begin, end):
        span = [time.monotonic(), time.monotonic() + lasts]
        self.world.store.disturbed.append(span)
        begin()
        await asyncio.sleep(lasts)
        end()
        span[1] = time.monotonic()

    async def store_away(self, lasts):
        store = self.world.store
        mode = self.random.choice(["silent", "busy", "reset", "many"])
        await self.store_fault(lasts,
                               lambda: setattr(store, "mode", mode),
                               lambda: setattr(store, "mode", "ok"))

    async def store_refuses_some(self, lasts):
        hosts = self.some(self.world.hosts, 0.5)
        mode = self.random.choice(["silent", "busy", "reset", "many"])

        def begin():
            for host in hosts:
                self.world.store.refused[host.name] = mode

        def end():
            for host in hosts:
                self.world.store.refused.pop(host.name, None)
        await self.store_fault(lasts, begin, end)

    async def store_slow(self, lasts):
        store = self.world.store
        await self.store_fault(
            lasts, lambda: setattr(store, "slow_s", 0.25),
            lambda: setattr(store, "slow_s", 0.0))

    async def store_loses_answers(self, lasts):
        store = self.world.store
        await self.store_fault(
            lasts, lambda: setattr(store, "lost_share", 0.4),
            lambda: setattr(store, "lost_share", 0.0))

    async def store_forgets(self, lasts):
        store = self.world.store

        def begin():
            store.deaf_until = time.monotonic() + min(1.0, lasts)
        await self.store_fault(min(1.0, lasts), begin, store.compact)

    # Links.
    async def harm_links(self, links, lasts):
        kind = self.random.choice(["delay", "forward", "backward", "silent",
                                   "reset", "refuse"])
        for link in links:
            if kind == "delay":
                link.delay_s = self.random.uniform(0.02, 0.3)
            elif kind in ("forward", "backward"):
                link.cut[kind] = True
            elif kind == "silent":
                link.cut = {"forward": True, "backward": True}
            elif kind == "refuse":
                link.refuses = True
            if kind in ("reset", "refuse"):
                link.reset()
        await asyncio.sleep(lasts)
        for link in links:
            link.heal()

    async def cut_store_links(self, lasts):
        hosts = self.some(self.world.hosts, 0.4)
        for host in hosts:
            host.disturb("store-link", lasts)
        await self.harm_links([host.store_link for host in hosts], lasts)

    async def harm_peer_links(self, lasts):
        # Everybody's links to these hosts: all are touched by it.
        for host in self.world.hosts:
            host.disturb("peer-link", lasts)
        hosts = self.some(self.world.hosts, 0.4)
        await self.harm_links([host.peer_link for host in hosts], lasts)

    async def harm_backend_links(self, lasts):
        backends = self.some(self.living(), 0.2)
        self.harm(backends, lasts)
        await self.harm_links([backend.link for backend in backends], lasts)

    # Backend servers.
    async def gray_backends(self, lasts):
        backends = self.some(self.living())
        mode = self.random.choice(["hang", "hang", "slow", "errors", "reset",
                                   "mute", "shed", "truncate", "extra"])
        share = self.random.uniform(0.2, 0.9)
        self.harm(backends, lasts)
        for backend in backends:
            backend.modes[mode] = share
        await asyncio.sleep(lasts)
        for backend in backends:
            backend.modes.pop(mode, None)

    async def crash_backends(self, lasts):
        backends = self.some(self.living(), 0.15)
        self.harm(backends, 3600)
        for backend in backends:
            backend.crash()
        await asyncio.sleep(lasts)
        for backend in backends:
            await self.world.add_backend(backend.service)

    async def reuse_addresses(self, lasts):
        backend = self.random.choice(self.living())
        self.harm([backend], 3600)
        backend.crash()
        await asyncio.sleep(2.0)
        others = [name for name in self.world.services
                  if name != backend.service]
        await self.world.add_backend(self.random.choice(others), backend)
        await self.world.add_backend(backend.service)

    async def drain_backends(self, lasts):
        for backend in self.some(self.living(), 0.15):
            await self.world.add_backend(backend.service)
            backend.state = "draining"
            backend.beat()
            self.world.leave_later(backend)
            await asyncio.sleep(0.3)

    async def add_backends(self, lasts):
        for _ in range(self.random.randrange(1, 4)):
            await self.world.add_backend(
                self.random.choice(self.world.services))

    async def flap_backend(self, lasts):
        backend = self.random.choice(self.living())
        self.harm([backend], lasts)
        end = time.monotonic() + lasts
        while time.monotonic() < end:
            backend.link.refuses = not backend.link.refuses
            backend.link.reset()
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
        backend.link.heal()

    # The operator and the callers.
    async def change_configuration(self, lasts):
        for _ in range(self.random.choice([1, 1, 1, 4])):
            if not self.world.store.healthy:
                return
            acknowledged, added = self.world.config.change()
            if added is not None:
                self.world.test_later(acknowledged, added)
            await asyncio.sleep(0.2)

    async def burst(self, lasts):
        self.world.burst = 2.0
        await asyncio.sleep(lasts)
        self.world.burst = 1.0

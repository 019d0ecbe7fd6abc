"""Injects random faults; several may be active at the same time."""
import asyncio
import random
import signal
import time

from checks import FAULT_FREE_LEAD_S
from copies import CopySettings

# How long the reader is cut off from the store while a server leaves.
READER_CUT_S = 4.0
# The shortest and the longest time between two starts of a server, or of the
# next in turn.
RESTART_PERIOD_S = (0.5, 3.0)
# Why servers that copy responses refuse some requests.
COPYING_MODES = ("shed", "limit", "full")


class Faults:
    """Each method in `kinds` is a kind of fault; its name is logged."""
    def __init__(self, soak, seed):
        self.soak = soak
        # A separate generator, so that a seed gives the same faults every time.
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
        """Starts faults for `seconds`, then waits until all have ended."""
        if not self.soak.options.no_timing:
            await self.run_calm_departures()
        end = time.monotonic() + seconds
        tasks = [asyncio.ensure_future(each) for each in (
            self.run_misleading_servers(end), self.run_zone_restarts(end),
            self.run_silent_departures(end), self.run_restarted_servers(end, 1),
            self.run_restarted_servers(end, 2), self.run_overload())]
        while time.monotonic() < end:
            fault = self.random.choice(self.kinds)
            duration_s = min(self.random.uniform(1, 6),
                             max(0.5, end - time.monotonic()))
            self.soak.log(f"{fault.__name__} for {duration_s:.1f} s")
            tasks.append(asyncio.ensure_future(fault(duration_s)))
            # A quarter of the faults start together with the next one.
            if self.random.random() < 0.75:
                await asyncio.sleep(self.random.expovariate(1 / 1.5))
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def run_misleading_servers(self, end):
        """Makes servers send odd responses and entries, one kind at a time.

        Draws from a generator of its own, so that the other faults of a seed
        stay the same.
        """
        draw = random.Random(f"misleading servers of {self.soak.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(draw.uniform(0.5, 2.0))
            mode = draw.choice(["hold", "repeat", "cut_head", "odd_entry"])
            duration_s = draw.uniform(1, 4)
            if mode == "odd_entry":
                await self.write_odd_entry(draw, duration_s)
                continue
            ready = self.ready_backends()
            backends = draw.sample(ready, max(1, len(ready) // 4))
            # A server that repeats a refusal must refuse something first.
            modes = ["shed", "repeat"] if mode == "repeat" else [mode]
            self.soak.log(f"{mode} at {len(backends)} servers")
            if mode != "hold":
                self.record_backend_faults(backends, duration_s)
            for backend in backends:
                backend.modes.update(dict.fromkeys(modes, 0.4))
            await asyncio.sleep(duration_s)
            for backend in backends:
                for each in modes:
                    backend.modes.pop(each, None)

    async def run_restarted_servers(self, end, number):
        """Servers start again under a new name at their address.

        One alone, some by turns or many at once. The entry of the old name
        stays until its heartbeats are missed. The new servers and some others
        send copies of their responses; some of the new ones are full, whatever
        name a request has for them. Draws from a generator of its own, so that
        the other faults of a seed stay the same.
        """
        draw = random.Random(f"restarted servers {number} of {self.soak.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(draw.uniform(0.2, 1.0))
            ready = self.ready_backends()
            service = draw.choice(self.soak.services)
            of_service = [each for each in ready if each.service == service]
            servers = draw.sample(of_service, draw.choice(
                [min(1, len(of_service)), len(of_service)]))
            period_s = draw.triangular(*RESTART_PERIOD_S, RESTART_PERIOD_S[0])
            at_once = draw.random() < 0.5
            self.soak.log(f"{len(servers)} servers of {service} restart each "
                          f"{period_s:.1f} s{', at once' * at_once}")
            others = [each for each in ready if each not in servers]
            copying = [self.start_copies(draw, each)
                       for each in draw.sample(others, len(others) // 4)]
            turns = draw.randrange(1, 4) * (1 if at_once else len(servers))
            for turn in range(turns):
                if time.monotonic() >= end:
                    break
                servers = await asyncio.gather(*[
                    self.restart_server(draw, each, at_once or
                                        index == turn % len(servers))
                    for index, each in enumerate(servers)])
                await asyncio.sleep(period_s)
            for each in copying + servers:
                each.copies = None
                for mode in COPYING_MODES:
                    each.modes.pop(mode, None)

    async def restart_server(self, draw, backend, is_due):
        """Restarts a server that is due and not gone; returns the current one.

        Each incarnation sends copies, and is full at times.
        """
        draw = random.Random(draw.random())
        if not is_due or backend not in self.ready_backends():
            return backend
        self.record_backend_faults([backend], 3600)
        backend.crash()
        await asyncio.sleep(draw.uniform(0.0, 0.2))
        successor = await self.soak.add_backend(backend.service, backend)
        self.start_copies(draw, successor)
        full = draw.choice([0.0, 0.3, 0.6])
        if full:
            successor.modes["full"] = full
        return successor

    def start_copies(self, draw, backend):
        """Has a server copy some of its responses; returns it."""
        draw = random.Random(draw.random())
        backend.copies = CopySettings(draw, draw.uniform(0.5, 1.0),
                                      draw.random() < 0.5)
        backend.modes[draw.choice(COPYING_MODES)] = 0.3
        self.record_backend_faults([backend], 6.0)
        return backend

    async def run_zone_restarts(self, end):
        """Stops all hosts of a zone but one, so that their stops overlap.

        The load balancer then sends new connections to hosts that leave, and
        all callers are in that zone. Draws from a generator of its own, so that
        the other faults of a seed stay the same.
        """
        draw = random.Random(f"zone restarts of {self.soak.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(draw.uniform(1.0, 8.0))
            zone = draw.choice(sorted({host.zone for host in self.soak.hosts}))
            hosts = [host for host in self.soak.hosts if host.zone == zone]
            draw.shuffle(hosts)
            if len(hosts) < 3:
                continue
            self.soak.log(f"hosts of zone {zone} are restarted")
            self.soak.crowded_zone = zone
            stops = []
            for host in hosts[1:]:
                stops.append(asyncio.ensure_future(host.terminate()))
                await asyncio.sleep(draw.uniform(0.2, 1.2))
            await asyncio.gather(*stops)
            self.soak.crowded_zone = None

    async def run_overload(self):
        """Doubles the load for 3 s while the servers have no slots to spare.

        In every sixth seed, each of which has accounts, so that the runs of
        other seeds stay the same.
        """
        if self.soak.seed % 6 != 0:
            return
        draw = random.Random(f"overload of {self.soak.seed}")
        await asyncio.sleep(draw.uniform(0.0, 5.0))
        self.soak.log("overload")
        self.soak.overloaded = True
        await asyncio.sleep(3.0)
        self.soak.overloaded = False

    async def run_calm_departures(self):
        """Silent departures without other faults, which would excuse hosts."""
        draw = random.Random(f"calm departures of {self.soak.seed}")
        for _ in range(2):
            await asyncio.sleep(FAULT_FREE_LEAD_S)
            await self.lose_reader_and_server(draw)

    async def run_silent_departures(self, end):
        """Servers leave without draining first, as the reader loses the store.

        Draws from a generator of its own, so that the other faults of a seed
        stay the same.
        """
        draw = random.Random(f"silent departures of {self.soak.seed}")
        while time.monotonic() < end:
            await asyncio.sleep(draw.uniform(1.0, 5.0))
            await self.lose_reader_and_server(draw)

    async def lose_reader_and_server(self, draw):
        """Cuts the reader off from the store, and a server leaves silently."""
        name = await draw.choice(self.soak.hosts).ask_reader()
        readers = [host for host in self.soak.hosts if host.name == name]
        ready = self.ready_backends()
        if not readers or not ready or not self.soak.store.healthy:
            return
        backend = draw.choice(ready)
        self.soak.log(f"{name} loses the store, {backend.name} leaves")
        readers[0].record_fault("store-link", READER_CUT_S)
        link = readers[0].store_link
        link.blocked = {"forward": True, "backward": True}
        await asyncio.sleep(0.3)
        backend.leave_silently()
        self.soak.stop_after_drain(backend)
        await asyncio.sleep(READER_CUT_S - 0.3)
        link.clear_faults()
        await self.soak.add_backend(backend.service)

    async def write_odd_entry(self, draw, duration_s):
        """Puts an entry that makes no sense beside those of the servers."""
        deep = 1
        for _ in range(200):
            deep = [deep]
        good = {"service": self.soak.services[0], "address": "127.0.0.1:9",
                "zone": "a", "slots": 3, "state": "ready",
                "warmup_remaining": "0ms", "sequence": 1, "born": 1}
        name, value = draw.choice([
            ("later", deep), ("slots", 10 ** 400), ("slots", 2 ** 32 + 1),
            ("address", "127.0.0.1:65545"), ("address", "127.0.0.1:-9"),
            ("zone", "\ud800"), ("zone", "x" * 1_000_000),
            ("service", ["one"]), ("state", None)])
        self.soak.log(f"odd entry: {name}")
        self.soak.store.put("servers", "odd", {**good, name: value})
        await asyncio.sleep(duration_s)
        self.soak.store.remove("servers", "odd")

    def sample(self, items, share=0.3):
        """A random choice of at least one item and at most the share."""
        count = max(1, round(len(items) * self.random.uniform(0.05, share)))
        return self.random.sample(items, min(count, len(items)))

    def ready_backends(self):
        return [backend for backend in self.soak.backends
                if backend.alive and backend.state == "ready"]

    def record_backend_faults(self, backends, seconds):
        now = time.monotonic()
        for backend in backends:
            self.soak.backend_faults.append((backend, now, now + seconds))

    # Faults of hosts.
    async def terminate_in_turn(self, duration_s):
        for host in self.sample(self.soak.hosts, 0.5):
            await host.terminate()
            await asyncio.sleep(0.5)

    async def terminate_some(self, duration_s):
        await asyncio.gather(*[host.terminate()
                               for host in self.sample(self.soak.hosts)])

    async def kill_some(self, duration_s):
        for host in self.sample(self.soak.hosts):
            host.kill()

    async def kill_all(self, duration_s):
        for host in self.soak.hosts:
            host.kill()

    async def pause_some(self, duration_s):
        await asyncio.gather(*[host.pause(duration_s)
                               for host in self.sample(self.soak.hosts)])

    async def signal_reload(self, duration_s):
        for host in self.sample(self.soak.hosts):
            host.record_fault("hup", 0)
            host.signal(signal.SIGHUP)

    # Faults of the object store.
    async def store_fault(self, duration_s, begin, end):
        """Applies a fault and records its interval for the checks."""
        interval = [time.monotonic(), time.monotonic() + duration_s]
        self.soak.store.fault_intervals.append(interval)
        begin()
        await asyncio.sleep(duration_s)
        end()
        interval[1] = time.monotonic()

    async def store_away(self, duration_s):
        store = self.soak.store
        mode = self.random.choice(["silent", "busy", "reset", "many"])
        await self.store_fault(duration_s,
                               lambda: setattr(store, "mode", mode),
                               lambda: setattr(store, "mode", "ok"))

    async def store_refuses_some(self, duration_s):
        hosts = self.sample(self.soak.hosts, 0.5)
        mode = self.random.choice(["silent", "busy", "reset", "many"])

        def begin():
            for host in hosts:
                self.soak.store.host_modes[host.name] = mode

        def end():
            for host in hosts:
                self.soak.store.host_modes.pop(host.name, None)
        await self.store_fault(duration_s, begin, end)

    async def store_slow(self, duration_s):
        store = self.soak.store
        await self.store_fault(
            duration_s, lambda: setattr(store, "delay_s", 0.25),
            lambda: setattr(store, "delay_s", 0.0))

    async def store_loses_answers(self, duration_s):
        store = self.soak.store
        await self.store_fault(
            duration_s, lambda: setattr(store, "lost_write_share", 0.4),
            lambda: setattr(store, "lost_write_share", 0.0))

    async def store_forgets(self, duration_s):
        """Stalls watches for up to a second, then drops the event history."""
        store = self.soak.store

        def begin():
            store.watch_stalled_until = time.monotonic() + min(1.0, duration_s)
        await self.store_fault(min(1.0, duration_s), begin, store.compact)

    # Faults of links.
    async def disrupt_links(self, links, duration_s):
        """Applies one kind of fault to the links.

        It is a delay, data blocked in one or both directions, a reset, or
        refused connections.
        """
        kind = self.random.choice(["delay", "forward", "backward", "silent",
                                   "reset", "refuse"])
        for link in links:
            if kind == "delay":
                link.delay_s = self.random.uniform(0.02, 0.3)
            elif kind in ("forward", "backward"):
                link.blocked[kind] = True
            elif kind == "silent":
                link.blocked = {"forward": True, "backward": True}
            elif kind == "refuse":
                link.refuses = True
            if kind in ("reset", "refuse"):
                link.reset()
        await asyncio.sleep(duration_s)
        for link in links:
            link.clear_faults()

    async def cut_store_links(self, duration_s):
        hosts = self.sample(self.soak.hosts, 0.4)
        for host in hosts:
            host.record_fault("store-link", duration_s)
        await self.disrupt_links([host.store_link for host in hosts],
                                 duration_s)

    async def harm_peer_links(self, duration_s):
        # Every host connects to the chosen hosts, so all of them are affected.
        for host in self.soak.hosts:
            host.record_fault("peer-link", duration_s)
        hosts = self.sample(self.soak.hosts, 0.4)
        await self.disrupt_links([host.peer_link for host in hosts],
                                 duration_s)

    async def harm_backend_links(self, duration_s):
        backends = self.sample(self.ready_backends(), 0.2)
        self.record_backend_faults(backends, duration_s)
        await self.disrupt_links([backend.link for backend in backends],
                                 duration_s)

    # Faults of backend servers.
    async def gray_backends(self, duration_s):
        backends = self.sample(self.ready_backends())
        mode = self.random.choice(["hang", "hang", "slow", "errors", "reset",
                                   "mute", "shed", "truncate", "extra"])
        share = self.random.uniform(0.2, 0.9)
        self.record_backend_faults(backends, duration_s)
        for backend in backends:
            backend.modes[mode] = share
        await asyncio.sleep(duration_s)
        for backend in backends:
            backend.modes.pop(mode, None)

    async def crash_backends(self, duration_s):
        backends = self.sample(self.ready_backends(), 0.15)
        self.record_backend_faults(backends, 3600)
        for backend in backends:
            backend.crash()
        await asyncio.sleep(duration_s)
        for backend in backends:
            await self.soak.add_backend(backend.service)

    async def reuse_addresses(self, duration_s):
        """Starts a server of another service at a crashed server's address."""
        backend = self.random.choice(self.ready_backends())
        self.record_backend_faults([backend], 3600)
        backend.crash()
        await asyncio.sleep(2.0)
        others = [name for name in self.soak.services
                  if name != backend.service]
        await self.soak.add_backend(self.random.choice(others), backend)
        await self.soak.add_backend(backend.service)

    async def drain_backends(self, duration_s):
        """Replaces servers; the old ones drain and then stop."""
        for backend in self.sample(self.ready_backends(), 0.15):
            await self.soak.add_backend(backend.service)
            backend.state = "draining"
            backend.send_heartbeat()
            self.soak.stop_after_drain(backend)
            await asyncio.sleep(0.3)

    async def add_backends(self, duration_s):
        for _ in range(self.random.randrange(1, 4)):
            await self.soak.add_backend(
                self.random.choice(self.soak.services))

    async def flap_backend(self, duration_s):
        """Makes a server unreachable and reachable in turn."""
        backend = self.random.choice(self.ready_backends())
        self.record_backend_faults([backend], duration_s)
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            backend.link.refuses = not backend.link.refuses
            backend.link.reset()
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
        backend.link.clear_faults()

    # Actions of the operator and the callers.
    async def change_configuration(self, duration_s):
        for _ in range(self.random.choice([1, 1, 1, 4])):
            if not self.soak.store.healthy:
                return
            acknowledged, added = self.soak.config.change()
            if added is not None:
                self.soak.check_route_later(acknowledged, added)
            await asyncio.sleep(0.2)

    async def burst(self, duration_s):
        self.soak.burst = 2.0
        await asyncio.sleep(duration_s)
        self.soak.burst = 1.0

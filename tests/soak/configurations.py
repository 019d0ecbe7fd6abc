"""Plays the operator: writes successive configurations to the store."""
import asyncio
import copy
import dataclasses
import random
import time

SERVICES = ("reads", "books", "orders")
# Part of every key and of nothing else, so that a key that is passed on is
# found whatever header it is in.
KEY_PREFIX = "soakkey-"
# Routes below it serve requests without an account.
ANONYMOUS_PREFIX = "/read/"


@dataclasses.dataclass
class Snapshot:
    """The accounts of one written configuration."""
    written: float
    # The name of the account by key.
    holders: dict
    # The rate per second and the burst by account; a rate of 0 is no limit.
    quotas: dict

    def account_of(self, call):
        """The account of a call, "" if it needs none, None if it is denied."""
        if call.key is None:
            return "" if call.path.startswith(ANONYMOUS_PREFIX) else None
        return self.holders.get(call.key)


class Accounts:
    """The client accounts of the current configuration, and their changes.

    Draws from a generator of its own, so that a seed gives the same changes
    every time.
    """
    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"accounts of {soak.seed}")
        self.current = []
        self.created = 0
        # Every key that an account ever had.
        self.keys = []
        # The account that sends many times its usual load, if any.
        self.surging = None
        for _ in range(5):
            self.add_account()
        # The first account and its key never change, so that a request that
        # must be served can always be made.
        self.current[0].update(rate_per_s=0, burst=0)

    def create_key(self):
        key = f"{KEY_PREFIX}{len(self.keys)}-{self.random.getrandbits(64):x}"
        self.keys.append(key)
        return key

    def draw_quota(self):
        """A random quota; callers use 0.15 x `rate` of it but in a surge."""
        rate = self.soak.options.rate * self.random.choice([0.1, 0.2, 0.3])
        return {"rate_per_s": rate,
                "burst": rate * self.random.choice([0.5, 1])}

    def add_account(self):
        self.current.append({
            "name": f"account-{self.created}",
            "api_keys": [self.create_key(), self.create_key()],
            "priority": self.random.randrange(3), **self.draw_quota()})
        self.created += 1

    def change(self):
        """Makes one random change and returns its name."""
        kind = self.random.choice(["add", "remove", "move", "move", "quota",
                                   "quota", "replace"])
        account, other = self.random.sample(self.current[1:], 2)
        keys = account["api_keys"]
        if kind == "quota":
            account.update(self.draw_quota())
        elif kind == "replace":
            self.current.remove(account)
            self.add_account()
        elif kind == "add" or len(keys) == 1:
            keys.append(self.create_key())
        else:
            key = keys.pop(self.random.randrange(len(keys)))
            if kind == "move":
                other["api_keys"].append(key)
        return f"{kind} {account['name']}"

    def snapshot(self):
        return Snapshot(
            time.monotonic(),
            {key: each["name"] for each in self.current
             for key in each["api_keys"]},
            {each["name"]: (each["rate_per_s"], each["burst"])
             for each in self.current})

    async def run(self):
        """Changes accounts and has single accounts send far too much.

        It goes on after the faults, as a host with faults may use an older
        configuration and is checked less strictly.
        """
        while not self.soak.callers_stopping:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            if self.random.random() < 0.4:
                self.surging = self.random.choice(self.current[1:])
                self.soak.log(f"surge of {self.surging['name']}")
                await asyncio.sleep(self.random.uniform(1.5, 3.0))
                self.surging = None
            elif self.soak.store.healthy:
                self.soak.log(f"accounts: {self.change()}")
                self.soak.config.write()


class Configurations:
    """The current configuration, and every service that a route ever had."""
    def __init__(self, soak):
        self.soak = soak
        self.version = 3
        self.order_targets = [{"service": "orders"}]
        self.added = []
        self.sent = []
        self.acknowledged = 0.0
        # By path prefix, each service that any configuration routed it to, as
        # hosts may still use an older configuration.
        self.allowed = {}
        # A third of the seeds have accounts.
        self.accounts = Accounts(soak) if soak.seed % 3 == 0 else None
        # The accounts of each configuration so far.
        self.history = []

    def rule(self, name, prefix, kind, target, timeout="2000ms"):
        services = ([target["service"]] if "service" in target else
                    [part["service"] for part in target["traffic_split"]])
        self.allowed.setdefault(prefix, set()).update(services)
        rule = {"name": name, "path_prefix": prefix, "kind": kind,
                "timeout": timeout, "target_latency": "600ms",
                "max_attempts": 2, "priority": 1, **target}
        if self.accounts and prefix == ANONYMOUS_PREFIX:
            rule["allow_anonymous"] = True
        return rule

    def allowed_services(self, path):
        """The services that any configuration so far routed the path to."""
        prefixes = [each for each in self.allowed if path.startswith(each)]
        return self.allowed[max(prefixes, key=len)] if prefixes else set()

    def write(self):
        """Writes the configuration; returns when the store acknowledged it."""
        rules = [
            self.rule("read", "/read/", "safe", {"service": "reads"}, "1500ms"),
            self.rule("book", "/book/", "unsafe", {"service": "books"}),
            self.rule("order", "/order/", "unsafe", self.order_targets[0])]
        rules += [self.rule(f"added-{number}", f"/added-{number}/", "safe",
                            {"service": "reads"}) for number in self.added]
        self.version += self.soak.random.randrange(1, 5)
        accounts = {}
        if self.accounts:
            self.history.append(self.accounts.snapshot())
            # A copy, as later changes are made in place.
            accounts["tenants"] = copy.deepcopy(self.accounts.current)
        self.soak.store.put("config", "main", {
            "version": self.version,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout": "3s", "idle_timeout": "5s"},
            "services": [{"name": name, "health_check_path": "/health",
                          "max_connections": 300} for name in SERVICES],
            "virtual_hosts": [{"host": "shop.example", "path_rules": rules}],
            **accounts})
        self.acknowledged = time.monotonic()
        return self.acknowledged

    def change(self):
        """Makes one random change and writes it.

        Returns when the store acknowledged it, and the number of the added
        route or None.
        """
        random = self.soak.random
        kind = random.choice(["move", "split", "add", "add", "drop"])
        added = None
        if kind == "move":
            self.order_targets = [{"service": random.choice(
                ["orders", "reads"])}]
        elif kind == "split":
            self.order_targets = [{"traffic_split": [
                {"service": "orders", "weight": random.randrange(1, 10)},
                {"service": "reads", "weight": random.randrange(1, 10)}]}]
        elif kind == "drop" and self.added:
            self.added.pop(0)
        else:
            added = self.version + 1000
            self.added.append(added)
        return self.write(), added

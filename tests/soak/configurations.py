"""Plays the operator: writes successive configurations to the store."""
import time

SERVICES = ("reads", "books", "orders")


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

    def rule(self, name, prefix, kind, target, timeout="2000ms"):
        services = ([target["service"]] if "service" in target else
                    [part["service"] for part in target["traffic_split"]])
        self.allowed.setdefault(prefix, set()).update(services)
        return {"name": name, "path_prefix": prefix, "kind": kind,
                "timeout": timeout, "target_latency": "600ms",
                "max_attempts": 2, "priority": 1, **target}

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
        self.soak.store.put("config", "main", {
            "version": self.version,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout": "3s", "idle_timeout": "5s"},
            "services": [{"name": name, "health_check_path": "/health",
                          "max_connections": 300} for name in SERVICES],
            "virtual_hosts": [{"host": "shop.example", "path_rules": rules}]})
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

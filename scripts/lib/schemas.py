"""Writes schema/*.json; run it after a change of what the programs read."""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DRAFT = "https://json-schema.org/draft/2020-12/schema"


def text(description, pattern=None):
    found = {"type": "string", "description": description}
    if pattern:
        found["pattern"] = pattern
    return found


def number(description, least, most, default=None):
    found = {"type": "integer", "minimum": least, "maximum": most,
             "description": description}
    if default is not None:
        found["default"] = default
    return found


def record(required, optional=None):
    return {"type": "object", "additionalProperties": False,
            "required": sorted(required),
            "properties": {**required, **(optional or {})}}


def items(of, description):
    return {"type": "array", "items": of, "description": description}


NAME = text("1 to 100 of the characters A-Z a-z 0-9 - _ .",
            "^[A-Za-z0-9._-]{1,100}$")
ADDRESS = text("IP:PORT", "^.+:[0-9]+$")
METHODS = items({"type": "string"}, "HTTP methods")
LIMITS = {
    "max_in_flight": number("requests at a time at one host", 1, 1000000, 64),
    "requests_per_second": number("0 means unlimited", 0, 1000000, 0),
}

MANIFEST = record({
    "format": {"const": 1},
    "fleet": NAME,
    "zones": items({"type": "string"}, "availability zones"),
    "services": items(record({
        "name": NAME,
        "floor_slots": number("slots that stay in service, at most all",
                              0, 1000000),
        "backend_servers": items(record({
            "name": NAME, "address": ADDRESS,
            "zone": text("one of /zones"),
            "slots": number("requests it runs at a time", 1, 1000),
            "connection_limit": number("connections over the whole fleet",
                                       1, 100000),
        }), "names are unique within the service"),
        "routes": items(record({
            "name": NAME,
            "path_prefix": text("matches whole segments", "^(/.*)?$"),
            "methods": METHODS,
            "deadline_ms": number("the longest a request may take",
                                  1, 600000),
        }, {"host": text("empty matches every host"),
            "idempotent_methods": METHODS}),
            "host and path prefix are unique over all services"),
    }, {
        "retry_budget_percent": number("of requests", 0, 100, 10),
        "hedge_budget_percent": number("of requests", 0, 100, 5),
        "queue_limit": number("requests waiting at one host", 0, 100000, 200),
        "keyed_requests_while_store_away": {
            "enum": ["refuse", "run-once"], "default": "refuse"},
        "key_retention_s": number("how long a key is remembered",
                                  1, 86400, 600),
    }), "names are unique"),
}, {
    "caller_limits": record({}, LIMITS),
    "accounts": items(record({"name": NAME}, LIMITS), "own limits"),
})

SETTINGS = {
    "host": text("the host's name"),
    "zone": text("its availability zone"),
    "listen": ADDRESS,
    "admin": ADDRESS,
    "admin_token": text("operators' changes carry it"),
}
AGENT = record({**SETTINGS, "platform": ADDRESS},
               {"seeds": items(ADDRESS, "listen addresses of other agents")})
PROXY = record({**SETTINGS, "agent": ADDRESS},
               {"leave_limit_s": number("the longest graceful shutdown",
                                        1, 3600, 30)})
DURATION = text("a number with ms or s", "^[0-9.]+(ms|s)$")
HOST = record({
    "host": text("the host's name"),
    "zone": text("its availability zone"),
    "ip": text("where other hosts connect"),
    "listen": ADDRESS,
    "readiness": ADDRESS,
    "grace_period": DURATION,
    "retry_window": DURATION,
    "platform": ADDRESS,
}, {
    "first_internal_port": number("for other hosts; the next one serves "
                                  "metrics and state", 1, 65535, 7540),
    "peer_address": {**ADDRESS, "description":
                     "where other hosts reach it, if not where it listens"},
    "cpu_share": {"type": "number", "minimum": 0, "default": 1.0,
                  "description": "cores that the process may use"},
    "retry_ratio": {"type": "number", "minimum": 0, "default": 0.2,
                    "description": "repeats a request, fleet-wide"},
    "retry_slack": {"type": "number", "minimum": 0, "default": 0,
                    "description": "repeats beyond that in one window"},
})


def main():
    for name, schema in (("manifest", MANIFEST), ("agent", AGENT),
                         ("proxy", PROXY), ("host", HOST)):
        path = ROOT / "schema" / f"{name}.json"
        path.write_text(json.dumps({"$schema": DRAFT, **schema}, indent=1)
                        + "\n")


if __name__ == "__main__":
    main()

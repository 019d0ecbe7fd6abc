"""Writes schema/*.json.

Run it after changing what a program reads from its manifest or settings.
"""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DRAFT = "https://json-schema.org/draft/2020-12/schema"


def string_schema(description, pattern=None):
    schema = {"type": "string", "description": description}
    if pattern:
        schema["pattern"] = pattern
    return schema


def integer_schema(description, minimum, maximum, default=None):
    schema = {"type": "integer", "minimum": minimum, "maximum": maximum,
              "description": description}
    if default is not None:
        schema["default"] = default
    return schema


def object_schema(required, optional=None):
    """An object that allows only the given properties."""
    return {"type": "object", "additionalProperties": False,
            "required": sorted(required),
            "properties": {**required, **(optional or {})}}


def array_schema(item_schema, description):
    return {"type": "array", "items": item_schema, "description": description}


NAME = string_schema("1 to 100 of the characters A-Z a-z 0-9 - _ .",
                     "^[A-Za-z0-9._-]{1,100}$")
ADDRESS = string_schema("IP:PORT", "^.+:[0-9]+$")
METHODS = array_schema({"type": "string"}, "HTTP methods")
LIMITS = {
    "max_in_flight": integer_schema("requests at a time at one host",
                                    1, 1000000, 64),
    "requests_per_second": integer_schema("0 means unlimited", 0, 1000000, 0),
}

MANIFEST = object_schema({
    "format": {"const": 1},
    "fleet": NAME,
    "zones": array_schema({"type": "string"}, "availability zones"),
    "services": array_schema(object_schema({
        "name": NAME,
        "floor_slots": integer_schema("slots that stay in service, at most all",
                                      0, 1000000),
        "backend_servers": array_schema(object_schema({
            "name": NAME, "address": ADDRESS,
            "zone": string_schema("one of /zones"),
            "slots": integer_schema("requests it runs at a time", 1, 1000),
            "connection_limit": integer_schema(
                "connections over the whole fleet", 1, 100000),
        }), "names are unique within the service"),
        "routes": array_schema(object_schema({
            "name": NAME,
            "path_prefix": string_schema("matches whole segments", "^(/.*)?$"),
            "methods": METHODS,
            "deadline_ms": integer_schema("the longest a request may take",
                                          1, 600000),
        }, {"host": string_schema("empty matches every host"),
            "idempotent_methods": METHODS}),
            "host and path prefix are unique over all services"),
    }, {
        "retry_budget_percent": integer_schema("of requests", 0, 100, 10),
        "hedge_budget_percent": integer_schema("of requests", 0, 100, 5),
        "queue_limit": integer_schema("requests waiting at one host",
                                      0, 100000, 200),
        "keyed_requests_while_store_away": {
            "enum": ["refuse", "run-once"], "default": "refuse"},
        "key_retention_s": integer_schema("how long a key is remembered",
                                          1, 86400, 600),
    }), "names are unique"),
}, {
    "caller_limits": object_schema({}, LIMITS),
    "accounts": array_schema(object_schema({"name": NAME}, LIMITS),
                             "own limits"),
})

SETTINGS = {
    "host": string_schema("the host's name"),
    "zone": string_schema("its availability zone"),
    "listen": ADDRESS,
    "admin": ADDRESS,
    "admin_token": string_schema("operators' changes carry it"),
}
AGENT = object_schema(
    {**SETTINGS, "platform": ADDRESS},
    {"seeds": array_schema(ADDRESS, "listen addresses of other agents")})
PROXY = object_schema(
    {**SETTINGS, "agent": ADDRESS},
    {"leave_limit_s": integer_schema("the longest graceful shutdown",
                                     1, 3600, 30)})
DURATION = string_schema("a number with ms or s", "^[0-9.]+(ms|s)$")
HOST = object_schema({
    "host": string_schema("the host's name"),
    "zone": string_schema("its availability zone"),
    "ip": string_schema("where other hosts connect"),
    "listen": ADDRESS,
    "readiness": ADDRESS,
    "grace_period": DURATION,
    "retry_window": DURATION,
    "platform": ADDRESS,
}, {
    "first_internal_port": integer_schema(
        "for other hosts; the next one serves "
        "metrics and state", 1, 65535, 7540),
    "peer_address": {**ADDRESS, "description":
                     "where other hosts reach it, if not where it listens"},
    "cpu_share": {"type": "number", "minimum": 0, "default": 1.0,
                  "description": "cores that the process may use"},
    "memory_mb": integer_schema("memory that the process may use, in MiB",
                                1, 1000000, 160),
    "retry_ratio": {"type": "number", "minimum": 0, "default": 0.2,
                    "description": "repeats a request, fleet-wide"},
    "retry_slack": {"type": "number", "minimum": 0, "default": 0,
                    "description": "repeats beyond that in one window"},
    "bounds": {"type": "object",
               "description": "the platform's bounds; quota_window, "
                              "quota_overshoot and quota_slack are read, the "
                              "fields of these names go first"},
    "quota_window": {"type": "string", "pattern": "^[0-9.]+(ms|s)$",
                     "default": "5s",
                     "description": "window in which the quota of a client "
                                    "account is kept"},
    "quota_overshoot": {"type": "number", "minimum": 0, "default": 0,
                        "description": "requests beyond a quota in one "
                                       "window, as a share of it"},
    "quota_slack": {"type": "number", "minimum": 0, "default": 0,
                    "description": "further requests beyond a quota in one "
                                   "window"},
})


def main():
    for name, schema in (("manifest", MANIFEST), ("agent", AGENT),
                         ("proxy", PROXY), ("host", HOST)):
        path = ROOT / "schema" / f"{name}.json"
        path.write_text(json.dumps({"$schema": DRAFT, **schema}, indent=1)
                        + "\n")


if __name__ == "__main__":
    main()

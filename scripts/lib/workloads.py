"""The two deployments: services, sizes, routes and request classes."""

# `slots` and `connections` are limits of each backend server.
WORKLOADS = {
    "plovdiv": {
        "zones": ["plovdiv-1", "plovdiv-2", "plovdiv-3"],
        "slots": 3,
        "connections": 330,
        "services": [
            {"name": "loopdocs", "servers": 8, "read": "/drawings",
             "deadline_ms": 2000},
            {"name": "crewdesk", "servers": 16, "read": "/bookings",
             "write": "/bookings/new", "deadline_ms": 5000},
            {"name": "stockroom", "servers": 6, "read": "/orders",
             "write": "/orders/new", "deadline_ms": 5000},
        ],
    },
    "queensland": {
        "zones": ["queensland-1", "queensland-2", "queensland-3",
                  "queensland-4"],
        "slots": 2,
        "connections": 390,
        "services": [
            {"name": "auroracast", "servers": 13, "read": "/sightings",
             "deadline_ms": 2000},
            {"name": "subroll", "servers": 19, "read": "/subscriptions",
             "write": "/subscriptions/new", "deadline_ms": 5000},
            {"name": "tourdesk", "servers": 8, "read": "/charters",
             "write": "/charters/new", "deadline_ms": 5000},
        ],
    },
}

SERVER_PORT = 8000
MAX_SERVERS_PER_NET = 250


def server_ip(network, service_index, server_index):
    return f"127.{network}.{100 + service_index}.{server_index + 1}"


def routes(service):
    """An idempotent read route and, if the service has one, a write route."""
    result = [{
        "name": service["name"] + "-read",
        "host": service["name"],
        "path_prefix": service["read"],
        "methods": ["GET", "HEAD"],
        "idempotent_methods": ["GET", "HEAD"],
        "deadline_ms": service["deadline_ms"],
    }]
    if "write" in service:
        result.append({
            "name": service["name"] + "-write",
            "host": service["name"],
            "path_prefix": service["write"],
            "methods": ["POST"],
            "idempotent_methods": [],
            "deadline_ms": service["deadline_ms"],
        })
    return result


def manifest(name, network):
    """The manifest of a workload at its current size.

    `network` is the second octet of the servers' loopback addresses.
    """
    workload = WORKLOADS[name]
    zones = workload["zones"]
    services = []
    for index, service in enumerate(workload["services"]):
        servers = [{
            "name": f"{service['name']}-{number + 1}",
            "address": f"{server_ip(network, index, number)}:{SERVER_PORT}",
            "zone": zones[number % len(zones)],
            "slots": workload["slots"],
            "connection_limit": workload["connections"],
        } for number in range(service["servers"])]
        services.append({
            "name": service["name"],
            "floor_slots": service["servers"] * workload["slots"] // 2,
            "backend_servers": servers,
            "routes": routes(service),
        })
    return {
        "format": 1,
        "fleet": name,
        "zones": zones,
        "caller_limits": {"max_in_flight": 400},
        "services": services,
    }


def scale_manifest(name):
    """A manifest of the target size.

    It has 320 services, 12,000 backend servers, 17,000 routes and 22,000
    accounts. The addresses are made up.
    """
    service_count, server_count = 320, 12000
    route_count, account_count = 17000, 22000
    workload = WORKLOADS[name]
    zones = [f"zone-{number + 1}" for number in range(7)]
    services = []
    for index in range(service_count):
        servers = server_count // service_count + (
            index < server_count % service_count)
        own_routes = route_count // service_count + (
            index < route_count % service_count)
        services.append({
            "name": f"service-{index}",
            "floor_slots": servers * workload["slots"] // 2,
            "backend_servers": [{
                "name": f"service-{index}-{number}",
                "address": f"10.{index // 250}.{index % 250}.{number + 1}:8000",
                "zone": zones[number % len(zones)],
                "slots": workload["slots"],
                "connection_limit": workload["connections"],
            } for number in range(servers)],
            "routes": [{
                "name": f"route-{number}",
                "host": f"service-{index}",
                "path_prefix": f"/part-{number}",
                "methods": ["GET"],
                "idempotent_methods": ["GET"],
                "deadline_ms": 2000,
            } for number in range(own_routes)],
        })
    return {
        "format": 1,
        "fleet": name,
        "zones": zones,
        "accounts": [{"name": f"account-{number}", "max_in_flight": 64}
                     for number in range(account_count)],
        "services": services,
    }


def load_classes(name, write_share=0.5):
    """Request classes of the load generator, by the number of servers.

    `write_share` is the share of writes at services that have a write route.
    """
    classes = []
    for service in WORKLOADS[name]["services"]:
        share = service["servers"]
        reads = share * (1 - write_share) if "write" in service else share
        classes.append({
            "name": service["name"] + "-read", "method": "GET",
            "host": service["name"], "path": service["read"],
            "share": reads, "idempotent": True,
        })
        if "write" in service:
            classes.append({
                "name": service["name"] + "-write", "method": "POST",
                "host": service["name"], "path": service["write"],
                "share": share - reads, "idempotent": False, "keyed": True,
            })
    return classes


def total_slots(name):
    workload = WORKLOADS[name]
    return sum(service["servers"] for service in workload["services"]
               ) * workload["slots"]

"""Runs plovdiv's services under load with two gray failures, one at a time.

Prints the faults, the verdicts and a final table of measured results.
"""
import argparse
import json
import sys
import tempfile
import threading
import time

import fleet as fleets

HOSTS = 6
RATE = 600
SECONDS = 45
DETECTION_LIMIT_S = 2.0
FAULTS = [
    # Start in seconds, server, fault, duration in seconds, description.
    (6, "loopdocs-1", {"fail_share": 1.0}, 8,
     "fails its real work and still answers probes"),
    (18, "crewdesk-2", {"slow": 6.0}, 8, "runs six times slower"),
]


def print_event(started, text):
    """Prints `text` with the seconds since `started`."""
    print(f"{time.monotonic() - started:6.1f} s  {text}", flush=True)


def print_verdicts(fleet, started, stop):
    """Prints each verdict of an agent until `stop` is set."""
    seen = set()
    while not stop.wait(0.1):
        for line in fleet.events("agent-", "verdict"):
            key = (line["service"], line["backend_server"], line["standing"],
                   line["judge"], line["evidence"])
            if key in seen:
                continue
            seen.add(key)
            print_event(
                started, f"verdict: {line['backend_server']} is "
                f"{line['standing']}: {line['reason']} ({line['evidence']})")


def inject_faults(fleet, started):
    """Injects and clears the faults.

    Returns (server, description, onset) of each; the onset is a Unix time in
    seconds.
    """
    onsets = []
    schedule = []
    for start_s, server, fault, duration_s, description in FAULTS:
        schedule.append((start_s, server, fault, description))
        schedule.append((start_s + duration_s, server, {}, "is healthy again"))
    for start_s, server, fault, description in sorted(
            schedule, key=lambda entry: entry[0]):
        time.sleep(max(0, started + start_s - time.monotonic()))
        onset = fleet.set_server_faults(server, **fault)
        print_event(started, f"fault: {server} {description}")
        if fault:
            onsets.append((server, description, onset))
    return onsets


def wait_until_in_service(fleet, started, server, limit_s):
    """Returns whether every proxy uses the server again within the limit."""
    def is_in_service():
        return all(
            backend["standing"] == "in-service"
            for index in range(fleet.host_count)
            for service in fleet.proxy_dump(index)["services"].values()
            for backend in service["backend_servers"]
            if backend["name"] == server)
    try:
        fleets.wait_for(is_in_service, limit_s, server)
    except TimeoutError:
        return False
    print_event(started, f"{server} is in service at every proxy")
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--network", type=int, default=1,
                        help="second octet of the loopback addresses")
    options = parser.parse_args()
    out = tempfile.mkdtemp(prefix="coriandertray-")
    print(f"logs, settings and results: {out}")
    started = time.monotonic()
    with fleets.Fleet("plovdiv", HOSTS, out, network=options.network,
                      process_per_server=True) as fleet:
        print_event(
            started, f"{HOSTS} entry hosts in {len(fleet.zones)} availability "
            f"zones and {len(fleet.controls)} backend servers are up")
        print(fleet.ctl("status", fleet.proxy_admin(0))[1])
        started = time.monotonic()
        stop = threading.Event()
        printer = threading.Thread(
            target=print_verdicts, args=(fleet, started, stop), daemon=True)
        printer.start()
        finish = fleet.load("load", RATE, SECONDS)
        onsets = inject_faults(fleet, started)
        returned = [wait_until_in_service(fleet, started, server, 20)
                    for server, _, _ in onsets]
        summary = finish()
        stop.set()
        printer.join()
        detected = {server: fleets.seconds_until_out_of_rotation(
                        fleet, server, onset)
                    for server, _, onset in onsets}
        faulty = {server for server, _, _ in onsets}
        false = [key for key in fleets.ejections(fleet) if key[1] not in faulty]
        print("\nwhat an agent explains of loopdocs:")
        print(fleet.ctl("explain", fleet.agent_admin(0), "loopdocs")[1])
    rows = [
        ("requests", summary["requests"], summary["requests"] > 0),
        ("answered", summary.get("done", 0), summary.get("done", 0) > 0),
        ("wrong answers", summary["wrong"], summary["wrong"] == 0),
        ("doubled", summary["doubled"], summary["doubled"] == 0),
        ("lost", summary["lost"], summary["lost"] == 0),
        ("told not run, but run", summary["false_not_run"],
         summary["false_not_run"] == 0),
        ("false ejections", len(false), not false),
        ("returned to service", f"{sum(returned)} of {len(returned)}",
         all(returned)),
    ]
    for server, description, _ in onsets:
        seconds = detected[server]
        text = "never" if seconds is None else f"{seconds:.2f} s"
        rows.append((f"detection, {server}", text,
                     seconds is not None and seconds <= DETECTION_LIMIT_S))
    print(f"{'':28}{'measured':>12}")
    for name, value, is_met in rows:
        print(f"{name:28}{value!s:>12}  {'ok' if is_met else 'DOES NOT HOLD'}")
    print(json.dumps({"out": out, "p50_ms": summary["p50_ms"],
                      "p99_ms": summary["p99_ms"]}))
    return 0 if all(is_met for _, _, is_met in rows) else 1


if __name__ == "__main__":
    sys.exit(main())

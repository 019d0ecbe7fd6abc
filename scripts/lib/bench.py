"""Benchmarks of failure detection, overload, queueing and added latency.

Each run prints a JSON line; a table of values and targets follows at the end.
"""
import argparse
import csv
import json
import pathlib
import statistics
import sys
import tempfile
import time

import fleet as fleets
import plots
import slopes
import workloads
from queue_model import central_queue_waits, percentile

STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 30
POLICIES = {
    "late-binding": ("late-binding", True),
    "no-pooling": ("late-binding", False),
    "least-in-flight": ("least-in-flight", True),
    "round-robin": ("round-robin", True),
}


class Target:
    """A measured value and its bound, which comes from a user requirement.

    The value None stands for something that never happened.
    """

    def __init__(self, name, value, bound, unit, at_least=False):
        self.name = name
        self.value = value
        self.bound = bound
        self.unit = unit
        self.at_least = at_least

    def met(self):
        if self.value is None:
            return False
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def row(self):
        value = "never" if self.value is None else f"{self.value:.3g}"
        sign = ">=" if self.at_least else "<="
        return (f"{self.name:52}{value:>10} {self.unit:4}"
                f"{sign:>4} {self.bound:<8g}{'met' if self.met() else 'short'}")


def capacity(workload, service_ms):
    """Requests per second that all slots can run, stragglers included."""
    mean = service_ms * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
    return workloads.total_slots(workload) * 1000 / mean


def start_fleet(options, service_ms, tag, server_flags=()):
    policy, verdicts = POLICIES[options.policy]
    out = pathlib.Path(options.out) / f"{tag}-{options.policy}-{options.seed}"
    return fleets.Fleet(options.workload, options.hosts, out,
                        network=options.network, seed=options.seed,
                        policy=policy, verdicts=verdicts,
                        service_ms=service_ms, server_flags=server_flags)


# Fault, longest wait for its detection in seconds, bounds in seconds.
DETECTION_FAULTS = {
    "fails": ({"fail_share": 1.0}, 6, {"median": 0.5, "p95": 1.0}),
    "hangs": ({"hang": True}, 6, {"median": 0.5, "p95": 1.0}),
    "slow-5x": ({"slow": 5.0}, 8, {"p95": 2.0}),
    "fails-a-tenth": ({"fail_share": 0.1}, 12, {"p95": 5.0}),
}


def bench_detection(options):
    """Time from a fault until the last proxy stops using the server.

    Runs at 60% of the capacity. No healthy server may be ejected.
    """
    service_ms = 50
    targets = []
    with start_fleet(options, service_ms, "detection") as fleet:
        rate = capacity(options.workload, service_ms) * 0.6
        rounds = options.rounds
        length = 21 + sum(wait + 2 for _, wait, _ in DETECTION_FAULTS.values()
                         ) * rounds
        finish = fleet.load("load", rate, length)
        # The proxies first record the tail of the service times.
        time.sleep(20)
        names = sorted(fleet.controls)
        fault_number = options.seed
        results = {}
        faulty = set()
        for kind, (fault, limit, _) in DETECTION_FAULTS.items():
            for _ in range(rounds):
                server = names[fault_number * 7 % len(names)]
                fault_number += 1
                faulty.add(server)
                onset = fleet.set_server_faults(server, **fault)
                seconds = None
                end = time.monotonic() + limit
                while seconds is None and time.monotonic() < end:
                    time.sleep(0.1)
                    seconds = fleets.seconds_until_out_of_rotation(
                        fleet, server, onset)
                fleet.set_server_faults(server)
                results.setdefault(kind, []).append(seconds)
                time.sleep(2)
        summary = finish()
        false_ejections = [key for key in fleets.ejections(fleet)
                           if key[1] not in faulty]
    for kind, values in results.items():
        bounds = DETECTION_FAULTS[kind][2]
        measured = [v if v is not None else float("inf") for v in values]
        if "median" in bounds:
            targets.append(Target(f"detection, {kind}, median",
                                  statistics.median(measured), bounds["median"],
                                  "s"))
        targets.append(Target(f"detection, {kind}, p95",
                              percentile(measured, 0.95), bounds["p95"], "s"))
    targets.append(Target("detection, healthy servers ejected",
                          len(false_ejections), 0, ""))
    return targets, {"times_s": results, "requests": summary["requests"],
                     "wrong": summary["wrong"], "doubled": summary["doubled"],
                     "false": [list(key) for key in false_ejections]}


def bench_flapping(options):
    """Returns to service within 30 s of a server that flaps every 2 s."""
    service_ms = 50
    with start_fleet(options, service_ms, "flapping") as fleet:
        finish = fleet.load(
            "load", capacity(options.workload, service_ms) * 0.6, 36)
        time.sleep(5)
        server = sorted(fleet.controls)[3]
        onset = fleet.set_server_faults(server, fail_share=1.0, flap_ms=2000)
        finish()
        history = sorted(
            (fleets.log_time(line), line["standing"])
            for line in fleet.events("agent-1", "verdict")
            if line["backend_server"] == server
            and line["host"] == fleet.host(0))
    returns = sum(1 for when, standing in history
                  if standing == "in-service" and when < onset + 30)
    return [Target("flapping each 2 s, returns in 30 s", returns, 2, "")], {
        "history": [[round(when - onset, 2), standing]
                    for when, standing in history]}


def bench_false_ejections(options):
    """Phases that resemble server faults; no server may be ejected.

    They are stragglers, overload, a frozen proxy, a slower availability zone, a
    slower service, and rejections by servers that shed load.
    """
    service_ms = 50
    phase = options.minutes * 60 / 6
    full_rate = capacity(options.workload, service_ms)
    events = []
    with start_fleet(options, service_ms, "false") as fleet:
        swing = f"0:0.6,{phase:.0f}:1.8,{2 * phase:.0f}:0.6"
        finish = fleet.load("load", full_rate, 6 * phase, swing=swing)
        first = workloads.WORKLOADS[options.workload]["services"][0]["name"]

        def record_phase(name):
            events.append((time.time(), name))
        record_phase("stragglers")
        time.sleep(phase)
        record_phase("crest")
        time.sleep(phase)
        record_phase("one host's proxy frozen and woken")
        for _ in range(int(phase / 4)):
            fleet.send_signal("proxy-2", 19)
            time.sleep(1)
            fleet.send_signal("proxy-2", 18)
            time.sleep(3)
        record_phase("one availability zone 10% slower")
        zone_servers = [
            server["name"]
            for service in workloads.manifest(
                options.workload, options.network)["services"]
            for server in service["backend_servers"]
            if server["zone"] == fleet.zones[0]]
        for name in zone_servers:
            fleet.set_server_faults(name, slow=1.1)
        time.sleep(phase)
        for name in zone_servers:
            fleet.set_server_faults(name)
        record_phase("a whole service three times slower")
        for name in fleet.controls:
            if name.startswith(first):
                fleet.set_server_faults(name, slow=3.0)
        time.sleep(phase)
        record_phase("shed answers")
        for name in fleet.controls:
            fleet.set_server_faults(name)
        for name in sorted(fleet.controls)[:4]:
            fleet.set_server_faults(name, shed=True)
        finish()
        ejections = fleets.ejections(fleet)
    ejected_during = []
    for (service, server), times in ejections.items():
        during = [name for at, name in events if at <= times[0]]
        ejected_during.append([service, server,
                               during[-1] if during else "start"])
    return [Target(f"false ejections in {options.minutes:g} min",
                   len(ejections), 0, "")], {"ejected": ejected_during}


def bench_crest(options):
    """An overload: demand rises from 0.3 to 3 times the capacity for 20 s.

    It rises within a second; before and after, the load is 0.3.
    """
    service_ms = 100
    full_rate = capacity(options.workload, service_ms)
    calm_s, crest_s = 12, 20
    with start_fleet(options, service_ms, "crest") as fleet:
        finish = fleet.load("load", full_rate, calm_s + crest_s + 10,
                            swing=f"0:0.3,{calm_s}:3,{calm_s + crest_s}:0.3")
        summary = finish()
    timeline = summary["timeline"]
    crest_samples = timeline[calm_s + 1:calm_s + crest_s]
    goodput = statistics.mean(
        s.get("done", 0) for s in crest_samples) / full_rate
    calm_p99 = statistics.median(s["p99_ms"] for s in timeline[4:calm_s])
    deadline_ms = max(s["deadline_ms"] for s in workloads.WORKLOADS[
        options.workload]["services"])
    crest_p99 = statistics.median(s["p99_ms"] for s in crest_samples)
    after = timeline[calm_s + crest_s:]
    calm_p50 = statistics.median(s["p50_ms"] for s in timeline[4:calm_s])
    recovery = next((index for index, s in enumerate(after)
                     if s["p50_ms"] <= 1.5 * calm_p50), None)
    plots.timeline(pathlib.Path(options.out) / f"crest-{options.policy}.svg",
                   timeline, ("sent", "done", "not_run", "p99_ms"))
    return [
        Target("crest, goodput over capacity", goodput, 0.95, "",
               at_least=True),
        Target("crest, answered p99", crest_p99, 2 * calm_p99 + deadline_ms,
               "ms"),
        Target("crest, refusals told within, p99", summary["refusal_p99_ms"],
               50, "ms"),
        Target("crest, calm again after", recovery, 2, "s"),
        Target("crest, doubled, lost or falsely not run",
               summary["doubled"] + summary["lost"] +
               summary["false_not_run"], 0, ""),
    ], {"calm_p99_ms": calm_p99, "unknown": summary.get("unknown", 0),
        "failed": summary.get("failed", 0),
        "not_run": summary.get("not_run", 0), "done": summary.get("done", 0)}


def head_of_line_waits(fleet, workload, samples):
    """Waits in ms of short requests: as measured, and in a central queue."""
    slots = workloads.WORKLOADS[workload]["slots"]
    short_ms = fleet.service_ms * STRAGGLER_FACTOR * 0.9
    measured, ideal = [], []
    rows = [row for row in samples if row["outcome"] == "done"]
    # A hedged request waited because it was a straggler itself, not because it
    # queued behind one. The central queue gets it with a straggler's duration.
    for row in rows:
        if row["hedged"] == "1":
            row["service_ms"] = str(fleet.service_ms * STRAGGLER_FACTOR)
    for service in workloads.WORKLOADS[workload]["services"]:
        own = [row for row in rows
               if row["class"].startswith(service["name"] + "-")]
        jobs = [(float(r["due_s"]), float(r["service_ms"]) / 1000)
                for r in sorted(own, key=lambda r: float(r["due_s"]))]
        waits = central_queue_waits(jobs, service["servers"] * slots)
        ideal += [w * 1000 for w, (_, s) in zip(waits, jobs)
                  if s * 1000 < short_ms]
        measured += [float(r["latency_ms"]) - float(r["service_ms"])
                     for r in own if float(r["service_ms"]) < short_ms]
    return measured, ideal


def run_head_of_line(options, load):
    service_ms = 50
    with start_fleet(options, service_ms, f"hol-{load}") as fleet:
        finish = fleet.load("load", capacity(options.workload, service_ms)
                            * load, options.seconds)
        finish()
        with open(fleet.out / "load.csv") as file:
            samples = [row for row in csv.DictReader(file)
                       if float(row["due_s"]) > 4]
    return head_of_line_waits(fleet, options.workload, samples)


def bench_head_of_line(options):
    """Waits of short requests behind stragglers, against a central queue."""
    targets, detail = [], {}
    for load, factor in ((0.7, 1.5), (0.9, 2.5)):
        measured, ideal = run_head_of_line(options, load)
        central_p99 = max(percentile(ideal, 0.99), 1.0)
        measured_p99 = percentile(measured, 0.99)
        targets.append(Target(f"short requests' p99 wait at {load:.0%}, "
                              "over the central queue's",
                              measured_p99 / central_p99, factor, "x"))
        detail[str(load)] = {
            "wait_p50_ms": percentile(measured, 0.5),
            "wait_p99_ms": measured_p99,
            "central_p99_ms": percentile(ideal, 0.99),
            "requests": len(measured)}
    return targets, detail


def bench_added(options):
    """Latency that the proxy adds to calling the backend servers directly."""
    service_ms = 5
    flags = ("--exponential=false", "--straggler_share=0")
    with start_fleet(options, service_ms, "added", flags) as fleet:
        classes = [c for c in workloads.load_classes(options.workload)
                   if c["name"].startswith("crewdesk-read")
                   or c["name"].startswith("subroll-read")]
        name = classes[0]["host"]
        direct = [server["address"] for service in fleets.workloads.manifest(
            options.workload, options.network)["services"]
            for server in service["backend_servers"]
            if service["name"] == name]
        added, rows = [], []
        for round_index in range(options.rounds):
            pair = {}
            for kind, targets in (("direct", direct), ("proxied", None)):
                fleet.load(f"{kind}-{round_index}", 200, 6, classes=classes,
                           targets=targets, check=False)()
                with open(fleet.out / f"{kind}-{round_index}.csv") as file:
                    pair[kind] = [float(row["latency_ms"])
                                  for row in csv.DictReader(file)
                                  if float(row["due_s"]) > 2]
            added.append(percentile(pair["proxied"], 0.99) -
                         percentile(pair["direct"], 0.99))
            rows.append({kind: [percentile(v, 0.5), percentile(v, 0.99)]
                         for kind, v in pair.items()})
    return [Target("added time, p99 against direct", statistics.median(added),
                   1.1, "ms")], {"rounds": rows}


BENCHES = {
    "detection": bench_detection,
    "flapping": bench_flapping,
    "false-ejections": bench_false_ejections,
    "crest": bench_crest,
    "head-of-line": bench_head_of_line,
    "added": bench_added,
}


def run(name, options):
    started = time.monotonic()
    targets, detail = BENCHES[name](options)
    line = {"bench": name, "workload": options.workload,
            "hosts": options.hosts, "policy": options.policy,
            "seed": options.seed,
            "seconds": round(time.monotonic() - started, 1),
            "targets": {t.name: t.value for t in targets}, "detail": detail}
    print(json.dumps(line), flush=True)
    return targets


def print_table(targets):
    for target in targets:
        print(target.row(), flush=True)


def compare(name, options):
    """Runs each policy in every round; prints ratios to the first policy.

    Runs of one round share a seed; ratios are the median and range of rounds.
    """
    names = [p for p in POLICIES
             if not options.policies or p in options.policies.split(",")]
    values = {}
    for round_index in range(options.rounds_compare):
        for policy in names:
            options.policy = policy
            options.seed = round_index + 1
            for target in run(name, options):
                values.setdefault(target.name, {}).setdefault(
                    policy, []).append(target.value)
    for target, by_policy in values.items():
        print(target)
        base = by_policy[names[0]]
        for policy, results in by_policy.items():
            measured = [v for v in results if v is not None]
            pairs = [v / b for v, b in zip(results, base)
                     if v is not None and b]
            ratio = (f"{statistics.median(pairs):.2f} "
                     f"[{min(pairs):.2f}, {max(pairs):.2f}]"
                     if pairs else "-")
            median = statistics.median(measured) if measured else float("nan")
            print(f"  {policy:18}{median:>12.3g}   x {names[0]}: {ratio}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", nargs="+",
                        help="a bench, 'all', 'compare NAME', 'slopes' or "
                             "'slopes-page' (from the committed figures); "
                             f"benches: {', '.join(BENCHES)}")
    parser.add_argument("--workload", default="plovdiv",
                        choices=sorted(workloads.WORKLOADS))
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, default=41)
    parser.add_argument("--policy", default="late-binding", choices=POLICIES)
    parser.add_argument("--policies", default="",
                        help="compare only these, separated by commas")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--rounds-compare", type=int, default=2)
    parser.add_argument("--minutes", type=float, default=10,
                        help="length of false-ejections")
    parser.add_argument("--seconds", type=float, default=25,
                        help="length of one head-of-line run")
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    options.out = options.out or tempfile.mkdtemp(prefix="bench-")
    print(f"# results in {options.out}", flush=True)
    command = options.command[0]
    if command == "slopes-page":
        slopes.rewrite_page()
        return 0
    if command == "slopes":
        return slopes.main(options)
    if command == "compare":
        compare(options.command[1], options)
        return 0
    names = list(BENCHES) if command == "all" else options.command
    targets = [target for name in names for target in run(name, options)]
    print_table(targets)
    return 0 if all(target.met() for target in targets) else 1


if __name__ == "__main__":
    sys.exit(main())

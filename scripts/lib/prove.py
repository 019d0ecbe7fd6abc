"""Checks of invariants on a real fleet, one injected fault per run.

A proof checks one invariant (its point) under one fault.
"""
import argparse
import collections
import signal
import sys
import tempfile
import threading
import time
import traceback

import fleet as fleets
import workloads

# (point, fault) to (function, fleet options), in the order of the points:
# floor: every proxy keeps at least floor_slots of a service in use.
# answers: callers get no wrong response.
# not-run: a request that is reported as not run did not run.
# at-most-once: a write runs at most once, and is not lost.
# leaving: servers that drain or leave get no new requests.
# graceful: stops and drains interrupt no request.
# configuration: changes are in force at every proxy within CONFIG_LIMIT_S, and
# no process goes back to an older version.
# survival: without any one process, callers still get their responses.
PROOFS = collections.OrderedDict()
HOSTS = 6
CONFIG_LIMIT_S = 5.0


class Outcome:
    """How many cases a proof tried and how many violated the invariant."""

    def __init__(self, tried, violations, note=""):
        self.tried = tried
        self.violations = violations
        self.note = note


def proof(point, fault, **fleet_options):
    """Registers a function that maps a started fleet to an Outcome."""
    def register(function):
        PROOFS[(point, fault)] = (function, fleet_options)
        return function
    return register


class InvariantMonitor:
    """Polls `check` in a thread and collects the violations that it returns.

    Polls that fail with OSError or ValueError are not counted.
    """

    def __init__(self, check, interval_s=0.05):
        self.check = check
        self.interval_s = interval_s
        self.polls = 0
        self.violations = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stop_event.wait(self.interval_s):
            try:
                found = self.check()
            except (OSError, ValueError):
                continue
            self.polls += 1
            if found:
                self.violations.append(found)

    def stop(self):
        self.stop_event.set()
        self.thread.join()


def find_floor_violations(fleet):
    """Services for which a proxy uses fewer slots than their floor.

    Leaving and draining servers are subtracted from what a proxy could use.
    Returns (host, service, usable slots) tuples.
    """
    violations = []
    for index in range(fleet.host_count):
        name = f"proxy-{index + 1}"
        if fleet.processes[name].poll() is not None:
            continue
        try:
            dump = fleet.proxy_dump(index)
        except OSError:
            continue
        for service, state in dump["services"].items():
            leaving = sum(
                1 for b in state["backend_servers"]
                if b["standing"] == "leaving" or b["draining"])
            slots = state["total_slots"] // len(state["backend_servers"])
            reachable = state["total_slots"] - leaving * slots
            if state["usable_slots"] < min(state["floor_slots"], reachable):
                violations.append(
                    (dump["host"], service, state["usable_slots"]))
    return violations


def monitor_floor(fleet):
    return InvariantMonitor(lambda: find_floor_violations(fleet))


def server_names(fleet, service):
    return [name for name in fleet.controls if name.startswith(service)]


def judge_host_index(fleet, service):
    for index in range(fleet.host_count):
        if service in fleet.agent_dump(index)["judges"]:
            return index
    raise LookupError(f"no agent judges {service}")


def floor_outcome(fleet, monitor, finish):
    finish()
    monitor.stop()
    ejected = [key for key in fleets.ejections(fleet)
               if key[0] == "loopdocs"]
    note = f"{len(ejected)} ejected"
    # Without an ejection the floor was not exercised, so the proof fails.
    violations = len(monitor.violations) + (0 if ejected else 1)
    return Outcome(monitor.polls, violations, note)


@proof("floor", "most-servers-sick")
def floor_most_sick(fleet):
    monitor = monitor_floor(fleet)
    finish = fleet.load("load", 200, 12)
    time.sleep(3)
    for name in server_names(fleet, "loopdocs")[:6]:
        fleet.set_server_faults(name, fail_share=1.0)
    return floor_outcome(fleet, monitor, finish)


@proof("floor", "judge-killed")
def floor_judge_killed(fleet):
    monitor = monitor_floor(fleet)
    finish = fleet.load("load", 200, 14)
    time.sleep(3)
    names = server_names(fleet, "loopdocs")
    for name in names[:3]:
        fleet.set_server_faults(name, fail_share=1.0)
    time.sleep(1)
    fleet.send_signal(f"agent-{judge_host_index(fleet, 'loopdocs') + 1}")
    for name in names[3:6]:
        fleet.set_server_faults(name, fail_share=1.0)
    return floor_outcome(fleet, monitor, finish)


@proof("floor", "judge-frozen-then-woken")
def floor_judge_frozen(fleet):
    monitor = monitor_floor(fleet)
    finish = fleet.load("load", 200, 18)
    time.sleep(3)
    names = server_names(fleet, "loopdocs")
    for name in names[:3]:
        fleet.set_server_faults(name, fail_share=1.0)
    time.sleep(1)
    judge = f"agent-{judge_host_index(fleet, 'loopdocs') + 1}"
    fleet.send_signal(judge, signal.SIGSTOP)
    time.sleep(4)
    for name in names[:3]:
        fleet.set_server_faults(name)
    for name in names[3:6]:
        fleet.set_server_faults(name, fail_share=1.0)
    time.sleep(3)
    fleet.send_signal(judge, signal.SIGCONT)
    return floor_outcome(fleet, monitor, finish)


@proof("floor", "sick-while-others-drain")
def floor_sick_and_drain(fleet):
    monitor = monitor_floor(fleet)
    finish = fleet.load("load", 200, 12)
    time.sleep(3)
    names = server_names(fleet, "loopdocs")
    for name in names[:3]:
        fleet.set_server_faults(name, draining=True)
    for name in names[3:6]:
        fleet.set_server_faults(name, fail_share=1.0)
    return floor_outcome(fleet, monitor, finish)


def check_responses(fleet, seconds, rate, **faults):
    finish = fleet.load("load", rate, seconds)
    for name in fleet.controls:
        fleet.set_server_faults(name, **faults)
    summary = finish()
    note = f"unknown={summary.get('unknown', 0)}"
    return Outcome(summary["requests"], summary["wrong"], note)


FAULTY_RESPONSES = {
    "truncated": {"truncate_share": 0.05},
    "reset": {"reset_share": 0.05},
    "swapped": {"swap_share": 0.05},
    "surplus": {"surplus_share": 0.05},
    "closed-after-request": {"close_share": 0.05},
    "answered-after-cancellation": {"ignores_cancellation": True,
                                    "slow": 1.5},
}


def register_response_proofs():
    for fault, faults in FAULTY_RESPONSES.items():
        def run(fleet, faults=faults):
            return check_responses(fleet, 12, 1700, **faults)
        proof("answers", fault, service_ms=4)(run)

    def run_all(fleet):
        all_faults = {}
        for faults in FAULTY_RESPONSES.values():
            all_faults.update(faults)
        return check_responses(fleet, 12, 1700, **all_faults)
    proof("answers", "all-at-once", service_ms=4)(run_all)


register_response_proofs()


def not_run_outcome(summary):
    """Counts requests that ran although the caller was told that they did not.

    Also fails if no request was refused, as nothing was tested then.
    """
    refused = summary.get("not_run", 0)
    share = summary.get("unknown", 0) / max(1, summary["requests"])
    violations = summary["false_not_run"] + (0 if refused else 1)
    return Outcome(summary["requests"], violations,
                   f"told-not-run={refused} unknown-share={share:.4f}")


@proof("not-run", "overload")
def not_run_overload(fleet):
    return not_run_outcome(fleet.load(
        "load", 350, 12, swing="0:0.5,3:5,8:0.5")())


@proof("not-run", "servers-killed-in-overload")
def not_run_killed(fleet):
    finish = fleet.load("load", 350, 12, swing="0:0.5,3:5,8:0.5")
    time.sleep(4)
    for name in server_names(fleet, "crewdesk")[:6]:
        fleet.send_server_command(name, "stop")
        time.sleep(0.3)
    return not_run_outcome(finish())


def not_run_repeated(fleet, anonymous):
    """All servers repeat refusals, those in `anonymous` without an id."""
    finish = fleet.load("load", 350, 12, swing="0:0.5,3:5,8:0.5")
    for name in fleet.controls:
        fleet.set_server_faults(name, repeat_refusal_share=0.5,
                                anonymous_refusals=name in anonymous)
    return not_run_outcome(finish())


@proof("not-run", "refusals-repeated")
def not_run_repeated_with_id(fleet):
    return not_run_repeated(fleet, [])


@proof("not-run", "refusals-without-id-repeated")
def not_run_repeated_without_id(fleet):
    return not_run_repeated(fleet, sorted(fleet.controls)[::2])


def write_classes(fleet):
    return [c for c in workloads.load_classes(fleet.workload)
            if not c["idempotent"]]


def at_most_once_outcome(fleet, finish):
    """Counts writes that were doubled, lost, or falsely called not run."""
    summary = finish()
    note = (f"resends={summary['resends']} unknown={summary.get('unknown', 0)}"
            f" broken={summary.get('broken', 0)}"
            f" duplicate={summary.get('duplicate', 0)}"
            f" not-run={summary.get('not_run', 0)}")
    return Outcome(summary["requests"],
                   summary["doubled"] + summary["lost"] +
                   summary["false_not_run"], note)


@proof("at-most-once", "proxies-killed")
def once_proxies_killed(fleet):
    finish = fleet.load("load", 250, 12, classes=write_classes(fleet))
    for index in range(1, 5):
        time.sleep(1.5)
        fleet.send_signal(f"proxy-{index}")
        time.sleep(0.5)
        fleet.respawn(f"proxy-{index}")
    return at_most_once_outcome(fleet, finish)


@proof("at-most-once", "proxies-frozen")
def once_proxies_frozen(fleet):
    finish = fleet.load("load", 250, 14, classes=write_classes(fleet),
                        timeout_ms=1500)
    for index in range(1, 4):
        time.sleep(1)
        fleet.send_signal(f"proxy-{index}", signal.SIGSTOP)
        time.sleep(2.5)
        fleet.send_signal(f"proxy-{index}", signal.SIGCONT)
    return at_most_once_outcome(fleet, finish)


@proof("at-most-once", "agents-killed")
def once_agents_killed(fleet):
    finish = fleet.load("load", 250, 12, classes=write_classes(fleet))
    for index in range(1, 5):
        time.sleep(1.5)
        fleet.send_signal(f"agent-{index}")
        time.sleep(0.5)
        fleet.respawn(f"agent-{index}")
    return at_most_once_outcome(fleet, finish)


@proof("at-most-once", "agents-frozen")
def once_agents_frozen(fleet):
    finish = fleet.load("load", 250, 14, classes=write_classes(fleet),
                        timeout_ms=4000)
    for name in fleet.controls:
        fleet.set_server_faults(name, close_share=0.1)
    for index in range(1, 4):
        time.sleep(1)
        fleet.send_signal(f"agent-{index}", signal.SIGSTOP)
        time.sleep(2.5)
        fleet.send_signal(f"agent-{index}", signal.SIGCONT)
    return at_most_once_outcome(fleet, finish)


@proof("at-most-once", "connections-closed-under-the-request")
def once_closed(fleet):
    finish = fleet.load("load", 250, 10, classes=write_classes(fleet))
    for name in fleet.controls:
        fleet.set_server_faults(name, close_share=0.2, reset_share=0.1)
    return at_most_once_outcome(fleet, finish)


def once_with_platform(fleet, **faults):
    finish = fleet.load("load", 250, 12, classes=write_classes(fleet))
    for name in fleet.controls:
        fleet.set_server_faults(name, close_share=0.2)
    time.sleep(3)
    fleet.set_platform_faults(**faults)
    time.sleep(4)
    fleet.set_platform_faults()
    return at_most_once_outcome(fleet, finish)


@proof("at-most-once", "platform-away")
def once_platform_away(fleet):
    return once_with_platform(fleet, down=True)


@proof("at-most-once", "platform-slow")
def once_platform_slow(fleet):
    return once_with_platform(fleet, slow_ms=400)


@proof("at-most-once", "platform-answers-lost")
def once_answers_lost(fleet):
    return once_with_platform(fleet, lose_answers=True)


@proof("at-most-once", "platform-away-and-proxy-killed")
def once_two_faults(fleet):
    finish = fleet.load("load", 250, 12, classes=write_classes(fleet))
    for name in fleet.controls:
        fleet.set_server_faults(name, close_share=0.1)
    time.sleep(3)
    fleet.set_platform_faults(lose_answers=True)
    time.sleep(1)
    fleet.send_signal("proxy-1")
    fleet.send_signal("agent-2")
    time.sleep(2)
    fleet.respawn("proxy-1")
    fleet.respawn("agent-2")
    fleet.set_platform_faults()
    return at_most_once_outcome(fleet, finish)


def leaving_outcome(fleet, finish, servers):
    """Counts requests that the servers got after they began to drain."""
    summary = finish()
    status = fleet.server_status()
    late = sum(status[name]["new_work_while_draining"] for name in servers)
    served = sum(status[name]["served"] for name in servers)
    note = (f"broken={summary.get('broken', 0)}"
            f" unknown={summary.get('unknown', 0)}")
    return Outcome(served, late, note)


@proof("leaving", "drain")
def leaving_drain(fleet):
    servers = ["loopdocs-1", "crewdesk-1", "stockroom-1"]
    finish = fleet.load("load", 250, 22)
    time.sleep(3)
    for name in servers:
        fleet.set_server_faults(name, draining=True)
    return leaving_outcome(fleet, finish, servers)


@proof("leaving", "agents-dead-and-platform-away")
def leaving_agents_dead(fleet):
    servers = ["loopdocs-1", "crewdesk-1", "stockroom-1"]
    finish = fleet.load("load", 250, 22)
    time.sleep(3)
    fleet.set_platform_faults(down=True)
    for index in range(fleet.host_count):
        fleet.send_signal(f"agent-{index + 1}")
    for name in servers:
        fleet.set_server_faults(name, draining=True)
    return leaving_outcome(fleet, finish, servers)


@proof("leaving", "listed-by-the-platform")
def leaving_listed(fleet):
    finish = fleet.load("load", 250, 12)
    time.sleep(3)
    fleet.set_platform_hosts([{"name": "loopdocs-2", "leaving": True}])
    time.sleep(3)
    before = fleet.server_status()["loopdocs-2"]["served"]
    time.sleep(1)
    middle = fleet.server_status()["loopdocs-2"]
    finish()
    after = fleet.server_status()["loopdocs-2"]["served"]
    # Requests that ran 3 s after the listing may still end; no new ones may
    # arrive.
    allowed = before + middle["running"] + 3
    return Outcome(before, max(0, after - allowed),
                   f"served at 3 s={before} at end={after}")


def graceful_outcome(finish):
    """Counts requests that were interrupted or got a wrong response."""
    summary = finish()
    interrupted = summary.get("broken", 0) + summary.get("unknown", 0)
    return Outcome(summary["requests"], interrupted + summary["wrong"],
                   f"not-run={summary.get('not_run', 0)}")


@proof("graceful", "proxies-one-after-the-other")
def graceful_proxies(fleet):
    finish = fleet.load("load", 250, 22)
    for index in range(1, 4):
        time.sleep(0.5)
        fleet.send_signal(f"proxy-{index}", signal.SIGTERM)
        fleet.processes[f"proxy-{index}"].wait(timeout=40)
        fleet.respawn(f"proxy-{index}")
        fleets.wait_for(lambda: fleet.ready(index - 1), 10, "ready again")
    return graceful_outcome(finish)


@proof("graceful", "agents-one-after-the-other")
def graceful_agents(fleet):
    finish = fleet.load("load", 250, 14)
    for index in range(1, 5):
        time.sleep(1)
        fleet.send_signal(f"agent-{index}", signal.SIGTERM)
        fleet.processes[f"agent-{index}"].wait(timeout=10)
        fleet.respawn(f"agent-{index}")
    return graceful_outcome(finish)


@proof("graceful", "backend-servers-drained-then-stopped")
def graceful_servers(fleet):
    finish = fleet.load("load", 250, 14)
    for name in ["loopdocs-1", "crewdesk-1", "stockroom-1"]:
        time.sleep(0.5)
        fleet.set_server_faults(name, draining=True)
    time.sleep(8)
    for name in ["loopdocs-1", "crewdesk-1", "stockroom-1"]:
        fleet.send_server_command(name, "stop")
    return graceful_outcome(finish)


class VersionMonitor(InvariantMonitor):
    """Finds processes whose configuration version decreased."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.highest = {}
        super().__init__(self.find_version_regressions, 0.1)

    def find_version_regressions(self):
        violations = []
        for kind, read in (("proxy", self.fleet.proxy_dump),
                           ("agent", self.fleet.agent_dump)):
            for index in range(self.fleet.host_count):
                process = self.fleet.processes[f"{kind}-{index + 1}"]
                try:
                    version = read(index)["config_version"]
                except OSError:
                    continue
                key = (kind, index, process.pid)
                if version < self.highest.get(key, 0):
                    violations.append(key)
                self.highest[key] = max(version, self.highest.get(key, 0))
        return violations


def versions(fleet, skip=()):
    """Configuration version of each proxy by host index."""
    return {index: fleet.proxy_dump(index)["config_version"]
            for index in range(fleet.host_count) if index not in skip}


def next_manifest(fleet, name, deadline_ms):
    manifest = workloads.manifest(fleet.workload, fleet.network)
    manifest["services"][0]["routes"][0]["deadline_ms"] = deadline_ms
    return str(fleet.write(name, manifest))


def seconds_until_version(fleet, version, skip=()):
    """Seconds until every proxy has the version; None beyond CONFIG_LIMIT_S."""
    started = time.monotonic()
    try:
        fleets.wait_for(
            lambda: all(v >= version for v in versions(fleet, skip).values()),
            CONFIG_LIMIT_S, "version")
    except TimeoutError:
        return None
    return time.monotonic() - started


def config_outcome(monitor, tried, times, extra_violations=0, note=""):
    monitor.stop()
    late = sum(1 for t in times if t is None)
    worst = max((t for t in times if t is not None), default=0)
    return Outcome(tried, late + len(monitor.violations) + extra_violations,
                   f"worst={worst:.2f}s {note}")


@proof("configuration", "changes-in-force-everywhere")
def config_changes(fleet):
    monitor = VersionMonitor(fleet)
    times = []
    for number in range(8):
        path = next_manifest(fleet, "next.json", 1500 + number)
        code, text = fleet.ctl("apply", path)
        assert code == 0, text
        times.append(seconds_until_version(fleet, number + 2))
    return config_outcome(monitor, len(times), times)


@proof("configuration", "operators-race")
def config_race(fleet):
    monitor = VersionMonitor(fleet)
    results = []

    def apply(number, expected):
        path = next_manifest(fleet, f"race-{number}.json", 1000 + number)
        results.append(fleet.ctl(
            "apply", path, f"--expect_version={expected}",
            f"--author=operator-{number}"))
    violations = 0
    times = []
    rounds = 5
    for round_index in range(rounds):
        results.clear()
        threads = [threading.Thread(target=apply, args=(n, round_index + 1))
                   for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = sum(1 for code, _ in results if code == 0)
        conflicts = sum(1 for code, text in results
                        if code == 5 and f"version {round_index + 2}" in text)
        violations += abs(winners - 1) + abs(conflicts - 3)
        times.append(seconds_until_version(fleet, round_index + 2))
    return config_outcome(monitor, 4 * rounds, times, violations)


@proof("configuration", "answer-lost")
def config_answer_lost(fleet):
    monitor = VersionMonitor(fleet)
    fleet.set_platform_faults(lose_answers=True)
    path = next_manifest(fleet, "next.json", 1501)
    code, text = fleet.ctl("apply", path)
    fleet.set_platform_faults()
    times = [seconds_until_version(fleet, 2)]
    history = fleet.ctl("history")[1]
    return config_outcome(monitor, 1, times, 0 if code == 0 else 1,
                          text.strip() + " " + str(len(history.splitlines())))


@proof("configuration", "one-way-cut-of-some")
def config_one_way_cut(fleet):
    monitor = VersionMonitor(fleet)
    fleet.set_platform_faults(mute_clients=[fleet.host(i) for i in range(4)])
    path = next_manifest(fleet, "next.json", 1504)
    code, text = fleet.ctl("apply", path)
    times = [seconds_until_version(fleet, 2)]
    return config_outcome(monitor, 1, times, 0 if code == 0 else 1,
                          text.strip())


@proof("at-most-once", "backend-servers-cut-one-way")
def once_servers_cut(fleet):
    finish = fleet.load("load", 250, 12, classes=write_classes(fleet))
    time.sleep(3)
    for name in ("crewdesk-1", "crewdesk-2", "stockroom-1"):
        fleet.set_server_faults(name, one_way_cut=True)
    time.sleep(3)
    for name in ("crewdesk-1", "crewdesk-2", "stockroom-1"):
        fleet.set_server_faults(name)
    return at_most_once_outcome(fleet, finish)


@proof("configuration", "watches-stall-for-some")
def config_watch_stall(fleet):
    monitor = VersionMonitor(fleet)
    fleet.set_platform_faults(cut_clients=[fleet.host(i) for i in range(4)])
    path = next_manifest(fleet, "next.json", 1502)
    code, text = fleet.ctl("apply", path)
    times = [seconds_until_version(fleet, 2)]
    return config_outcome(monitor, 1, times, 0 if code == 0 else 1,
                          text.strip())


@proof("configuration", "hosts-restart-while-platform-away")
def config_restart(fleet):
    path = next_manifest(fleet, "next.json", 1503)
    code, _ = fleet.ctl("apply", path)
    assert code == 0
    seconds_until_version(fleet, 2)
    monitor = VersionMonitor(fleet)
    fleet.set_platform_faults(down=True)
    times = []
    for index in range(1, 4):
        for kind in ("agent", "proxy"):
            fleet.send_signal(f"{kind}-{index}")
            fleet.respawn(f"{kind}-{index}")
        time.sleep(0.3)
        started = time.monotonic()
        try:
            fleets.wait_for(
                lambda: fleet.proxy_dump(index - 1)["config_version"] == 2,
                CONFIG_LIMIT_S, "from peers")
            times.append(time.monotonic() - started)
        except TimeoutError:
            times.append(None)
    return config_outcome(monitor, 3, times)


def count_unanswered_without(fleet, name):
    """Sends reads while one process is down; returns (requests, unanswered)."""
    fleet.send_signal(name)
    time.sleep(1.5)
    reads = [c for c in workloads.load_classes(fleet.workload)
             if c["idempotent"]]
    summary = fleet.load(f"without-{name}", 150, 3, classes=reads,
                         check=False)()
    fleet.respawn(name)
    time.sleep(1)
    return summary["requests"], summary["requests"] - summary.get("done", 0)


@proof("survival", "any-one-process-killed", process_per_server=True)
def survival(fleet):
    tried, violations = 0, 0
    for index in range(fleet.host_count):
        # A dump that is not valid JSON raises an exception.
        assert fleet.proxy_dump(index)["program"] == "coriandertray-proxy"
        assert fleet.agent_dump(index)["program"] == "coriandertray-agent"
    for name in ("platform", "agent-1", "agent-4", "proxy-2", "loopdocs-1",
                 "stockroom-3"):
        requests, unanswered = count_unanswered_without(fleet, name)
        tried += requests
        violations += unanswered
    return Outcome(tried, violations)


def run_proof(point, fault, seed, network, keep):
    function, options = PROOFS[(point, fault)]
    out = tempfile.mkdtemp(prefix=f"prove-{point}-{fault}-")
    verdict, outcome = "fail", Outcome(0, 0)
    try:
        with fleets.Fleet("plovdiv", HOSTS, out, network=network, seed=seed,
                          **options) as fleet:
            outcome = function(fleet)
        verdict = "pass" if outcome.violations == 0 and \
            outcome.tried else "fail"
    except Exception:  # Neither a pass nor a violation.
        verdict = "not-run"
        traceback.print_exc()
    print(f"PROOF point={point} fault={fault} seed={seed} "
          f"tried={outcome.tried} lost={outcome.violations} verdict={verdict}"
          f"  # {outcome.note}", flush=True)
    if verdict != "pass" or keep:
        print(f"  logs: {out}", flush=True)
    return verdict


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--point")
    parser.add_argument("--fault")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, default=21)
    parser.add_argument("--keep", action="store_true",
                        help="name the logs of passed proofs too")
    options = parser.parse_args()
    chosen = [key for key in PROOFS
              if (not options.point or key[0] == options.point)
              and (not options.fault or key[1] == options.fault)]
    if options.list:
        for point, fault in chosen:
            print(f"{point:16}{fault}")
        return 0
    verdicts = [run_proof(point, fault, options.seed,
                          options.network, options.keep)
                for point, fault in chosen]
    passed = verdicts.count("pass")
    print(f"{passed} passed, {len(verdicts) - passed} failed")
    return 0 if passed == len(verdicts) and passed else 1


if __name__ == "__main__":
    sys.exit(main())

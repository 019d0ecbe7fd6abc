"""Measures the control plane's cost by fleet size and fits lines to it.

Writes docs/capacity-slopes.json and the tables of docs/CAPACITY.md between the
markers <!-- slopes --> and <!-- end of slopes -->.
"""
import json
import os
import pathlib
import re
import statistics
import subprocess
import time

import fleet as fleets
import workloads

ROOT = fleets.ROOT
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S, WINDOW_S = 5, 15


def cpu_seconds(process):
    """User and system time that the process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    after = fields.rsplit(")", 1)[1].split()
    return (int(after[11]) + int(after[12])) / TICKS_PER_S


def memory_mb(process):
    """Resident memory in MB of a million bytes."""
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text()
                .split()[1])
    return pages * PAGE_BYTES / 1e6


def sample_counters(fleet):
    """Reads the cumulative processor times, bytes sent and store calls."""
    agents = range(1, fleet.host_count + 1)
    return {
        "at": time.monotonic(),
        "agent_cpu": {i: cpu_seconds(fleet.processes[f"agent-{i}"])
                      for i in agents},
        "proxy_cpu": {i: cpu_seconds(fleet.processes[f"proxy-{i}"])
                      for i in agents},
        "bytes": {i: fleet.agent_dump(i - 1)["peer_bytes_sent"]
                  for i in agents},
        "calls": fleet.platform_counts(),
    }


def rates(fleet, before, after):
    """Rates between two samples, averaged over the hosts, and memory in use."""
    span = after["at"] - before["at"]

    def each(key):
        return [(after[key][i] - before[key][i]) / span
                for i in after[key]]
    agents = [fleet.processes[f"agent-{i + 1}"]
              for i in range(fleet.host_count)]
    proxies = [fleet.processes[f"proxy-{i + 1}"]
               for i in range(fleet.host_count)]
    calls = {kind: round((after["calls"].get(kind, 0) -
                          before["calls"].get(kind, 0)) / span, 3)
             for kind in after["calls"]}
    return {
        "agent_bytes_per_s": round(statistics.mean(each("bytes")), 1),
        "agent_bytes_per_s_max": round(max(each("bytes")), 1),
        "agent_core_percent": round(
            100 * statistics.mean(each("agent_cpu")), 3),
        "proxy_core_percent": round(
            100 * statistics.mean(each("proxy_cpu")), 3),
        "agent_mb": round(statistics.mean(map(memory_mb, agents)), 2),
        "proxy_mb": round(statistics.mean(map(memory_mb, proxies)), 2),
        "store_calls_per_s": calls,
    }


def measure(fleet):
    """Lets the fleet settle, then measures its rates over WINDOW_S."""
    time.sleep(SETTLE_S)
    before = sample_counters(fleet)
    time.sleep(WINDOW_S)
    return rates(fleet, before, sample_counters(fleet))


def synthetic_manifest(network, services, servers, accounts):
    """Adds services without traffic, to measure what their configuration costs.

    `servers` is the number of backend servers of each added service.
    """
    manifest = workloads.manifest("plovdiv", network)
    template = manifest["services"][0]["backend_servers"][0]
    for index in range(services):
        manifest["services"].append({
            "name": f"extra-{index}", "floor_slots": servers,
            "backend_servers": [
                {**template, "name": f"extra-{index}-{n}"}
                for n in range(servers)],
            "routes": [{
                "name": f"route-{n}", "host": f"extra-{index}",
                "path_prefix": f"/part-{n}", "methods": ["GET"],
                "idempotent_methods": ["GET"], "deadline_ms": 1000}
                for n in range(53)]})
    manifest["accounts"] = [{"name": f"account-{n}"} for n in range(accounts)]
    return manifest


def measure_by_hosts(options, sizes):
    """Rates at several fleet sizes, idle and at 400 requests/s."""
    rows = []
    for hosts in sizes:
        with fleets.Fleet("plovdiv", hosts, pathlib.Path(options.out) /
                          f"hosts-{hosts}", network=options.network) as fleet:
            idle = measure(fleet)
            finish = fleet.load("load", 400, SETTLE_S + WINDOW_S + 4,
                                check=False)
            loaded = measure(fleet)
            finish()
        rows.append({"hosts": hosts, "idle": idle, "at_400_per_s": loaded})
        print(json.dumps(rows[-1]), flush=True)
    return rows


def measure_by_services(options, counts):
    """Idle rates of 8 hosts for (services, servers of each, accounts)."""
    rows = []
    for services, servers, accounts in counts:
        with fleets.Fleet("plovdiv", 8, pathlib.Path(options.out) /
                          f"services-{services}",
                          network=options.network) as fleet:
            path = fleet.write("big.json", synthetic_manifest(
                options.network, services, servers, accounts))
            started = time.monotonic()
            code, text = fleet.ctl("apply", str(path))
            assert code == 0, text
            fleets.wait_for(
                lambda: all(fleet.proxy_dump(i)["config_version"] == 2
                            for i in range(8)), 60, "in force")
            in_force = time.monotonic() - started
            idle = measure(fleet)
        rows.append({"services": services + 3,
                     "servers": services * servers + 30,
                     "accounts": accounts,
                     "apply_to_in_force_s": round(in_force, 2), "idle": idle})
        print(json.dumps(rows[-1]), flush=True)
    return rows


def measure_configuration_change(options):
    """Bytes that an agent sends for one configuration change."""
    with fleets.Fleet("plovdiv", 24, pathlib.Path(options.out) / "changes",
                      network=options.network) as fleet:
        idle = measure(fleet)
        before = sample_counters(fleet)
        changes = 20
        for number in range(changes):
            manifest = workloads.manifest("plovdiv", options.network)
            manifest["services"][0]["routes"][0]["deadline_ms"] = 1000 + number
            fleet.ctl("apply", str(fleet.write("next.json", manifest)))
        after = sample_counters(fleet)
    span = after["at"] - before["at"]
    bytes_sent = statistics.mean(after["bytes"][i] - before["bytes"][i]
                                 for i in after["bytes"])
    row = {"changes": changes, "hosts": 24,
           "bytes_per_change": round(
               (bytes_sent - idle["agent_bytes_per_s"] * span) / changes, 1)}
    print(json.dumps(row), flush=True)
    return row


def fit(points):
    """Fits a line by least squares: slope, intercept, largest residual."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    x_square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_square_sum
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return {"slope": float(f"{slope:.4g}"),
            "intercept": float(f"{intercept:.4g}"),
            "residual": float(f"{residual:.2g}")}


def run_core_benchmarks():
    """Processor time of each benchmark in bench_core."""
    done = subprocess.run(
        [fleets.BIN_DIR.parent / "tests" / "bench_core",
         "--benchmark_format=json", "--benchmark_min_time=0.2"],
        capture_output=True, text=True, check=True)
    return {row["name"]: {"time": float(f"{row['cpu_time']:.4g}"),
                          "unit": row["time_unit"]}
            for row in json.loads(done.stdout)["benchmarks"]}


def fit_all(results):
    hosts, services = results["by_hosts"], results["by_services"]
    result = {}
    for key in ("agent_bytes_per_s", "agent_core_percent", "agent_mb",
                "proxy_mb"):
        result[f"{key} per host"] = fit(
            [(row["hosts"], row["idle"][key]) for row in hosts])
        result[f"{key} per service"] = fit(
            [(row["services"], row["idle"][key]) for row in services])
    return result


TARGET_SIZE = {"hosts": 920, "services": 320, "requests_per_s_per_host": 293}
BUDGET = {"agent_bytes_per_s": 6000, "agent_core_percent": 1.1,
          "agent_mb": 256, "proxy_mb": 256}


def estimate_at_target(results):
    """Fitted idle figures at the target size: (name, figure, budget)."""
    fitted = results["fits"]
    rows = []
    for key, budget in BUDGET.items():
        per_service = fitted[f"{key} per service"]
        per_host = fitted[f"{key} per host"]
        idle = (per_service["intercept"] +
                per_service["slope"] * TARGET_SIZE["services"] +
                max(0, per_host["slope"]) * TARGET_SIZE["hosts"])
        rows.append((key, float(f"{idle:.3g}"), budget))
    return rows


def cost_per_request(results):
    """Bytes and percent of a core for a second that a request costs its agent.

    Taken from the smallest fleet, as the difference between load and idle.
    """
    row = results["by_hosts"][0]
    rate = 400 / row["hosts"]
    bytes_sent = (row["at_400_per_s"]["agent_bytes_per_s"] -
                  row["idle"]["agent_bytes_per_s"]) / rate
    core_percent = (row["at_400_per_s"]["agent_core_percent"] -
                    row["idle"]["agent_core_percent"]) / rate
    return float(f"{bytes_sent:.3g}"), float(f"{core_percent:.3g}")


def render_target_lines(results):
    lines = ["", f"At {TARGET_SIZE['hosts']} hosts and "
             f"{TARGET_SIZE['services']} services (fitted):", "",
             "| figure | without callers | budget | |",
             "| --- | --- | --- | --- |"]
    for key, idle, budget in estimate_at_target(results):
        lines.append(f"| {key} | {idle} | {budget} | "
                     f"{'met' if idle <= budget else 'short'} |")
    bytes_sent, core_percent = cost_per_request(results)
    rate = TARGET_SIZE["requests_per_s_per_host"]
    lines += ["", f"One request of an agent's own host costs it {bytes_sent} "
              f"bytes to other agents and {core_percent}% of a core for a "
              f"second (fitted, half of the requests keyed writes). At {rate} "
              f"requests/s a node that is {bytes_sent * rate / 1000:.3g} "
              f"KB/s and {core_percent * rate:.3g}% of a core: "
              f"{'met' if bytes_sent * rate <= 6000 else 'short'}."]
    return lines


def render_tables(results):
    """The text between the markers of docs/CAPACITY.md."""
    lines = ["Agents and proxies without callers (measured):", "",
             "| hosts | bytes/s an agent | % of a core an agent | agent MB | "
             "proxy MB | store gets/s | watches/s | host lists/s |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for row in results["by_hosts"]:
        idle = row["idle"]
        calls = idle["store_calls_per_s"]
        lines.append(
            f"| {row['hosts']} | {idle['agent_bytes_per_s']} | "
            f"{idle['agent_core_percent']} | {idle['agent_mb']} | "
            f"{idle['proxy_mb']} | {calls.get('get', 0)} | "
            f"{calls.get('watch', 0)} | {calls.get('hosts', 0)} |")
    lines += ["", "The same with 400 requests/s over the fleet (measured):",
              "", "| hosts | bytes/s an agent | % of a core an agent | "
              "% of a core a proxy | store puts/s |",
              "| --- | --- | --- | --- | --- |"]
    for row in results["by_hosts"]:
        loaded = row["at_400_per_s"]
        lines.append(
            f"| {row['hosts']} | {loaded['agent_bytes_per_s']} | "
            f"{loaded['agent_core_percent']} | "
            f"{loaded['proxy_core_percent']} | "
            f"{loaded['store_calls_per_s'].get('put', 0)} |")
    lines += ["", "8 hosts, more services, backend servers and accounts "
              "(measured):", "",
              "| services | backend servers | accounts | bytes/s an agent | "
              "% of a core an agent | agent MB | proxy MB | apply to in force, "
              "s |", "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for row in results["by_services"]:
        idle = row["idle"]
        lines.append(
            f"| {row['services']} | {row['servers']} | {row['accounts']} | "
            f"{idle['agent_bytes_per_s']} | {idle['agent_core_percent']} | "
            f"{idle['agent_mb']} | {idle['proxy_mb']} | "
            f"{row['apply_to_in_force_s']} |")
    change = results["by_changes"]
    lines += ["", f"One configuration change, {change['hosts']} hosts "
              f"(measured): {change['bytes_per_change']} bytes sent an agent.",
              "", "Fits (fitted):", "",
              "| figure | slope | intercept | largest residual |",
              "| --- | --- | --- | --- |"]
    for name, line in results["fits"].items():
        lines.append(f"| {name} | {line['slope']} | {line['intercept']} | "
                     f"{line['residual']} |")
    lines += ["", "Decisions of the core at the target size (measured):", "",
              "| decision | processor time |", "| --- | --- |"]
    for name, row in results["core"].items():
        lines.append(f"| {name} | {row['time']} {row['unit']} |")
    return "\n".join(lines + render_target_lines(results))


def rewrite_page():
    """Renders docs/CAPACITY.md again from docs/capacity-slopes.json."""
    write_page(json.loads(
        (ROOT / "docs" / "capacity-slopes.json").read_text()))


def write_page(results):
    page = ROOT / "docs" / "CAPACITY.md"
    text = page.read_text()
    block = f"<!-- slopes -->\n{render_tables(results)}\n<!-- end of slopes -->"
    text = re.sub(r"<!-- slopes -->.*<!-- end of slopes -->",
                  lambda _: block, text, flags=re.S)
    page.write_text(text)


def main(options):
    results = {
        "by_hosts": measure_by_hosts(options, [8, 24, 48]),
        "by_services": measure_by_services(
            options, [(10, 37, 1000), (40, 37, 5000), (100, 37, 12000)]),
        "by_changes": measure_configuration_change(options),
        "core": run_core_benchmarks(),
    }
    results["fits"] = fit_all(results)
    (ROOT / "docs" / "capacity-slopes.json").write_text(
        json.dumps(results, indent=1) + "\n")
    if (ROOT / "docs" / "CAPACITY.md").exists():
        write_page(results)
    return 0

"""Starts and controls a fleet of real processes on loopback addresses."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

import workloads

ROOT = pathlib.Path(__file__).resolve().parents[2]
ADMIN_TOKEN = "operator-token"
# Mean service time of a fake backend server.
MEAN_SERVICE_MS = 50
BIN_DIR = pathlib.Path(os.environ.get("CORIANDERTRAY_BIN",
                                      ROOT / "build" / "bin"))


def http(address, path, body=None, method=None, headers=None, timeout=5):
    """Calls a control or admin endpoint; returns (status, body)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, headers=headers or {},
        method=method or ("POST" if data is not None else "GET"))
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as response:
        return response.code, response.read().decode()


def wait_for(condition, limit_s, what):
    """Waits until condition() is true; raises TimeoutError after limit_s.

    A condition that raises OSError or ValueError counts as not yet true, as a
    starting process may not listen yet.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError):
            pass
        time.sleep(0.02)
    raise TimeoutError(what)


class Fleet:
    """A fake platform, fake backend servers, agents and proxies as processes.

    Use it as a context manager: entering starts the processes and waits until
    every proxy is ready, leaving kills them. `network` is the second octet of
    all addresses. Logs and settings go to the directory `out`. Backend servers
    share one process per service unless `process_per_server` is set.
    """

    def __init__(self, workload, hosts, out, network=1, seed=1,
                 policy="late-binding", verdicts=True, server_flags=(),
                 process_per_server=False, service_ms=MEAN_SERVICE_MS):
        self.workload = workload
        self.host_count = hosts
        self.out = pathlib.Path(out)
        self.network = network
        self.seed = seed
        self.policy = policy
        self.verdicts = verdicts
        self.server_flags = list(server_flags)
        self.process_per_server = process_per_server
        self.service_ms = service_ms
        self.bin = BIN_DIR
        self.processes = {}
        self.commands = {}
        self.out.mkdir(parents=True, exist_ok=True)
        self.platform = f"127.{network}.0.1:7000"
        self.platform_control = f"127.{network}.0.1:7001"
        self.zones = workloads.WORKLOADS[workload]["zones"]
        self.controls = {}

    # Addresses of the entry host with the given index, counted from zero.
    def ip(self, index):
        return f"127.{self.network}.{1 + index // 200}.{1 + index % 200}"

    def host(self, index):
        return f"host-{index + 1}"

    def zone(self, index):
        return self.zones[index % len(self.zones)]

    def caller_address(self, index):
        return f"{self.ip(index)}:8000"

    def proxy_admin(self, index):
        return f"{self.ip(index)}:8001"

    def agent_address(self, index):
        return f"{self.ip(index)}:9000"

    def agent_admin(self, index):
        return f"{self.ip(index)}:9001"

    def spawn(self, name, command):
        log = open(self.out / f"{name}.log", "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, start_new_session=True)
        log.close()

    def respawn(self, name):
        self.spawn(name, self.commands[name])

    def write(self, name, value):
        path = self.out / name
        path.write_text(json.dumps(value, indent=1))
        return path

    def start_platform(self):
        self.spawn("platform", [
            self.bin / "fake-platform", f"--listen={self.platform}",
            f"--control={self.platform_control}"])
        wait_for(lambda: http(self.platform_control, "/control/counts"), 10,
                 "platform")

    def start_backend_servers(self):
        manifest = workloads.manifest(self.workload, self.network)
        slots = workloads.WORKLOADS[self.workload]["slots"]
        for index, service in enumerate(manifest["services"]):
            servers = service["backend_servers"]
            groups = ([[s] for s in servers] if self.process_per_server
                      else [servers])
            for group in groups:
                first = group[0]["address"].split(":")[0]
                control = f"{first}:8001"
                name = (group[0]["name"] if self.process_per_server
                        else service["name"])
                for server in group:
                    self.controls[server["name"]] = control
                listed = ",".join(f"{s['name']}@{s['address']}" for s in group)
                self.spawn(name, [
                    self.bin / "fake-backend-server", f"--servers={listed}",
                    f"--control={control}", f"--slots={slots}",
                    f"--service_ms={self.service_ms}",
                    f"--seed={self.seed + index}", *self.server_flags])

    def start_agent(self, index):
        settings = self.write(f"agent-{index + 1}.json", {
            "host": self.host(index), "zone": self.zone(index),
            "listen": self.agent_address(index),
            "admin": self.agent_admin(index), "platform": self.platform,
            "seeds": [self.agent_address(i)
                      for i in range(min(3, self.host_count))],
            "admin_token": ADMIN_TOKEN})
        self.spawn(f"agent-{index + 1}", [
            self.bin / "coriandertray-agent", f"--settings={settings}"])

    def start_proxy(self, index):
        settings = self.write(f"proxy-{index + 1}.json", {
            "host": self.host(index), "zone": self.zone(index),
            "listen": self.caller_address(index),
            "admin": self.proxy_admin(index),
            "agent": self.agent_address(index), "admin_token": ADMIN_TOKEN})
        self.spawn(f"proxy-{index + 1}", [
            self.bin / "coriandertray-proxy", f"--settings={settings}",
            f"--policy={self.policy}",
            f"--verdicts={'true' if self.verdicts else 'false'}"])

    def start(self):
        self.start_platform()
        self.start_backend_servers()
        for index in range(self.host_count):
            self.start_agent(index)
        for index in range(self.host_count):
            self.start_proxy(index)
        self.manifest = self.write(
            "manifest.json", workloads.manifest(self.workload, self.network))
        code, text = self.ctl("apply", str(self.manifest))
        if code != 0:
            raise RuntimeError(text)
        self.wait_ready()

    def ready(self, index):
        return http(self.proxy_admin(index), "/ready")[0] == 200

    def wait_ready(self, limit_s=8):
        for index in range(self.host_count):
            wait_for(lambda: self.ready(index), limit_s,
                     f"proxy {index + 1} not ready")

        def all_joined():
            dump = self.agent_dump(0)
            return dump["live_hosts"] == self.host_count
        wait_for(all_joined, limit_s, "members missing")

    def ctl(self, *arguments):
        done = subprocess.run(
            [self.bin / "coriandertray-ctl", f"--platform={self.platform}",
             f"--token={ADMIN_TOKEN}", *arguments],
            capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout + done.stderr

    def proxy_dump(self, index):
        return json.loads(http(self.proxy_admin(index), "/dump")[1])

    def agent_dump(self, index):
        return json.loads(http(self.agent_admin(index), "/dump")[1])

    def set_server_faults(self, server, **faults):
        """Replaces a backend server's faults; no arguments clear them.

        Returns the Unix time in seconds.
        """
        http(self.controls[server], "/control/faults",
             {"server": server, **faults})
        return time.time()

    def send_server_command(self, server, command):
        """Sends start or stop; returns the Unix time in seconds."""
        http(self.controls[server], f"/control/{command}", {"server": server})
        return time.time()

    def server_status(self):
        found = {}
        for control in sorted(set(self.controls.values())):
            found.update(json.loads(http(control, "/control/status")[1]))
        return found

    def set_platform_faults(self, **faults):
        http(self.platform_control, "/control/faults", faults)

    def set_platform_hosts(self, hosts):
        http(self.platform_control, "/control/hosts", hosts)

    def platform_counts(self):
        return json.loads(http(self.platform_control, "/control/counts")[1])

    def load(self, name, rate, seconds, swing="", classes=None, targets=None,
             accounts=None, timeout_ms=8000, seed=None, check=True):
        """Starts a load generator.

        `rate` is in requests per second; `swing` holds "second:factor" steps of
        it, separated by commas. With `check`, the generator compares what
        callers got with what the backend servers executed. Returns a function
        that waits for the generator's end and returns its summary.
        """
        plan = self.write(f"{name}-plan.json", {
            "targets": targets or [self.caller_address(i)
                                   for i in range(self.host_count)],
            "controls": sorted(set(self.controls.values())) if check else [],
            "classes": classes or workloads.load_classes(self.workload),
            "accounts": accounts or ["load-1", "load-2", "load-3"]})
        out = self.out / f"{name}.json"
        out.unlink(missing_ok=True)
        self.spawn(name, [
            self.bin / "load-generator", f"--plan={plan}", f"--rate={rate}",
            f"--seconds={seconds}", f"--swing={swing}", f"--out={out}",
            f"--timeout_ms={timeout_ms}",
            f"--samples={self.out / (name + '.csv')}",
            f"--seed={self.seed if seed is None else seed}"])
        process = self.processes[name]

        def finish():
            process.wait(timeout=seconds + 90)
            return json.loads(out.read_text())
        return finish

    def send_signal(self, name, signal_number=signal.SIGKILL):
        """Sends a signal to one process; after SIGKILL, waits for its end."""
        self.processes[name].send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            self.processes[name].wait()

    def events(self, program, event):
        """Log lines of one event from all processes whose name has a prefix."""
        found = []
        for path in sorted(self.out.glob(f"{program}*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if f'"event":"{event}"' not in line:
                    continue
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()


def log_time(line):
    """The Unix time of a log line in seconds."""
    import calendar
    whole, fraction = line["time"].rstrip("Z").split(".")
    parsed = time.strptime(whole, "%Y-%m-%dT%H:%M:%S")
    return calendar.timegm(parsed) + int(fraction) / 1000


def seconds_until_out_of_rotation(fleet, server, onset, hosts=None):
    """Seconds from `onset` until the last proxy stopped using the server.

    `onset` is a Unix time. Returns None if some proxy still uses the server.
    """
    first = {}
    for line in fleet.events("proxy-", "standing-in-force"):
        is_removed = line["standing"] in ("ejected", "leaving")
        if line["backend_server"] == server and is_removed:
            when = log_time(line) - onset
            if when >= -0.01:
                first.setdefault(line["host"], when)
    needed = hosts or [fleet.host(i) for i in range(fleet.host_count)]
    if any(host not in first for host in needed):
        return None
    return max(first[host] for host in needed)


def ejections(fleet):
    """Times of ejections by any agent, by (service, server)."""
    found = {}
    for line in fleet.events("agent-", "verdict"):
        if line["standing"] == "ejected":
            key = (line["service"], line["backend_server"])
            found.setdefault(key, []).append(log_time(line))
    return found

"""Mutation tests: defects that the tests and proofs must catch.

Each is applied to a copy of the sources.
"""
import argparse
import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPY_DIR = ROOT / "build-mutants"


class Mutant:
    """A defect, and the proofs and tests that must fail with it.

    `edits` holds (file, original text, replacement) tuples. `proofs` holds
    (point, fault) pairs of prove.py, `tests` names of test programs.
    """

    def __init__(self, name, edits, proofs=(), tests=()):
        self.name = name
        self.edits = edits
        self.proofs = proofs
        self.tests = tests


JUDGE = "src/libs/outlier_detection/outlier_detector.cpp"
FLOOR = "src/libs/balancing/capacity_floor.cpp"
CLIENT = "src/libs/http/http_client.cpp"
POOL = "src/libs/http/connection_pool.cpp"
CLAIMS = "src/libs/claims/claim_shard.cpp"
STATE = "src/libs/balancing/backend_state.cpp"
HOST = "src/libs/entry_host/entry_host.cpp"
REPORT = "src/libs/allocation/backend_report.cpp"
ALLOCATOR = "src/libs/allocation/slot_allocator.cpp"
STORE = "platform/object_store.cpp"

MUTANTS = [
    Mutant("the judge and the proxies forget the floor", [
        (JUDGE, "Service.FloorSlots + Freed", "0"),
        (JUDGE, "if (slotsInService(State, Service) >= Service.FloorSlots)",
         "if (true)"),
        (FLOOR, "if (InService >= FloorSlots)", "if (true)"),
    ], proofs=[("floor", "most-servers-sick")],
        tests=["tst_outlier_detection", "tst_balancing"]),
    Mutant("a swapped answer is taken for one's own", [
        (CLIENT, "if (Match == request_id_match::Matches)", "if (true)"),
    ], proofs=[("answers", "swapped")], tests=["tst_http"]),
    Mutant("a cut answer is passed on as whole", [
        (CLIENT, "  if (ReadFailure) {",
         "  if (ReadFailure && ReadFailure != http::error::partial_message) {"),
    ], tests=["tst_http", "tst_cut_responses"]),
    Mutant("a response without an id is believed", [
        (HOST, "Limits.RequireRequestId = true;", ""),
    ], tests=["tst_entry_host"]),
    Mutant("a connection carries a request twice", [
        (POOL, "mayCarry(Connection.Carried, *Condition.RequestId)", "true"),
    ], tests=["tst_connection_ids", "tst_repeated_refusals"]),
    Mutant("a host forgets that a server leaves", [
        (REPORT, "(!Known.Leaving && Now >= Known.HeldUntil)",
         "Now >= Known.HeldUntil"),
        (ALLOCATOR, "Backend.Leaving || Release.Report->Leaving", "false"),
    ], tests=["tst_backend_report", "tst_entry_host"]),
    Mutant("a host comes back to a server too early", [
        (REPORT, "(!Known.Leaving && Now >= Known.HeldUntil)",
         "!Known.Leaving"),
        (ALLOCATOR, "Now + Release.Report->HoldOff", "Now"),
    ], tests=["tst_backend_report", "tst_entry_host"]),
    Mutant("one odd entry hides the list", [
        (STORE, "parseJsonLeniently(Result.Response.Body, PartDepth)",
         "parseJson(Result.Response.Body)"),
    ], tests=["tst_odd_entries"]),
    Mutant("a new allocator takes its servers for used", [
        (ALLOCATOR, "  if (State.FirstBackendListAt)\n    Record.LastGrantAt",
         "  Record.LastGrantAt"),
    ], tests=["tst_allocation"]),
    Mutant("a lost or late request is called not run", [
        (CLIENT, "Status == call_status::NotSent;",
         "Status == call_status::NotSent || Status == call_status::Lost ||"
         " Status == call_status::TimedOut;"),
    ], proofs=[("at-most-once", "connections-closed-under-the-request")],
        tests=["tst_http"]),
    Mutant("every claim of a key is granted", [
        (CLAIMS, "return Inserted || SameToken ?",
         "return true || Inserted || SameToken ?"),
    ], proofs=[("at-most-once", "connections-closed-under-the-request")],
        tests=["tst_claims"]),
    Mutant("drain signals are ignored", [
        (STATE, "State.Draining = Draining;", "(void)State; (void)Draining;"),
        (JUDGE, "Backend.Draining = Backend.Draining || Item.Draining;", ""),
    ], proofs=[("leaving", "drain"),
               ("leaving", "agents-dead-and-platform-away")],
        tests=["tst_outlier_detection"]),
    Mutant("the platform's list of leaving hosts is ignored", [
        (JUDGE, "const bool Listed = Leaving.contains(Name);",
         "const bool Listed = false; (void)Leaving;"),
    ], proofs=[("leaving", "listed-by-the-platform")]),
    Mutant("a leaving proxy closes its connections at once", [
        ("src/libs/http/http_server.cpp",
         "void http_server::drain() {\n  State->Draining = true;",
         "void http_server::drain() {\n  State->Draining = true;\n  abort();"),
    ], proofs=[("graceful", "proxies-one-after-the-other")]),
    Mutant("a failed write counts as accepted", [
        ("src/apps/ctl/manifest_commands.cpp",
         "if (Held->Root.ApplyId == Wanted.ApplyId) {", "if (true) {"),
    ], proofs=[("configuration", "operators-race")]),
    Mutant("an older version replaces a newer one", [
        ("src/libs/exchange/versioned_table.cpp",
         "  if (IsNewer)\n    Found->second = Entry;\n  return IsNewer;",
         "  Found->second = Entry;\n  return IsNewer || true;"),
    ], tests=["tst_exchange"]),
    Mutant("hosts do not ask each other for what they lack", [
        ("src/apps/agent/peer_exchange.cpp", "  if (!Answer.lists_versions)",
         "  if (true)"),
    ], proofs=[("configuration", "hosts-restart-while-platform-away")]),
]


def run(command, **options):
    return subprocess.run(command, capture_output=True, text=True, **options)


def copy_sources():
    COPY_DIR.mkdir(exist_ok=True)
    for name in ("src", "platform", "tests", "CMakeLists.txt"):
        target = COPY_DIR / name
        if target.is_dir():
            shutil.rmtree(target)
        if (ROOT / name).is_dir():
            shutil.copytree(ROOT / name, target)
        else:
            shutil.copy2(ROOT / name, target)


def build():
    run(["cmake", "-G", "Ninja", "-S", str(COPY_DIR),
         "-B", str(COPY_DIR / "build")], check=True)
    return run(["ninja", "-C", str(COPY_DIR / "build")])


def apply_edits(mutant):
    for name, original, replacement in mutant.edits:
        path = COPY_DIR / name
        text = path.read_text()
        if original not in text:
            raise LookupError(f"{name} does not contain: {original}")
        path.write_text(text.replace(original, replacement, 1))


def undo_edits(mutant):
    """Restores the edited files.

    Writes them rather than restoring their times: a file that is older than its
    object would not be rebuilt, and the defect would stay.
    """
    for name, _, _ in mutant.edits:
        (COPY_DIR / name).write_text((ROOT / name).read_text())


def check(mutant):
    """Runs the mutant's checks; returns (check, whether it failed) of each."""
    environment = {**os.environ, "RC_PARAMS": "seed=20261204",
                   "CORIANDERTRAY_BIN": str(COPY_DIR / "build" / "bin")}
    results = []
    for test in mutant.tests:
        done = run([COPY_DIR / "build" / "tests" / test], env=environment)
        results.append((test, done.returncode != 0))
    for point, fault in mutant.proofs:
        done = run([sys.executable, ROOT / "scripts" / "lib" / "prove.py",
                    "--point", point, "--fault", fault, "--network", "61"],
                   env=environment)
        results.append((f"proof {point}/{fault}",
                        "verdict=fail" in done.stdout))
    return results


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--only", default="", help="part of a name")
    options = parser.parse_args()
    chosen = [m for m in MUTANTS
              if options.only in m.name and (m.proofs or m.tests)]
    if options.list:
        for mutant in chosen:
            print(mutant.name)
        return 0
    missed = 0
    shutil.rmtree(COPY_DIR, ignore_errors=True)
    copy_sources()
    for mutant in chosen:
        apply_edits(mutant)
        built = build()
        if built.returncode != 0:
            print(f"MUTANT {mutant.name!r} does not build")
            print(built.stdout[-2000:])
            missed += 1
            undo_edits(mutant)
            continue
        for name, caught in check(mutant):
            missed += 0 if caught else 1
            print(f"MUTANT {mutant.name!r} check={name} "
                  f"{'caught' if caught else 'MISSED'}", flush=True)
        undo_edits(mutant)
    print(f"{missed} missed")
    return 0 if missed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())

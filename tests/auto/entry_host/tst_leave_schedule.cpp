#include "entry_host/leave_schedule.h"

#include <doctest/doctest.h>

using namespace coriandertray;

namespace {

constexpr duration GracePeriod = seconds(6);

event_loop_run runOf(const clock_source &Clock) {
  return {Clock.now(), Clock.uptime()};
}

/// A process whose event loop runs every 100 ms.
struct running_process {
  manual_clock Clock;
  run_history Runs;

  void run(int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      Clock.advance(milliseconds(100));
      recordRun(Runs, runOf(Clock));
    }
  }
};

} // namespace

TEST_CASE("a signal to a process that runs has not waited long") {
  running_process Process;
  Process.run(20);
  Process.Clock.advance(milliseconds(30));
  const duration Delay = maxSignalDelay(Process.Runs, runOf(Process.Clock));
  CHECK(Delay == milliseconds(130));
}

TEST_CASE("no delay is known before the first run") {
  const manual_clock Clock;
  CHECK(maxSignalDelay({}, runOf(Clock)) == duration::zero());
}

// Guards against: the run after a pause is recorded before the signal that came
// in the pause is handled, and hides the pause.
TEST_CASE("a signal may have waited for the whole pause") {
  running_process Process;
  Process.run(20);
  SUBCASE("frozen") { Process.Clock.advance(seconds(3)); }
  SUBCASE("suspended") { Process.Clock.suspend(seconds(3)); }
  SUBCASE("the run after the pause comes first") {
    Process.Clock.advance(seconds(3) - milliseconds(100));
    Process.run(1);
  }
  const duration Delay = maxSignalDelay(Process.Runs, runOf(Process.Clock));
  CHECK(Delay >= seconds(3));
  CHECK(Delay <= seconds(3) + milliseconds(100));
}

TEST_CASE("service ends before the earliest kill, the exit before the latest") {
  const manual_clock Clock;
  const leave_schedule Schedule = {runOf(Clock), seconds(2), GracePeriod};
  const event_loop_run Now = runOf(Clock);
  CHECK(serviceEnd(Schedule, Now) < Now.At + GracePeriod - seconds(2));
  CHECK(lastExit(Schedule, Now) < Now.At + GracePeriod);
  CHECK(lastExit(Schedule, Now) > Now.At + GracePeriod - seconds(2));
}

// Guards against: a suspension of the leaving host counts as grace period left.
TEST_CASE("the grace period runs while the system is suspended") {
  manual_clock Clock;
  const leave_schedule Schedule = {runOf(Clock), {}, GracePeriod};
  const event_loop_run Start = runOf(Clock);
  Clock.suspend(seconds(2));
  const event_loop_run Now = runOf(Clock);
  CHECK(serviceEnd(Schedule, Now) == serviceEnd(Schedule, Start) - seconds(2));
  CHECK(lastExit(Schedule, Now) == lastExit(Schedule, Start) - seconds(2));
}

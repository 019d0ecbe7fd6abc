#include "allocation_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr std::uint32_t SlotCount = 6;
constexpr int ServerCount = 12;

/// A request in flight until End.
struct running_request {
  slot_key Key;
  time_point Start;
  time_point End;
};

/// A pool whose servers are healthy and nearly full for some seconds.
struct busy_pool {
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::vector<running_request> Running;
  std::uint64_t NextId = 1;
  std::uint64_t BodyBytes = 0;

  /// The servers are spread over \p Zones zones from "a" on.
  explicit busy_pool(int Zones = 1) {
    std::vector<backend_registration> Servers;
    for (int Number = 0; Number < ServerCount; ++Number)
      Servers.push_back(makeServer("server-" + std::to_string(Number),
                                   SlotCount,
                                   std::string(1, "abc"[Number % Zones])));
    setBackends(State, Servers, Now);
  }

  slot_request nextRequest() {
    slot_request Request = makeRequest(NextId++, Now);
    Request.BodyBytes = BodyBytes;
    return Request;
  }

  // Durations between 100 and 600 ms in an order that repeats.
  static duration durationOf(std::uint64_t Id) {
    constexpr std::uint64_t Step = 7;
    constexpr std::uint64_t Values = 11;
    return milliseconds(100 + 50 * ((Id * Step) % Values));
  }

  void start(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Granted)
      Running.push_back({Answer.Key, Now, Now + durationOf(Answer.Key.Id)});
  }

  void endDueRequests() {
    const auto Due =
        std::ranges::partition(Running, [this](const running_request &Each) {
          return Each.End > Now;
        });
    for (const running_request &Each : Due)
      releaseSlot(State,
                  {Each.Key, slot_outcome::Succeeded, Each.End - Each.Start},
                  Now);
    Running.erase(Due.begin(), Due.end());
  }

  void run(duration Length, std::size_t MaxRunning) {
    constexpr duration Step = milliseconds(5);
    for (const time_point End = Now + Length; Now < End; Now += Step) {
      endDueRequests();
      for (const slot_answer &Answer : processQueue(State, Now))
        start(Answer);
      if (Running.size() + State.Queue.size() < MaxRunning)
        start(requestSlot(State, nextRequest(), Now));
      (void)takeSuspicionChanges(State, Now);
    }
  }
};

slot_request requestFromZone(const std::string &Zone, std::uint64_t BodyBytes,
                             time_point Now) {
  slot_request Request = makeRequest(1, Now);
  Request.Zone = Zone;
  Request.BodyBytes = BodyBytes;
  return Request;
}

/// Two healthy servers; that in zone "a" has \p FailureProbability.
backend_records makeTwoZones(double FailureProbability, time_point Now) {
  backend_records Backends;
  Backends["near"].Registration = makeServer("near", SlotCount, "a");
  Backends["near"].FailureProbability = FailureProbability;
  Backends["far"].Registration = makeServer("far", SlotCount, "b");
  for (auto &[Name, Backend] : Backends)
    Backend.LastGrantAt = Now;
  return Backends;
}

std::string chosenBackend(double FailureProbability, std::uint64_t BodyBytes) {
  const time_point Now{std::chrono::hours(1)};
  backend_records Backends = makeTwoZones(FailureProbability, Now);
  const std::optional<placement_candidate> Best = findCheapestBackend(
      Backends, requestFromZone("a", BodyBytes, Now), {}, Now);
  return Best ? Best->Backend->Registration.Name : std::string();
}

} // namespace

// Guards against servers that look failing only because they are busy: the
// requests in flight at six slots outweighed all successes.
TEST_CASE("healthy servers that are nearly full are not suspected") {
  busy_pool Pool;
  constexpr std::size_t Slots = std::size_t{SlotCount} * ServerCount;
  // The servers respond to some requests first, so that they are known.
  Pool.run(seconds(6), Slots / 2);
  Pool.run(seconds(6), Slots * 9 / 10);
  double Sum = 0;
  for (const auto &[Name, Backend] : Pool.State.Backends) {
    CHECK_FALSE(Backend.Suspected);
    Sum += Backend.FailureProbability;
  }
  CHECK(Sum / ServerCount < Pool.State.Policy.ProvenMaxFailureProbability);
}

// Guards against a bound that makes the allocator blind for a failure.
TEST_CASE("a server with six slots that hangs is suspected within a second") {
  busy_pool Pool;
  constexpr std::size_t Slots = std::size_t{SlotCount} * ServerCount;
  Pool.run(seconds(6), Slots / 2);
  const std::vector<slot_lease> Leases =
      Pool.State.Backends.at("server-0").Leases;
  REQUIRE_FALSE(Leases.empty());
  for (running_request &Each : Pool.Running)
    if (std::ranges::find(Leases, Each.Key, &slot_lease::Key) != Leases.end())
      Each.End = Pool.Now + seconds(10);
  Pool.run(seconds(1), Slots / 2);
  CHECK(Pool.State.Backends.at("server-0").Suspected);
}

// Guards against large bodies that cross zones for a small difference between
// servers, and against small ones that stay at a server which may fail.
TEST_CASE("the more bytes a request has, the more its own zone is preferred") {
  constexpr std::uint64_t LargeBody = 60'000;
  constexpr double Doubtful = 0.2;
  constexpr double Failing = 0.6;
  CHECK(chosenBackend(Doubtful, 0) == "far");
  CHECK(chosenBackend(Doubtful, LargeBody) == "near");
  CHECK(chosenBackend(Failing, LargeBody) == "far");
}

// Guards against healthy servers of other zones that get nothing for seconds,
// because large bodies stay in the zone that all of them come from. The load is
// far below what the servers of that zone can carry.
TEST_CASE("all healthy servers get a request every two seconds") {
  busy_pool Pool(3);
  Pool.run(seconds(6), std::size_t{SlotCount} * ServerCount / 2);
  Pool.BodyBytes = 60'000;
  const duration MaxUnused = seconds(2);
  duration LongestUnused{0};
  for (int Round = 0; Round < 40; ++Round) {
    Pool.run(milliseconds(250), SlotCount);
    for (const auto &[Name, Backend] : Pool.State.Backends)
      LongestUnused = std::max(LongestUnused, Pool.Now - Backend.LastGrantAt);
  }
  CHECK(LongestUnused <= MaxUnused);
}

// Guards against a healthy server that gets nothing for as long as it holds a
// slot for a host that was lost, until the deadline of that request.
TEST_CASE("a healthy server with a slot that isn't released stays in use") {
  busy_pool Pool;
  constexpr std::size_t Slots = std::size_t{SlotCount} * ServerCount;
  Pool.run(seconds(6), Slots / 2);
  const time_point Start = Pool.Now;
  backend_record &Server = Pool.State.Backends.at("server-0");
  adoptLease(Pool.State,
             {{"lost-host", 1}, "server-0", "", Start, Start + seconds(6)},
             Start);
  duration LongestUnused{0};
  for (int Round = 0; Round < 20; ++Round) {
    Pool.run(milliseconds(250), Slots / 8);
    LongestUnused = std::max(LongestUnused, Pool.Now - Server.LastGrantAt);
  }
  CHECK(LongestUnused <= seconds(2));
}

// Guards against requests that wait although another zone has room.
TEST_CASE("a large request is granted in another zone if its own is full") {
  const time_point Now{std::chrono::hours(1)};
  slot_allocator State;
  setBackends(State, {makeServer("far", SlotCount, "b")}, Now);
  State.Backends.at("far").FailureEstimate = {-4, Now};
  const slot_answer Answer =
      requestSlot(State, requestFromZone("a", 100'000, Now), Now);
  CHECK(Answer.Verdict == slot_verdict::Granted);
}

/// \file
/// Simulates callers and backend servers around a slot allocator.
#pragma once

#include "allocation_fixture.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace coriandertray::testing {

inline constexpr duration RequestDuration = milliseconds(200);

/// Simulates a load on an allocator. Servers in HungServers never answer;
/// those in Slowdowns take that many times longer.
struct load_simulation {
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t NextId = 1;
  std::set<std::string> HungServers;
  std::map<std::string, int> Slowdowns;
  std::map<std::string, int> Granted;
  int Lost = 0;
  int Served = 0;
  int Refused = 0;
  /// When requests ended with a response, by id.
  std::map<std::uint64_t, time_point> ServedAt;
  /// When requests were refused, and when they may return, by id.
  std::map<std::uint64_t, time_point> RefusedAt;
  std::map<std::uint64_t, duration> RetryAfter;
  /// The durations of the requests that don't take RequestDuration, by id.
  std::map<std::uint64_t, duration> Durations;

  struct in_flight_request {
    slot_key Key;
    std::string Backend;
    time_point Start;
    time_point End;
    bool Silent;
  };
  std::vector<in_flight_request> InFlight;

  duration durationOf(const slot_answer &Answer) const {
    const auto Own = Durations.find(Answer.Key.Id);
    const auto Slowdown = Slowdowns.find(Answer.Backend);
    return (Own == Durations.end() ? RequestDuration : Own->second) *
           (Slowdown == Slowdowns.end() ? 1 : Slowdown->second);
  }

  void startRequest(const slot_answer &Answer) {
    ++Granted[Answer.Backend];
    const bool Silent = HungServers.contains(Answer.Backend);
    const duration Length = Silent ? duration(seconds(2)) : durationOf(Answer);
    InFlight.push_back({Answer.Key, Answer.Backend, Now, Now + Length, Silent});
  }

  void handleAnswer(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Granted)
      startRequest(Answer);
    if (Answer.Verdict != slot_verdict::Refused)
      return;
    ++Refused;
    RefusedAt[Answer.Key.Id] = Now;
    RetryAfter[Answer.Key.Id] = Answer.RetryAfter;
  }

  void finishDueRequests() {
    std::vector<in_flight_request> Left;
    for (const in_flight_request &Each : InFlight) {
      if (Each.End > Now) {
        Left.push_back(Each);
        continue;
      }
      (Each.Silent ? Lost : Served) += 1;
      if (!Each.Silent)
        ServedAt[Each.Key.Id] = Now;
      releaseSlot(State,
                  {Each.Key,
                   Each.Silent ? slot_outcome::Silent : slot_outcome::Succeeded,
                   Each.End - Each.Start},
                  Now);
    }
    InFlight = std::move(Left);
  }

  void run(duration Length, duration Interval, bool Idempotent = false) {
    const time_point End = Now + Length;
    constexpr duration Step = milliseconds(10);
    time_point NextArrival = Now;
    while (Now < End) {
      finishDueRequests();
      for (const slot_answer &Answer : processQueue(State, Now))
        handleAnswer(Answer);
      if (Now >= NextArrival) {
        NextArrival += Interval;
        handleAnswer(
            requestSlot(State, makeRequest(NextId++, Now, Idempotent), Now));
      }
      (void)takeSuspicionChanges(State, Now);
      Now += Step;
    }
  }
};

} // namespace coriandertray::testing

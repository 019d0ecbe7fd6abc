/// \file
/// An open-loop load run: requests leave when they are due, however late the
/// answers to earlier ones are, and each answer is checked to be whole and its
/// own.
#pragma once

#include "http/http_client.h"
#include "metrics/metrics.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace coriandertray {

/// One kind of request.
struct request_class {
  std::string Name;
  std::string Method = "GET";
  std::string Host;
  std::string Path;
  double Share = 1;
  bool Idempotent = true;
  /// Sends an idempotency key and resends after an unknown outcome.
  bool Keyed = false;
  bool operator==(const request_class &) const = default;
};

/// From when on the rate is multiplied by how much.
struct rate_step {
  double AtSeconds = 0;
  double Factor = 1;
  auto operator<=>(const rate_step &) const = default;
};

struct load_plan {
  std::vector<socket_address> Targets;
  /// Control endpoints of the fake backend servers; empty skips the check
  /// against their records.
  std::vector<socket_address> Controls;
  std::vector<request_class> Classes;
  std::vector<std::string> Accounts;
  double Rate = 100;
  double Seconds = 10;
  std::vector<rate_step> RateSteps;
  milliseconds Timeout{3000};
  std::uint64_t Seed = 1;
  bool operator==(const load_plan &) const = default;
};

/// Reads the plan file. Fails with FieldMissing, AddressMalformed or
/// FieldOfWrongType.
[[nodiscard]] result<load_plan> readPlan(const json::object &Object);

/// How one piece of work ended for its caller.
enum class work_outcome {
  Done,
  WrongAnswer, ///< Not whole, or another request's.
  NotRun,      ///< The caller was told that it was not run.
  Unknown,     ///< The caller was told that the outcome is unknown.
  Duplicate,   ///< The caller was told that its key was used before.
  Failed,      ///< An error answer of a backend server.
  Broken,      ///< The connection failed.
};

/// \returns the stable name of \p Outcome.
[[nodiscard]] std::string_view workOutcomeName(work_outcome Outcome);

/// Runs one plan. All members run on the thread of the io_context.
class load_run {
public:
  load_run(asio::io_context &Context, load_plan Plan);

  /// Sends the load, waits for the last answer and checks the records.
  asio::awaitable<void> run();

  /// \returns one line of comma-separated values for each request: due in
  /// seconds, class, outcome, latency and service time in milliseconds, whether
  /// it was hedged. \pre run() has ended.
  [[nodiscard]] std::string samples() const;

  /// \returns the summary. \pre run() has ended.
  [[nodiscard]] json::object summary() const;

private:
  struct work_record {
    bool Idempotent = true;
    work_outcome Outcome = work_outcome::Broken;
  };
  /// One finished request, for analysis outside.
  struct work_sample {
    double DueSeconds = 0;
    std::string ClassName;
    work_outcome Outcome = work_outcome::Broken;
    double LatencyMs = 0;
    double ServiceMs = 0;
    bool Hedged = false;
  };
  struct attempt_result {
    work_outcome Outcome = work_outcome::Broken;
    double ServiceMs = 0;
    bool Hedged = false;
  };
  struct class_result {
    std::map<work_outcome, std::uint64_t> Outcomes;
    duration_histogram Latency;
    duration_histogram Refusal;
  };
  struct second_result {
    std::uint64_t Sent = 0;
    std::map<work_outcome, std::uint64_t> Outcomes;
    duration_histogram Latency;
  };

  [[nodiscard]] double rateFactorAt(double Seconds) const;
  const request_class &drawClass();
  asio::awaitable<void> sendRequest(std::uint64_t Number, time_point Due);
  asio::awaitable<attempt_result>
  attempt(const request_class &Class, std::string WorkId, std::string Account);
  asio::awaitable<void> checkRecords();
  void recordResult(const request_class &Class, const std::string &WorkId,
                    const attempt_result &Result, time_point Due);
  [[nodiscard]] json::object classSummary(const class_result &Result) const;

  asio::io_context &Context;
  load_plan Plan;
  http_client Client;
  std::mt19937_64 Random;
  std::map<std::string, work_record> WorkRecords;
  std::map<std::string, class_result> Classes;
  std::vector<second_result> Timeline;
  std::vector<work_sample> Samples;
  class_result Total;
  time_point StartedAt;
  std::size_t InFlight = 0;
  std::uint64_t NextTarget = 0;
  std::uint64_t Resends = 0;
  bool RecordsChecked = false;
  std::uint64_t Executed = 0;
  std::uint64_t Doubled = 0;
  std::uint64_t Lost = 0;
  std::uint64_t FalseNotRun = 0;
};

} // namespace coriandertray

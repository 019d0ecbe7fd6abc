/// \file
/// An open-loop load run: requests are sent when they are due, however late the
/// responses to earlier ones are. Each response is checked to be complete and
/// to belong to its request.
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
  /// The weight of the class among all classes of the plan.
  double Share = 1;
  bool Idempotent = true;
  /// Sends an idempotency key and resends after an unknown outcome.
  bool Keyed = false;
  bool operator==(const request_class &) const = default;
};

/// A change of the request rate.
struct rate_step {
  /// When the step begins, in seconds from the start of the run.
  double AtSeconds = 0;
  /// Multiplies the rate of the plan until the next step.
  double Factor = 1;
  auto operator<=>(const rate_step &) const = default;
};

struct load_plan {
  std::vector<socket_address> Targets;
  /// The control endpoints of the fake backend servers. If there are none, the
  /// responses are not checked against the servers' execution records.
  std::vector<socket_address> Controls;
  std::vector<request_class> Classes;
  std::vector<std::string> Accounts;
  /// Mean number of requests per second.
  double Rate = 100;
  /// How long requests are sent.
  double Seconds = 10;
  std::vector<rate_step> RateSteps;
  /// How long one attempt waits for its response.
  milliseconds Timeout{3000};
  std::uint64_t Seed = 1;
  bool operator==(const load_plan &) const = default;
};

/// Reads a plan from \p Object. Fails with FieldMissing, AddressMalformed or
/// FieldOfWrongType.
[[nodiscard]] result<load_plan> readPlan(const json::object &Object);

/// How one piece of work ended, as the caller sees it.
enum class work_outcome {
  Done,        ///< The correct response.
  WrongAnswer, ///< Incomplete, malformed, or the response to another request.
  NotRun,      ///< The response states that the request was not run.
  Unknown,     ///< The response states an unknown outcome, or timed out.
  Duplicate,   ///< The response states that the key was used before.
  Failed,      ///< Any other error response.
  Broken,      ///< The connection failed.
};

/// \returns the stable name of \p Outcome.
[[nodiscard]] std::string_view workOutcomeName(work_outcome Outcome);

/// Runs one plan. Not thread-safe; all members run on the thread of the
/// io_context.
class load_run {
public:
  load_run(asio::io_context &Context, load_plan Plan);

  /// Sends the requests, waits for the last response and compares the outcomes
  /// with the execution records.
  asio::awaitable<void> run();

  /// \returns a CSV table with a header and one line for each request: due time
  /// in seconds from the start, class, outcome, latency and service time in
  /// milliseconds, and whether it was hedged. \pre run() has ended.
  [[nodiscard]] std::string samples() const;

  /// \returns the summary of the run as JSON. \pre run() has ended.
  [[nodiscard]] json::object summary() const;

private:
  struct work_record {
    bool Idempotent = true;
    work_outcome Outcome = work_outcome::Broken;
  };
  /// One completed request, as written by samples().
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
    /// Latency of the responses that state that the request was not run.
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
  /// By work id.
  std::map<std::string, work_record> WorkRecords;
  std::map<std::string, class_result> Classes;
  /// One element for each second of the run.
  std::vector<second_result> Timeline;
  std::vector<work_sample> Samples;
  class_result Total;
  time_point StartedAt;
  std::size_t InFlight = 0;
  std::uint64_t NextTarget = 0;
  std::uint64_t Resends = 0;
  bool RecordsChecked = false;
  /// Executions of this run's requests on all backend servers.
  std::uint64_t Executed = 0;
  /// Requests that are not idempotent and were run more than once.
  std::uint64_t Doubled = 0;
  /// Requests with a correct response that no backend server ran.
  std::uint64_t Lost = 0;
  /// Requests that were run although the response states that they were not.
  std::uint64_t FalseNotRun = 0;
};

} // namespace coriandertray

/// \file
/// load-generator: runs one load plan and writes a summary.

#include "load_run.h"

#include "utils/log.h"
#include "utils/process.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <ranges>

DEFINE_string(plan, "", "JSON file with targets, classes and accounts");
DEFINE_double(rate, 100, "mean number of requests per second");
DEFINE_double(seconds, 10, "how long requests are sent");
DEFINE_string(swing, "",
              "SECOND:FACTOR,... multiplies the rate from each second on");
DEFINE_int32(timeout_ms, 3000, "how long one attempt waits for its response");
DEFINE_uint64(seed, 1, "seed of the random arrival times and choices");
DEFINE_string(out, "", "file for the JSON summary; standard output if empty");
DEFINE_string(samples, "",
              "CSV file with one line for each request; not written if empty");
DEFINE_bool(table, true, "write a text table to standard error");

using namespace coriandertray;

namespace {

result<std::vector<rate_step>> parseRateSteps(std::string_view Text) {
  std::vector<rate_step> Steps;
  if (Text.empty())
    return Steps;
  for (const auto Part : std::views::split(Text, ',')) {
    const std::string Pair(Part.begin(), Part.end());
    const std::size_t Colon = Pair.find(':');
    if (Colon == std::string::npos)
      return fail(error_code::UsageWrong, Pair + " is not SECOND:FACTOR");
    rate_step Step;
    const char *Middle = Pair.data() + Colon;
    const char *End = Pair.data() + Pair.size();
    const auto At = std::from_chars(Pair.data(), Middle, Step.AtSeconds);
    const auto Factor = std::from_chars(Middle + 1, End, Step.Factor);
    if (At.ptr != Middle || Factor.ptr != End)
      return fail(error_code::UsageWrong, Pair + " is not SECOND:FACTOR");
    Steps.push_back(Step);
  }
  return Steps;
}

result<load_plan> loadPlan() {
  const result<json::object> Object = readJsonObject(FLAGS_plan);
  if (!Object)
    return tl::unexpected(Object.error());
  result<load_plan> Plan = readPlan(*Object);
  const auto RateSteps = parseRateSteps(FLAGS_swing);
  if (!Plan || !RateSteps)
    return Plan ? tl::unexpected(RateSteps.error())
                : tl::unexpected(Plan.error());
  Plan->RateSteps = *RateSteps;
  Plan->Rate = FLAGS_rate;
  Plan->Seconds = FLAGS_seconds;
  Plan->Timeout = milliseconds(FLAGS_timeout_ms);
  Plan->Seed = FLAGS_seed;
  return Plan;
}

void writeTable(const json::object &Summary) {
  constexpr int NameWidth = 18;
  constexpr int NumberWidth = 11;
  const std::vector<std::string> Columns = {"done",    "wrong",  "not_run",
                                            "unknown", "failed", "broken",
                                            "p50_ms",  "p99_ms"};
  std::cerr << std::left << std::setw(NameWidth) << "class" << std::right;
  for (const std::string &Column : Columns)
    std::cerr << std::setw(NumberWidth) << Column;
  std::cerr << "\n" << std::fixed << std::setprecision(1);
  const auto WriteRow = [&](const std::string &Name, const json::object &Row) {
    std::cerr << std::left << std::setw(NameWidth) << Name << std::right;
    for (const std::string &Column : Columns)
      std::cerr << std::setw(NumberWidth) << numberAt(Row, Column);
    std::cerr << "\n";
  };
  for (const auto &[Name, Row] : Summary.at("classes").as_object())
    WriteRow(std::string(Name), Row.as_object());
  WriteRow("all", Summary);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments,
                   "Open-loop load generator; test only.");
  startLogging("load-generator", "", log_level::Info);
  const result<load_plan> Plan = loadPlan();
  if (!Plan) {
    (void)printErrors({Plan.error()});
    return static_cast<int>(exit_code::InputInvalid);
  }
  asio::io_context Context;
  load_run Run(Context, *Plan);
  asio::co_spawn(Context, Run.run(), asio::detached);
  Context.run();
  const json::object Summary = Run.summary();
  if (!FLAGS_samples.empty())
    std::ofstream(FLAGS_samples) << Run.samples();
  if (FLAGS_table)
    writeTable(Summary);
  const std::string Text = json::serialize(Summary) + "\n";
  if (FLAGS_out.empty())
    std::cout << Text;
  else
    std::ofstream(FLAGS_out) << Text;
  return static_cast<int>(exit_code::Success);
}

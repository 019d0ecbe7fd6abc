#include "utils/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <string>

#include <poll.h>
#include <unistd.h>

namespace coriandertray {

namespace {

namespace sinks = boost::log::sinks;
namespace sources = boost::log::sources;

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

struct log_settings {
  std::string Program = "unknown";
  std::string Host;
  log_level MinLevel = log_level::Info;
};

log_settings &logSettings() {
  static log_settings Settings;
  return Settings;
}

std::string utcTime() {
  using namespace std::chrono;
  const auto Now = system_clock::now();
  const std::time_t EpochSeconds = system_clock::to_time_t(Now);
  const auto Milliseconds =
      duration_cast<std::chrono::milliseconds>(Now.time_since_epoch()).count() %
      1000;
  std::tm BrokenDownTime{};
  gmtime_r(&EpochSeconds, &BrokenDownTime);
  std::array<char, 40> Text{};
  const std::size_t Length = std::strftime(
      Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &BrokenDownTime);
  std::string Digits = std::to_string(Milliseconds);
  Digits.insert(0, 3 - Digits.size(), '0');
  return std::string(Text.data(), Length) + "." + Digits + "Z";
}

// Buffers log lines and writes them to standard output without blocking. Drops
// lines above MaxLinesPerSecond or MaxBufferedBytes.
class bounded_stdout
    : public sinks::basic_formatted_sink_backend<
          char, sinks::combine_requirements<sinks::synchronized_feeding,
                                            sinks::flushing>::type> {
public:
  void consume(const boost::log::record_view &, const string_type &Line) {
    const auto Now = std::chrono::steady_clock::now();
    startSecondIfDue(Now);
    if (LinesInSecond >= MaxLinesPerSecond ||
        Buffer.size() + Line.size() > MaxBufferedBytes) {
      ++Dropped;
      return;
    }
    ++LinesInSecond;
    Buffer += Line;
    Buffer += '\n';
    if (Buffer.size() >= ChunkBytes || Now - WrittenAt > FlushInterval)
      flush();
  }

  void flush() {
    WrittenAt = std::chrono::steady_clock::now();
    std::size_t Start = 0;
    while (Start < Buffer.size()) {
      pollfd Output = {STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
        break;
      // poll() reports a pipe as writable once PIPE_BUF (4096) bytes fit, so a
      // write of at most ChunkBytes does not block.
      const std::size_t Size = std::min(ChunkBytes, Buffer.size() - Start);
      const auto Count = ::write(STDOUT_FILENO, Buffer.data() + Start, Size);
      if (Count <= 0)
        break;
      Start += static_cast<std::size_t>(Count);
    }
    Buffer.erase(0, Start);
  }

private:
  static constexpr std::size_t ChunkBytes = 4096;
  static constexpr std::size_t MaxBufferedBytes = 256U << 10U;
  static constexpr std::size_t MaxLinesPerSecond = 1000;
  static constexpr std::chrono::milliseconds FlushInterval{200};

  // Starts a new second of the rate limit if the last one is over. Reports the
  // dropped lines unless the buffer is more than half full.
  void startSecondIfDue(std::chrono::steady_clock::time_point Now) {
    if (Now - SecondStart < std::chrono::seconds(1))
      return;
    SecondStart = Now;
    LinesInSecond = 0;
    if (Dropped == 0 || Buffer.size() > MaxBufferedBytes / 2)
      return;
    Buffer += R"({"event":"log-lines-dropped","count":)" +
              std::to_string(Dropped) + "}\n";
    Dropped = 0;
  }

  std::string Buffer;
  std::chrono::steady_clock::time_point WrittenAt;
  std::chrono::steady_clock::time_point SecondStart;
  std::size_t LinesInSecond = 0;
  std::size_t Dropped = 0;
};

} // namespace

void startLogging(std::string_view Program, std::string_view Host,
                  log_level MinLevel) {
  logSettings() = {std::string(Program), std::string(Host), MinLevel};
  boost::log::core::get()->add_sink(
      boost::make_shared<sinks::synchronous_sink<bounded_stdout>>());
  std::atexit(flushLog);
}

void flushLog() { boost::log::core::get()->flush(); }

log_level parseLogLevel(std::string_view Name) {
  const auto *Found = std::find(LevelNames.begin(), LevelNames.end(), Name);
  if (Found == LevelNames.end())
    return log_level::Info;
  return static_cast<log_level>(Found - LevelNames.begin());
}

void logEvent(log_level Level, std::string_view Event,
              const json::object &Fields) {
  if (Level < logSettings().MinLevel)
    return;
  json::object Line;
  Line["time"] = utcTime();
  const std::string_view Name = LevelNames[static_cast<std::size_t>(Level)];
  Line["level"] = json::string(Name.data(), Name.size());
  Line["program"] = logSettings().Program;
  Line["host"] = logSettings().Host;
  Line["event"] = json::string(Event.data(), Event.size());
  for (const auto &[Key, Value] : Fields)
    Line[Key] = Value;
  static sources::severity_logger_mt<log_level> Logger;
  BOOST_LOG_SEV(Logger, Level) << json::serialize(Line);
}

} // namespace coriandertray

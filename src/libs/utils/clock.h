/// \file
/// An interface to the current time, so that tests can control the clock.
#pragma once

#include <chrono>

namespace coriandertray {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A source of monotonic time. Implementations are safe to call from any
/// thread.
class clock_source {
public:
  virtual ~clock_source() = default;
  /// \returns the current monotonic time.
  [[nodiscard]] virtual time_point now() const = 0;
  /// \returns the time since a fixed moment. Unlike now(), it also counts the
  /// time for which the system was suspended.
  [[nodiscard]] virtual duration uptime() const = 0;
};

/// The monotonic clock of the operating system. Thread-safe.
class steady_clock_source final : public clock_source {
public:
  [[nodiscard]] time_point now() const override {
    return std::chrono::steady_clock::now();
  }
  [[nodiscard]] duration uptime() const override;
};

/// A clock for tests that only moves in advance(). Not thread-safe.
class manual_clock final : public clock_source {
public:
  [[nodiscard]] time_point now() const override { return Now; }
  [[nodiscard]] duration uptime() const override {
    return Now.time_since_epoch() + Suspended;
  }
  /// Moves the clock forward. \pre \p Step is not negative.
  void advance(duration Step) { Now += Step; }
  /// Lets \p Time pass while the system is suspended. \pre \p Time is not
  /// negative.
  void suspend(duration Time) { Suspended += Time; }

private:
  time_point Now{std::chrono::hours(1)};
  duration Suspended{0};
};

/// \returns \p Value in milliseconds, including fractions.
[[nodiscard]] inline double toMilliseconds(duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/// \returns \p Value in seconds, including fractions.
[[nodiscard]] inline double toSeconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace coriandertray

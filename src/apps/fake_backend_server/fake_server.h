/// \file
/// One stand-in for a backend server: slots, a queue, service times with
/// stragglers, a drain, and faults that are switched on while it runs.
#pragma once

#include "http/http_server.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace coriandertray {

/// What a healthy fake server is like.
struct fake_server_settings {
  std::string Name;
  socket_address Address;
  std::uint32_t Slots = 3;
  std::uint32_t QueueLimit = 100;
  std::uint32_t ConnectionLimit = 330;
  milliseconds ConnectionCost{1};
  milliseconds ProbeCost{25};
  /// The mean time that a request runs.
  double ServiceMs = 20;
  /// Whether service times are exponential; fixed otherwise.
  bool Exponential = true;
  double StragglerShare = 0.02;
  double StragglerFactor = 30;
  /// How long after the start requests run three times longer.
  milliseconds ColdStartTime{0};
  std::uint64_t Seed = 1;
  bool operator==(const fake_server_settings &) const = default;
};

/// The faults that can be switched on; see docs/STAND-INS.md. Shares are in
/// [0, 1].
struct fake_server_faults {
  double Slow = 1;
  bool Hang = false;
  double FailShare = 0;
  double TruncateShare = 0;
  double ResetShare = 0;
  double CloseShare = 0;
  double SwapShare = 0;
  double SurplusShare = 0;
  bool Freeze = false;
  bool Draining = false;
  /// Whether it refuses new work a while after its drain began.
  bool DrainRefuses = false;
  bool HealthLies = true;
  bool Shed = false;
  /// Requests come in and are run; no answer gets out.
  bool OneWayCut = false;
  /// Runs on after the caller has gone.
  bool IgnoresCancellation = false;
  /// How old the state is that the health endpoint tells.
  milliseconds HealthLag{0};
  milliseconds FlapPeriod{0};
  bool operator==(const fake_server_faults &) const = default;
};

/// Reads faults; fields that are absent are off.
[[nodiscard]] fake_server_faults readServerFaults(const json::object &Object);

/// One served piece of work.
struct execution_record {
  std::uint32_t Count = 0;
  bool operator==(const execution_record &) const = default;
};

/// All members run on the thread of the io_context.
class fake_server {
public:
  fake_server(asio::io_context &Context, fake_server_settings Settings);

  result<void> start();
  void setFaults(const fake_server_faults &Faults);
  /// Stops as a crash would; start() brings it back, cold.
  void stop();

  [[nodiscard]] const std::string &name() const { return Settings.Name; }
  [[nodiscard]] json::object executions() const;
  [[nodiscard]] json::object status() const;

private:
  enum class admission { Run, Full, Expired, PeerGone };

  asio::awaitable<http_response> serve(http_request Request,
                                       std::shared_ptr<peer_connection> Peer);
  asio::awaitable<http_response> execute(http_request Request,
                                         std::shared_ptr<peer_connection> Peer);
  asio::awaitable<admission>
  waitForSlot(const http_request &Request,
              const std::shared_ptr<peer_connection> &Peer);
  /// \returns whether the whole time passed with the peer still there.
  asio::awaitable<bool> simulateWork(duration Time,
                                     std::shared_ptr<peer_connection> Peer);
  asio::awaitable<void> pause(duration Time);
  [[nodiscard]] bool areFaultsActive() const;
  [[nodiscard]] http_response makeHealthResponse() const;
  bool drawWithProbability(double Share);
  duration drawServiceTime();
  http_response makeRefusal(std::string_view Reason) const;
  http_response injectResponseFault(http_response Response);
  void addStateHeaders(http_response &Response) const;

  asio::io_context &Context;
  fake_server_settings Settings;
  fake_server_faults Faults;
  fake_server_faults PreviousFaults;
  http_server Server;
  std::mt19937_64 Random;
  std::map<std::string, execution_record> Executions;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint64_t NewWorkWhileDraining = 0;
  std::uint64_t Refusals = 0;
  std::uint64_t Cancellations = 0;
  std::uint64_t Served = 0;
  std::string PreviousBody;
  time_point StartedAt;
  time_point FaultsSince;
  time_point DrainingSince;
};

} // namespace coriandertray

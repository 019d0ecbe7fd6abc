/// \file
/// A simulated backend server for tests: it has slots, a queue, random service
/// times with stragglers, draining, and faults that can be injected at runtime.
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

/// The properties of a fake server without faults.
struct fake_server_settings {
  std::string Name;
  socket_address Address;
  /// The number of requests that run concurrently.
  std::uint32_t Slots = 3;
  /// The number of requests that wait for a slot at most.
  std::uint32_t QueueLimit = 100;
  /// With more open connections, a request gets no response and its connection
  /// is closed.
  std::uint32_t ConnectionLimit = 330;
  /// How long a new connection waits before it is served.
  milliseconds ConnectionCost{1};
  /// How long a health check takes.
  milliseconds ProbeCost{25};
  /// Mean service time in milliseconds.
  double ServiceMs = 20;
  /// Whether service times are exponentially distributed; otherwise they are
  /// constant.
  bool Exponential = true;
  /// The share of requests in [0, 1] that are stragglers.
  double StragglerShare = 0.02;
  /// The service time of stragglers as a multiple of ServiceMs.
  double StragglerFactor = 30;
  /// How long after a start requests take three times as long.
  milliseconds ColdStartTime{0};
  std::uint64_t Seed = 1;
  bool operator==(const fake_server_settings &) const = default;
};

/// The faults that can be injected; see docs/STAND-INS.md. Shares are
/// probabilities in [0, 1].
struct fake_server_faults {
  /// Multiplies service times.
  double Slow = 1;
  /// Requests occupy their slot and never complete.
  bool Hang = false;
  /// Error responses.
  double FailShare = 0;
  /// Responses whose body ends halfway.
  double TruncateShare = 0;
  /// Responses that end within the status line.
  double ResetShare = 0;
  /// Connections closed without a response.
  double CloseShare = 0;
  /// Responses that belong to another request.
  double SwapShare = 0;
  /// Responses followed by a second, unsolicited one.
  double SurplusShare = 0;
  /// Refusals that are sent once more before the next response.
  double RepeatRefusalShare = 0;
  /// Refusals don't return the id of their request.
  bool AnonymousRefusals = false;
  /// Requests never complete and are not even queued; health checks still work.
  bool Freeze = false;
  /// Responses announce a drain.
  bool Draining = false;
  /// Refuses new work from DrainRefusalDelay after the start of a drain.
  bool DrainRefuses = false;
  /// The health endpoint reports healthy despite the faults; if false, it
  /// reports unhealthy.
  bool HealthLies = true;
  /// Refuses all requests.
  bool Shed = false;
  /// Requests arrive and are run, but no response is sent.
  bool OneWayCut = false;
  /// Continues to run requests whose peer has disconnected.
  bool IgnoresCancellation = false;
  /// The delay after which the health endpoint reports a change of faults.
  milliseconds HealthLag{0};
  /// If not 0, the faults are active and inactive in turn for this long each.
  milliseconds FlapPeriod{0};
  bool operator==(const fake_server_faults &) const = default;
};

/// Reads faults from \p Object; absent fields keep their defaults.
[[nodiscard]] fake_server_faults readServerFaults(const json::object &Object);

/// How often one piece of work was run.
struct execution_record {
  std::uint32_t Count = 0;
  bool operator==(const execution_record &) const = default;
};

/// Not thread-safe; all members run on the thread of the io_context.
class fake_server {
public:
  fake_server(asio::io_context &Context, fake_server_settings Settings);

  result<void> start();
  /// Replaces all faults.
  void setFaults(const fake_server_faults &Faults);
  /// Closes the listener and all connections at once, as a crash would. After
  /// start() the server runs again and is in its cold start.
  void stop();

  [[nodiscard]] const std::string &name() const { return Settings.Name; }
  [[nodiscard]] json::object executions() const;
  [[nodiscard]] json::object status() const;

private:
  enum class admission { Run, Full, Expired, PeerGone };

  asio::awaitable<http_response>
  serveWithId(http_request Request, std::shared_ptr<peer_connection> Peer);
  asio::awaitable<http_response> serve(http_request Request,
                                       std::shared_ptr<peer_connection> Peer);
  asio::awaitable<http_response> execute(http_request Request,
                                         std::shared_ptr<peer_connection> Peer);
  asio::awaitable<admission>
  waitForSlot(const http_request &Request,
              const std::shared_ptr<peer_connection> &Peer);
  /// Waits for \p Time. \returns false if the peer disconnected earlier and
  /// cancellation is not ignored.
  asio::awaitable<bool> simulateWork(duration Time,
                                     std::shared_ptr<peer_connection> Peer);
  asio::awaitable<void> pause(duration Time);
  /// \returns whether faults that flap are active now; see FlapPeriod.
  [[nodiscard]] bool areFaultsActive() const;
  [[nodiscard]] http_response makeHealthResponse() const;
  bool drawWithProbability(double Share);
  duration drawServiceTime();
  http_response makeRefusal(std::string_view Reason);
  /// \returns \p Response, or a faulty one with the probabilities of the
  /// faults.
  http_response injectResponseFault(http_response Response);
  void addStateHeaders(http_response &Response) const;

  asio::io_context &Context;
  fake_server_settings Settings;
  fake_server_faults Faults;
  fake_server_faults PreviousFaults;
  http_server Server;
  std::mt19937_64 Random;
  /// By work id.
  std::map<std::string, execution_record> Executions;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Requests that were run more than MaxDrainReactionTime after the start of a
  /// drain.
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

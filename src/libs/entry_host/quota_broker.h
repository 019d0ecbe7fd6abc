/// \file
/// Acquires tokens from the quotas of client accounts for the requests of this
/// host, and grants those of the accounts that are this host's duty.
///
/// The owner of an account is the first usable host ranked for the account's
/// duty. If it doesn't answer, the next one is asked, which grants a limited
/// share as a stand-in. A host that reaches none of them, or fewer than half of
/// its peers, is isolated and grants a smaller share to its own callers. Only
/// owners find a quota to be used up; other refusals are Undecidable.
#pragma once

#include "entry_host/peer_network.h"

#include "accounts/client_account.h"
#include "accounts/quota_owner.h"
#include "metrics/metrics.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

enum class quota_verdict : std::uint8_t {
  Allowed,
  /// The quota is used up.
  Refused,
  /// No owner answered, so it is unknown whether the quota is used up.
  Undecidable
};

/// Whether a request may be passed on.
struct quota_decision {
  quota_verdict Verdict = quota_verdict::Allowed;
  /// When another request may be allowed; for the other verdicts than Allowed.
  duration RetryAfter{0};
  /// Who decided: "unlimited", "owner", "stand-in", "own-share",
  /// "remembered-refusal" or "deadline".
  std::string_view DecidedBy = "unlimited";
  /// The host that decided; empty for "unlimited" and "deadline".
  std::string Host;
  bool operator==(const quota_decision &) const = default;
};

/// \returns the duty of the host that owns \p Account.
[[nodiscard]] std::string quotaDutyOf(std::string_view Account);

/// All members run on the thread of the io_context, which must outlive the
/// object, as must the other references.
class quota_broker {
public:
  quota_broker(asio::io_context &Context, const clock_source &Clock,
               peer_network &Peers, metric_registry &Metrics, std::string Self,
               quota_tolerance Tolerance);

  /// Replaces the tolerance for the decisions from now on.
  void setTolerance(const quota_tolerance &Tolerance);

  /// Replaces the accounts, which are those of the configuration with version
  /// \p ConfigVersion.
  void setAccounts(const std::vector<client_account> &Accounts,
                   std::uint64_t ConfigVersion);

  /// Waits until \p Deadline for a token for one request of \p Account, whose
  /// quota is from the configuration with version \p ConfigVersion. Without an
  /// owner, it is asked for again for a short time before the request is found
  /// Undecidable. A token
  /// that arrives later is used for another request that waits, or for none.
  asio::awaitable<quota_decision> acquire(request_account Account,
                                          std::uint64_t ConfigVersion,
                                          time_point Deadline);

  /// Handles a message about quotas. \returns false if \p Message is not one.
  bool receive(const link_pointer &Link, const envelope &Message);

  /// \returns the duties that this host owns and the levels of the largest
  /// buckets, for operators.
  [[nodiscard]] json::object dump() const;

private:
  struct waiting_request {
    waiting_request(asio::io_context &Context, time_point Since)
        : Wakeup(Context), Since(Since) {}
    asio::steady_timer Wakeup;
    time_point Since;
    std::optional<quota_decision> Decision;
    /// Whether the caller's deadline has passed, so that a token has no use.
    bool Abandoned = false;
  };
  struct pending_answer {
    explicit pending_answer(asio::io_context &Context) : Wakeup(Context) {}
    asio::steady_timer Wakeup;
    link_pointer Link;
    std::optional<quota_grant> Grant;
    quota_role Role = quota_role::Owner;
  };
  /// The requests of one account at this host.
  struct account_state {
    account_quota Quota;
    std::uint64_t ConfigVersion = 0;
    std::deque<std::shared_ptr<waiting_request>> Waiting;
    /// Whether askLoop() runs for the account.
    bool Asking = false;
    /// Since when no owner has decided, if the last decision was not an
    /// owner's.
    std::optional<time_point> WithoutOwnerSince;
    /// The last decision that was not an owner's.
    time_point LastWithoutOwner;
    /// The last refusal by an owner. Until RefusedUntil, requests are refused
    /// without asking, unless their configuration is newer than RefusedVersion.
    std::string RefusedBy;
    time_point RefusedUntil;
    std::uint64_t RefusedVersion = 0;
    /// When the last refused caller was told to come back.
    time_point LastReturn;
    /// When the owners last granted tokens, by host.
    std::map<std::string, time_point> OwnerGrants;
  };
  /// A grant with the host that decided on it.
  struct asked_grant {
    quota_grant Grant;
    quota_role Role = quota_role::Owner;
    std::string Host;
  };
  /// An account of the configuration in force.
  struct configured_account {
    account_quota Quota;
    std::string MetricLabel;
  };

  [[nodiscard]] bool isCutOff();
  [[nodiscard]] quota_role roleFor(const std::string &Duty);
  [[nodiscard]] std::vector<std::string>
  candidatesOf(const std::string &Account) const;
  [[nodiscard]] bool isRefusedUntilLater(const account_state &State,
                                         std::uint64_t ConfigVersion) const;
  [[nodiscard]] quota_decision refuseAgain(account_state &State) const;
  asio::awaitable<void> askLoop(std::string Account);
  asio::awaitable<asked_grant> ask(std::string Account, std::uint32_t Count);
  asio::awaitable<std::optional<asked_grant>> askHost(std::string Host,
                                                      token_request Request);
  [[nodiscard]] token_request makeTokenRequest(const std::string &Account,
                                               std::uint32_t Count) const;
  [[nodiscard]] std::optional<duration>
  grantedElsewhere(const account_state &State, const std::string &Host) const;
  [[nodiscard]] asked_grant decideHere(token_request Request, bool Isolated);
  [[nodiscard]] token_request withNewestQuota(token_request Request) const;
  void recordDecider(account_state &State, quota_role Role);
  [[nodiscard]] bool mayWaitForOwner(const account_state &State,
                                     const waiting_request &Waiting) const;
  void distribute(account_state &State, const asked_grant &Asked,
                  std::uint32_t Count);
  void countDecision(const std::string &Account, quota_verdict Verdict);
  void receiveRequest(const link_pointer &Link,
                      const wire::quota_request_value &Value);
  void receiveAnswer(const link_pointer &Link,
                     const wire::quota_answer_value &Value);
  void recordRunning();
  void recordOwned(const std::string &Duty, bool Owned);
  void updateRoles();
  void chooseMetricLabels(const std::vector<client_account> &Accounts);
  void startUpkeepLoop();
  asio::awaitable<void> upkeepLoop();

  asio::io_context &Context;
  const clock_source &Clock;
  peer_network &Peers;
  metric_registry &Metrics;
  std::string Self;
  quota_owner Owner;
  std::uint64_t ConfigVersion = 0;
  std::map<std::string, configured_account, std::less<>> Configured;
  std::set<std::string> Duties;
  std::map<std::string, account_state> States;
  std::map<std::uint64_t, std::shared_ptr<pending_answer>> PendingAnswers;
  /// The accounts that metrics name. Only grows, because metrics stay.
  std::set<std::string> NamedAccounts;
  std::uint64_t NextId = 1;
  time_point CutOffCheckedAt;
  bool CutOff = false;
  bool UpkeepRunning = false;
};

} // namespace coriandertray

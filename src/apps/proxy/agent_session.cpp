#include "agent_session.h"

#include "manifest/manifest_reader.h"
#include "utils/log.h"
#include "wire/conversions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration ReconnectDelay = milliseconds(200);
constexpr duration ConnectTimeout = seconds(1);

} // namespace

agent_session::agent_session(asio::io_context &Context, socket_address Agent,
                             std::string Host, std::string Zone,
                             agent_session_handlers Handlers)
    : Context(Context), Agent(std::move(Agent)), Host(std::move(Host)),
      Zone(std::move(Zone)), Handlers(std::move(Handlers)) {}

asio::awaitable<void> agent_session::run() {
  asio::steady_timer DelayTimer(Context);
  for (;;) {
    const auto Connected = co_await connectLink(Context, Agent, ConnectTimeout);
    if (Connected) {
      Link = *Connected;
      const auto ClosedSignal = std::make_shared<asio::steady_timer>(
          Context, asio::steady_timer::time_point::max());
      Link->start([this](const std::shared_ptr<frame_link> &,
                         const envelope &Message) { receive(Message); },
                  [ClosedSignal] { ClosedSignal->cancel(); });
      wire::subscribe_value Subscribe;
      Subscribe.host = Host;
      Subscribe.zone = Zone;
      Subscribe.config_version = ConfigVersion;
      envelope Message;
      Message.body = makeBody(std::move(Subscribe));
      Link->send(Message);
      logEvent(log_level::Info, "agent-connected");
      co_await ClosedSignal->async_wait(UseTuple);
      Link.reset();
      logEvent(log_level::Warning, "agent-lost");
    }
    DelayTimer.expires_after(ReconnectDelay);
    co_await DelayTimer.async_wait(UseTuple);
  }
}

void agent_session::receive(const envelope &Message) {
  if (const auto *Push = Message.body.Asconfig_push())
    receiveConfig(*Push);
  else if (const auto *Verdicts = Message.body.Asverdict_set())
    Handlers.OnVerdicts(fromWire(*Verdicts));
  else if (const auto *View = Message.body.Asfleet_view())
    Handlers.OnFleetSize(View->live_hosts);
}

void agent_session::receiveConfig(const wire::config_push_value &Push) {
  if (Push.version <= ConfigVersion)
    return;
  const std::string_view Text(
      reinterpret_cast<const char *>(Push.manifest.data()),
      Push.manifest.size());
  manifest_result Manifest = readManifest(Text);
  if (!Manifest) {
    logEvent(log_level::Error, "config-refused",
             {{"version", Push.version},
              {"pointer", Manifest.error().front().Pointer}});
    return;
  }
  ConfigVersion = Push.version;
  Handlers.OnConfig(Push.version, std::move(*Manifest));
}

void agent_session::sendEvidence(const evidence_report &Report) {
  if (!isConnected())
    return;
  envelope Message;
  Message.body = makeBody(toWire(Report));
  Link->send(Message);
}

asio::awaitable<claim_answer> agent_session::changeClaim(claim_change Change,
                                                         milliseconds Retention,
                                                         duration Timeout) {
  if (!isConnected())
    co_return claim_answer::Unavailable;
  wire::claim_request_value Request = toWire(Change, Retention);
  const std::shared_ptr<frame_link> CurrentLink = Link;
  const result<envelope> Answer =
      co_await CurrentLink->request(makeBody(std::move(Request)), Timeout);
  if (!Answer)
    co_return claim_answer::Unavailable;
  const auto *Reply = Answer->body.Asclaim_reply();
  if (!Reply)
    co_return claim_answer::Unavailable;
  co_return static_cast<claim_answer>(Reply->answer);
}

bool agent_session::isConnected() const { return Link && Link->isOpen(); }

} // namespace coriandertray

#include "agent_server.h"

#include "http/drain_probe.h"
#include "manifest/manifest_writer.h"
#include "utils/log.h"
#include "utils/query.h"
#include "wire/conversions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration DetectionInterval = milliseconds(50);
constexpr duration ProbeInterval = seconds(2);
// Lets the announcement reach peers before the process stops.
constexpr duration LeaveGracePeriod = milliseconds(300);

std::string toText(const std::vector<std::uint8_t> &Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

member_record selfRecord(const agent_settings &Settings) {
  member_record Self;
  Self.Host = Settings.Host;
  Self.Zone = Settings.Zone;
  Self.Address = toString(Settings.Listen);
  return Self;
}

std::set<std::string, std::less<>> parseNames(const versioned_entry *Entry) {
  std::set<std::string, std::less<>> Names;
  if (!Entry)
    return Names;
  const result<json::value> Value = parseJson(toText(Entry->Payload));
  if (!Value || !Value->is_array())
    return Names;
  for (const json::value &Name : Value->get_array())
    if (Name.is_string())
      Names.emplace(Name.get_string());
  return Names;
}

// Adds the evidence on one service to the report of the same host.
void mergeEvidence(evidence_report &Sum, const std::string &Service,
                   const service_evidence &Evidence) {
  for (const auto &[Name, Item] : Evidence) {
    backend_evidence &Total = Sum.Services[Service][Name];
    Total.Counts = Total.Counts + Item.Counts;
    Total.Draining = Total.Draining || Item.Draining;
  }
}

} // namespace

agent_server::agent_server(asio::io_context &Context, const clock_source &Clock,
                           agent_settings Settings)
    : Context(Context), Clock(Clock), Settings(std::move(Settings)),
      Members{selfRecord(this->Settings), {}, 0},
      Platform(Context, this->Settings.Platform, this->Settings.Host),
      Peers(
          Context, Clock, Members, Table, this->Settings.Seeds,
          [this](const versioned_entry &Entry) { handleEntry(Entry); },
          [this] { handleMembershipChange(); }),
      Watcher(Context, Members, Table, Platform,
              [this](const versioned_entry &Entry) {
                if (!Table.put(Entry))
                  return;
                handleEntry(Entry);
                Peers.disseminate(Entry);
              }),
      Detection(Clock, Members, Owners, Table,
                [this](const versioned_entry &Entry) {
                  if (!Table.put(Entry))
                    return;
                  handleEntry(Entry);
                  Peers.disseminate(Entry);
                }),
      Claims(Context, Clock, Members, Owners, Peers, Platform),
      AdminServer(
          Context, {},
          [this](http_request Request, std::shared_ptr<peer_connection>) {
            return serveAdmin(std::move(Request));
          }) {}

result<void> agent_server::start() {
  const result<void> Admin = AdminServer.listen(Settings.Admin);
  if (!Admin)
    return Admin;
  const result<void> Listening = listenForLinks(
      Context, Settings.Listen,
      [this](const std::shared_ptr<frame_link> &Link) { acceptLink(Link); });
  if (!Listening)
    return Listening;
  Owners.update(Members);
  asio::co_spawn(Context, Peers.run(), asio::detached);
  asio::co_spawn(Context, Watcher.watchConfig(), asio::detached);
  asio::co_spawn(Context, Watcher.watchHosts(), asio::detached);
  asio::co_spawn(Context, evidenceLoop(), asio::detached);
  asio::co_spawn(Context, drainProbeLoop(), asio::detached);
  return {};
}

void agent_server::acceptLink(const std::shared_ptr<frame_link> &Link) {
  Link->start(
      [this](const std::shared_ptr<frame_link> &From, envelope Message) {
        handleMessage(From, std::move(Message));
      },
      [this, Weak = std::weak_ptr<frame_link>(Link)] {
        if (const auto Closed = Weak.lock())
          Proxies.erase(Closed);
      });
}

void agent_server::handleMessage(const std::shared_ptr<frame_link> &Link,
                                 envelope Message) {
  switch (Message.body.type) {
  case wire::message::exchange:
    Peers.answer(Link, Message);
    return;
  case wire::message::indirect_ping:
    asio::co_spawn(Context, Peers.answerIndirectPing(Link, std::move(Message)),
                   asio::detached);
    return;
  case wire::message::evidence_report:
    handleEvidence(fromWire(*Message.body.Asevidence_report()));
    return;
  case wire::message::claim_request:
    asio::co_spawn(Context, answerClaim(Link, std::move(Message)),
                   asio::detached);
    return;
  case wire::message::subscribe:
    subscribeProxy(Link, *Message.body.Assubscribe());
    return;
  default:
    logEvent(log_level::Warning, "message-unexpected",
             {{"type", static_cast<int>(Message.body.type)}});
    Link->close();
  }
}

void agent_server::handleEvidence(evidence_report Report) {
  if (Report.Host != Settings.Host) {
    Detection.addReport(Report, Manifest);
    return;
  }
  for (const auto &[Service, Evidence] : Report.Services) {
    const std::string DetectorHost = detectorHostOf(Owners, Service);
    evidence_report &Sum = EvidenceByDetector[DetectorHost];
    Sum.Host = Settings.Host;
    Sum.Zone = Settings.Zone;
    mergeEvidence(Sum, Service, Evidence);
  }
}

asio::awaitable<void> agent_server::evidenceLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(DetectionInterval);
    co_await Timer.async_wait(UseTuple);
    for (const auto &[DetectorHost, Report] :
         std::exchange(EvidenceByDetector, {})) {
      if (DetectorHost == Settings.Host)
        Detection.addReport(Report, Manifest);
      else
        Peers.sendTo(DetectorHost, makeBody(toWire(Report)));
    }
    Detection.updateAllVerdicts(Manifest,
                                parseNames(Table.find(LeavingHostsKey)));
  }
}

// A draining backend server gets no requests, so only a probe can show that the
// drain has ended.
asio::awaitable<void> agent_server::drainProbeLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(ProbeInterval);
    co_await Timer.async_wait(UseTuple);
    for (const auto &[Service, Server] : Detection.drainingServers(Manifest)) {
      const std::optional<bool> Draining =
          co_await probeDraining(Context, Server.Address);
      if (Draining)
        Detection.recordProbe(Service, Server.Name, *Draining);
    }
  }
}

asio::awaitable<void>
agent_server::answerClaim(std::shared_ptr<frame_link> Link, envelope Message) {
  const auto *Request = Message.body.Asclaim_request();
  const claim_change Change = fromWire(*Request);
  const milliseconds Retention(Request->retention_ms);
  // A peer sends a claim to the host that it considers the owner.
  // Forwarding it again could loop forever while agents disagree about the
  // owner.
  const bool FromProxy = Proxies.contains(Link);
  claim_answer Answer = claim_answer::Unavailable;
  if (FromProxy)
    Answer = co_await Claims.commit(Change, Retention);
  else
    Answer = co_await Claims.commitLocally(Change, Retention);
  wire::claim_reply_value Reply;
  Reply.answer = static_cast<wire::claim_answer>(Answer);
  Link->answer(Message, makeBody(std::move(Reply)));
}

void agent_server::handleEntry(const versioned_entry &Entry) {
  if (Entry.Key.starts_with("config/")) {
    applyConfig();
    return;
  }
  if (!Entry.Key.starts_with("verdict/"))
    return;
  const auto Verdicts = unpackVerdictSet(Entry.Payload);
  if (!Verdicts) {
    logEvent(log_level::Error, "verdicts-malformed", {{"key", Entry.Key}});
    return;
  }
  Detection.recordVerdicts(fromWire(*Verdicts));
  envelope Message;
  Message.body = makeBody(*Verdicts);
  pushToProxies(Message);
}

void agent_server::applyConfig() {
  const versioned_entry *RootEntry = Table.find(ConfigRootKey);
  if (!RootEntry || RootEntry->Version <= ConfigVersion)
    return;
  const result<config_root> Root = parseConfigRoot(toText(RootEntry->Payload));
  if (!Root)
    return;
  std::map<std::string, std::string> PartsByKey;
  for (const std::string &Key : configPartKeys(*Root))
    if (const versioned_entry *Entry = Table.find(Key))
      PartsByKey.emplace(Key, toText(Entry->Payload));
  result<manifest> Joined = joinManifest(*Root, PartsByKey);
  if (!Joined) {
    // ObjectMissing means that some parts have not been received yet.
    if (Joined.error().Code != error_code::ObjectMissing)
      logEvent(
          log_level::Error, "config-refused",
          {{"version", Root->Version}, {"detail", toString(Joined.error())}});
    return;
  }
  Manifest = std::move(*Joined);
  ManifestText = json::serialize(toJson(Manifest));
  ConfigVersion = RootEntry->Version;
  eraseOutdatedParts(*Root);
  logEvent(log_level::Info, "config-in-force",
           {{"version", ConfigVersion}, {"author", Root->Author}});
  for (const std::shared_ptr<frame_link> &Proxy : Proxies)
    pushConfig(*Proxy);
}

void agent_server::eraseOutdatedParts(const config_root &Root) {
  const std::vector<std::string> Current = configPartKeys(Root);
  for (const entry_version &Entry : Table.versions()) {
    const bool IsPart = Entry.Key.starts_with(ConfigPartPrefix);
    const bool IsCurrent =
        std::ranges::find(Current, Entry.Key) != Current.end();
    if (IsPart && !IsCurrent)
      Table.erase(Entry.Key);
  }
}

void agent_server::subscribeProxy(const std::shared_ptr<frame_link> &Link,
                                  const wire::subscribe_value &Subscribe) {
  logEvent(log_level::Info, "proxy-connected",
           {{"config_version", Subscribe.config_version}});
  Proxies.insert(Link);
  pushConfig(*Link);
  wire::fleet_view_value View;
  View.live_hosts = LiveHostCount;
  envelope Message;
  Message.body = makeBody(std::move(View));
  Link->send(Message);
  for (const service &Service : Manifest.Services) {
    const versioned_entry *Entry = Table.find(verdictKey(Service.Name));
    const auto Verdicts = Entry ? unpackVerdictSet(Entry->Payload)
                                : fail(error_code::ObjectMissing, "");
    if (!Verdicts)
      continue;
    envelope Push;
    Push.body = makeBody(*Verdicts);
    Link->send(Push);
  }
}

void agent_server::pushToProxies(const envelope &Message) {
  for (const std::shared_ptr<frame_link> &Proxy : Proxies)
    Proxy->send(Message);
}

void agent_server::pushConfig(frame_link &Link) const {
  if (ConfigVersion == 0)
    return;
  wire::config_push_value Push;
  Push.version = ConfigVersion;
  Push.manifest.assign(ManifestText.begin(), ManifestText.end());
  envelope Message;
  Message.body = makeBody(std::move(Push));
  Link.send(Message);
}

void agent_server::handleMembershipChange() {
  Owners.update(Members);
  const auto Live = static_cast<std::uint32_t>(liveHosts(Members).size());
  if (Live == LiveHostCount)
    return;
  LiveHostCount = Live;
  logEvent(log_level::Info, "fleet-size", {{"live_hosts", Live}});
  wire::fleet_view_value View;
  View.live_hosts = Live;
  envelope Message;
  Message.body = makeBody(std::move(View));
  pushToProxies(Message);
}

void agent_server::leave() {
  if (std::exchange(Leaving, true))
    return;
  logEvent(log_level::Info, "leaving");
  leaveFleet(Members);
  Peers.announceLeave();
  asio::co_spawn(Context, stopAfterGracePeriod(), asio::detached);
}

asio::awaitable<void> agent_server::stopAfterGracePeriod() {
  asio::steady_timer Timer(Context, LeaveGracePeriod);
  co_await Timer.async_wait(UseTuple);
  Context.stop();
}

asio::awaitable<http_response> agent_server::serveAdmin(http_request Request) {
  const parsed_target Target = parseTarget(Request.Target);
  if (Target.Path == "/live")
    co_return jsonResponse(200, "{}");
  if (Target.Path == "/ready")
    co_return jsonResponse(ConfigVersion > 0 && !Leaving ? 200 : 503, "{}");
  if (Target.Path == "/dump")
    co_return jsonResponse(200, toPrettyJson(dump()));
  if (Target.Path == "/explain") {
    const auto Service = Target.Query.find("service");
    const std::string Name =
        Service == Target.Query.end() ? "" : Service->second;
    co_return jsonResponse(200, json::serialize(explain(Name)));
  }
  if (Target.Path == "/metrics") {
    Metrics.set("coriandertray_live_hosts", "", LiveHostCount);
    Metrics.set("coriandertray_config_version", "",
                static_cast<double>(ConfigVersion));
    Metrics.set("coriandertray_peer_bytes_sent", "",
                static_cast<double>(Peers.bytesSent()));
    Metrics.set("coriandertray_claim_commits", "",
                static_cast<double>(Claims.commits()));
    Metrics.set("coriandertray_claim_changes", "",
                static_cast<double>(Claims.changes()));
    http_response Response;
    Response.Headers = {
        {std::string(header::ContentType), "text/plain; version=0.0.4"}};
    Response.Body = Metrics.write();
    co_return Response;
  }
  if (Target.Path == "/leave" && Request.Method == "POST") {
    const auto Given = findHeader(Request.Headers, header::Authorization);
    if (!Given || *Given != "Bearer " + Settings.AdminToken)
      co_return jsonResponse(401, R"({"error":"unauthorized"})");
    leave();
    co_return jsonResponse(200, "{}");
  }
  co_return jsonResponse(404, R"({"error":"unknown-path"})");
}

} // namespace coriandertray

#include "handover/query_handover.h"

#include <utility>
#include <vector>

namespace jujubecove {
namespace {

constexpr char kLoadPath[] = "/v1/query-load";
constexpr Duration kLoadTimeout = std::chrono::milliseconds(300);
constexpr int kConnectionsPerPeer = 8;
constexpr int kStatusOk = 200;

SearcherEntry ToPeer(const DaemonEntry& daemon) {
  SearcherEntry peer;
  peer.id = InstanceId(daemon.vm.value() + "." +
                       std::to_string(daemon.incarnation.value()));
  peer.address = *daemon.query_address;
  peer.zone = daemon.zone;
  return peer;
}

}  // namespace

QueryHandover::QueryHandover(boost::asio::io_context& context,
                             TimerService& timers,
                             Dispatcher& dispatcher,
                             FleetDirectory& fleet,
                             PeerServer& peer_server,
                             PeerClient& peer_client,
                             DecisionLog& log,
                             MetricsRegistry& registry,
                             HandoverOptions options)
    : timers_(timers),
      dispatcher_(dispatcher),
      fleet_(fleet),
      peer_server_(peer_server),
      peer_client_(peer_client),
      log_(log),
      options_(std::move(options)),
      metrics_(registry),
      runs_(timers, dispatcher),
      policy_(options_.vm, options_.cpu_share, options_.seed),
      transport_(context, timers, protocol_, options_.max_reply_memory),
      context_{timers_,
               transport_,
               runs_,
               policy_,
               log_,
               metrics_,
               [this](const SearcherEntry& peer) { ResetConnections(peer); }},
      server_(context,
              timers,
              runs_,
              log_,
              metrics_,
              options_.max_connections) {}

Result<void> QueryHandover::Start() {
  if (!enabled())
    return boost::outcome_v2::success();
  peer_server_.Handle(
      kLoadPath, [this](const PeerRequest&, const PeerServer::Done& done) {
        LoadReport report;
        if (runs_.table())
          report.version = runs_.table()->version();
        report.draining = draining_;
        report.route_times = runs_.times().Higher(timers_.Now());
        done({kStatusOk, EncodeLoadReport(report)});
      });
  fleet_.Subscribe([this] { OnFleetChange(); });
  OnFleetChange();
  return server_.Listen(options_.listen);
}

void QueryHandover::OnFleetChange() {
  std::map<VmId, SearcherEntry> peers;
  std::vector<HandoverPeer> infos;
  for (const auto& [vm, daemon] : fleet_.daemons()) {
    if (vm == options_.vm || daemon.zone != options_.zone ||
        !daemon.query_address || !daemon.peer_address)
      continue;
    peers.emplace(vm, ToPeer(daemon));
    infos.push_back({vm, daemon.incarnation, daemon.cpu_share});
  }
  for (const auto& [vm, peer] : peers_) {
    auto it = peers.find(vm);
    if (it == peers.end() || it->second.id != peer.id)
      transport_.Retire(peer.id);
  }
  peers_ = std::move(peers);
  policy_.SetPeers(infos);
}

std::shared_ptr<PendingRequest> QueryHandover::Submit(
    ForwardedRequestPtr request,
    AnswerHandler done) {
  if (!enabled())
    return dispatcher_.Submit(std::move(request), std::move(done));
  const Route* route = runs_.FindScatterRoute(*request);
  // The body of an answer to HEAD is not sent, so it could not be handed back.
  if (route == nullptr || draining_ || request->method == "HEAD")
    return runs_.Submit(std::move(request), std::move(done));
  HandoverQuery query{route->name, route->target_latency,
                      runs_.table()->version(),
                      runs_.times().Lower(timers_.Now())};
  AskPeers(query);
  std::optional<HandoverChoice> choice = policy_.Choose(query, timers_.Now());
  if (!choice)
    return runs_.Submit(std::move(request), std::move(done));
  const SearcherEntry& peer = peers_.at(choice->vm);
  transport_.SetConnectionLimit(peer, kConnectionsPerPeer);
  auto handed_over = std::make_shared<HandedOverQuery>(
      context_, std::move(request), std::move(query), std::move(*choice), peer,
      std::move(done));
  handed_over->Begin(AttemptId(++last_attempt_));
  return handed_over;
}

void QueryHandover::AskPeers(const HandoverQuery& query) {
  for (const VmId& it : policy_.TakePeersToAsk(query, timers_.Now()))
    AskPeer(it);
}

void QueryHandover::AskPeer(const VmId& vm) {
  const DaemonEntry* daemon = fleet_.Find(vm);
  if (daemon == nullptr || !daemon->peer_address)
    return;
  TimePoint asked_at = timers_.Now();
  peer_client_.Call(*daemon->peer_address, "GET", kLoadPath, "", kLoadTimeout,
                    [this, vm, asked_at](HttpExchange exchange) {
                      TimePoint now = timers_.Now();
                      std::optional<LoadReport> report;
                      if (exchange.reply && exchange.reply->status == kStatusOk)
                        report = DecodeLoadReport(exchange.reply->body);
                      metrics_.CountReport(report.has_value());
                      if (report) {
                        policy_.OnReport(vm, *report, now - asked_at, now);
                        return;
                      }
                      policy_.OnFailure(vm, now);
                      DecisionLine(log_, LogCategory::kMembership,
                                   DecisionPriority::kNotable,
                                   "peer_load_unknown", now)
                          .Add("peer", vm.value())
                          .Add("reason", exchange.failure);
                    });
}

void QueryHandover::ResetConnections(const SearcherEntry& peer) {
  transport_.Retire(peer.id);
}

void QueryHandover::BeginDrain() {
  draining_ = true;
  server_.BeginDrain();
}

}  // namespace jujubecove

#include "daemon/control_side.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "base/random.h"
#include "frontend/error_body.h"
#include "telemetry/log.h"

namespace jujubecove {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kRingTasks = 4'096;
// Shares grow by the passing of time, and tasks that found the ring full are
// tried again.
constexpr Duration kShareInterval = std::chrono::milliseconds(100);

tcp::endpoint EndpointOf(const SocketAddress& address) {
  return tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port);
}

Duration LongestDeadline(const Document& document) {
  Duration longest{0};
  for (const auto& [name, kind] : document.kinds)
    longest = std::max(longest, kind.deadline);
  return longest;
}

wire::Member SelfOf(const DaemonConfig& config, IncarnationId incarnation) {
  wire::Member self;
  self.incarnation = static_cast<std::int64_t>(incarnation.value());
  self.id = config.vm.value();
  self.address = config.listen_peers.ToString();
  self.zone = config.zone.value();
  self.sequence = 1;
  self.state = wire::MemberState::LIVE;
  return self;
}

}  // namespace

ControlSide::ControlSide(DutyThread& thread,
                         DutyThread& query_thread,
                         QuerySide& query,
                         PeerForwarder& forwarder,
                         const DaemonConfig& config,
                         IncarnationId incarnation,
                         MetricsRegistry& metrics)
    : thread_(thread),
      query_(query),
      forwarder_(forwarder),
      config_(config),
      store_(thread.context(),
             HttpStoreOptions{.endpoint = EndpointOf(config.platform)}),
      peers_(thread.context(), thread.timers(), PeerClientOptions()),
      membership_(thread.timers(),
                  peers_,
                  SelfOf(config, incarnation),
                  SystemSeed()),
      peer_server_(
          thread.context(),
          PeerServerOptions{.endpoint = EndpointOf(config.listen_peers)},
          *this),
      shares_(thread.timers(), config.vm),
      share_exchange_(thread.timers(), membership_, shares_),
      to_query_(MakeTaskRing(query_thread.context(), kRingTasks)),
      from_query_(MakeTaskRing(thread.context(), kRingTasks)),
      list_failures_(metrics.AddCounter("jujubecove_vm_list_failures_total",
                                        "Fetches of the VM list that failed.")),
      live_daemons_(metrics.AddGauge("jujubecove_daemons_live",
                                     "Entry daemons taken for live, this one "
                                     "included.")),
      platform_reachable_(
          metrics.AddGauge("jujubecove_platform_reachable",
                           "1 when the last fetch of the VM list worked.")) {
  forwarder_.SetTransport(peers_);
  membership_.SetChangeHandler([this] { OnMembers(); });
  membership_.SetExtension(&share_exchange_);
}

ControlSide::~ControlSide() = default;

void ControlSide::Start(ShareHandler handler,
                        std::shared_ptr<const Document> document) {
  share_handler_ = std::move(handler);
  document_ = std::move(document);
  document_due_ = document_ != nullptr;
  if (!document_)
    StartConfig();
  membership_.Start();
  OnMembers();
  PollVmList();
  ApplyShares();
}

void ControlSide::StartConfig() {
  config_agent_ = std::make_unique<ConfigAgent>(
      thread_.timers(), store_, peers_, membership_, SystemSeed());
  config_agent_->SetActivationHandler(
      [this](std::shared_ptr<const Document> document) {
        document_ = std::move(document);
        document_due_ = true;
        PushToQuery();
      });
  share_exchange_.SetNext(config_agent_.get());
  config_agent_->Start();
}

void ControlSide::PollVmList() {
  store_.Fetch(list_revision_, [this](VmListReply reply) {
    OnVmList(std::move(reply));
    thread_.timers().ScheduleAfter(config_.platform_poll,
                                   [this] { PollVmList(); });
  });
}

void ControlSide::OnVmList(VmListReply reply) {
  bool reachable = reply.status == StoreStatus::kDone ||
                   reply.status == StoreStatus::kNotFound;
  if (!reachable) {
    // The last list is kept: direct evidence corrects it.
    if (platform_reachable_.value() > 0 || list_failures_.value() == 0)
      JJ_LOG(kMembership, WARNING) << "the VM list can't be fetched";
    list_failures_.Add();
  }
  platform_reachable_.Set(reachable ? 1 : 0);
  if (reply.status != StoreStatus::kDone)
    return;
  list_revision_ = reply.revision;
  std::vector<ListedMember> entries;
  std::set<ZoneName> zones;
  searchers_.clear();
  for (const VmRecord& vm : reply.vms) {
    zones.insert(vm.zone);
    if (vm.role == VmRole::kEntry)
      entries.push_back(ListedMember{vm.id, vm.address, vm.zone, vm.leaving});
    else
      searchers_.push_back(SearcherVm{vm.id, vm.zone, SearcherId(vm.address),
                                      vm.service, vm.leaving});
  }
  zones_.assign(zones.begin(), zones.end());
  membership_.SetListed(std::move(entries));
  vms_due_ = true;
  OnMembers();
}

void ControlSide::OnMembers() {
  std::vector<EntryDaemon> daemons;
  std::set<std::string> addresses;
  for (const wire::Member& member : membership_.live()) {
    daemons.push_back(EntryDaemon{VmId(member.id), zones_});
    addresses.insert(member.address);
  }
  bool has_self = std::any_of(
      daemons.begin(), daemons.end(),
      [this](const EntryDaemon& daemon) { return daemon.id == config_.vm; });
  if (!has_self)
    daemons.push_back(EntryDaemon{config_.vm, zones_});
  shares_.SetDaemons(daemons);
  share_exchange_.SetZones(zones_);
  share_exchange_.OnDaemons(daemons);
  forwarder_.SetKnownAddresses(std::move(addresses));
  live_daemons_.Set(static_cast<double>(daemons.size()));
  if (config_agent_)
    config_agent_->OnMembersChanged();
  PushToQuery();
}

void ControlSide::PushToQuery() {
  if (document_due_ && to_query_->TryPush([query = &query_, doc = document_] {
        query->SetDocument(doc);
      }))
    document_due_ = false;
  if (vms_due_ && to_query_->TryPush([query = &query_, vms = searchers_] {
        query->ApplyVmList(vms);
      }))
    vms_due_ = false;
  std::size_t live = static_cast<std::size_t>(live_daemons_.value());
  if (live != live_told_ && to_query_->TryPush([query = &query_, live] {
        query->SetLiveDaemons(live);
      }))
    live_told_ = live;
}

void ControlSide::PushConfigState() {
  if (!config_agent_)
    return;
  std::string reason =
      config_agent_->ready() ? "" : config_agent_->NotReadyReason();
  if (reason != config_reason_told_ &&
      to_query_->TryPush(
          [query = &query_, reason] { query->SetConfigReason(reason); }))
    config_reason_told_ = std::move(reason);
}

// A searcher that leaves gets no share: its connections close once the
// requests on them have ended.
void ControlSide::ApplyShares() {
  share_exchange_.Step();
  std::map<SearcherId, std::size_t> shares;
  if (document_) {
    share_exchange_.SetLongestRequest(LongestDeadline(*document_));
    for (const SearcherVm& vm : searchers_) {
      auto service = document_->services.find(vm.service);
      if (service == document_->services.end() || vm.leaving)
        continue;
      shares[vm.searcher] =
          shares_.ShareOf(vm.zone, service->second.connections);
    }
  }
  for (const auto& [searcher, share] : given_shares_) {
    if (shares.count(searcher) == 0)
      share_handler_(searcher, 0);
  }
  for (const auto& [searcher, share] : shares) {
    auto given = given_shares_.find(searcher);
    if (given == given_shares_.end() || given->second != share)
      share_handler_(searcher, share);
  }
  given_shares_ = std::move(shares);
  PushToQuery();
  PushConfigState();
  thread_.timers().ScheduleAfter(kShareInterval, [this] { ApplyShares(); });
}

wire::ExchangeMessage ControlSide::OnExchange(
    const wire::ExchangeMessage& message) {
  wire::ExchangeMessage reply = membership_.OnExchange(message);
  share_exchange_.Answer(message, reply);
  return reply;
}

wire::DocumentReply ControlSide::OnFetchDelta(ConfigVersion from,
                                              ConfigVersion to) {
  return config_agent_ ? config_agent_->OnFetchDelta(from, to)
                       : wire::DocumentReply();
}

wire::DocumentReply ControlSide::OnFetchDocument(ConfigVersion version) {
  return config_agent_ ? config_agent_->OnFetchDocument(version)
                       : wire::DocumentReply();
}

void ControlSide::OnExecute(const wire::ForwardRequest& request,
                            ForwardResponder respond) {
  QueryServiceImpl::AnswerHandler handler = [this,
                                             respond](RenderedAnswer answer) {
    wire::ForwardReply reply;
    reply.status = answer.http_status;
    reply.body = std::move(answer.body);
    // Without an answer the other daemon states "outcome unknown" at its
    // deadline.
    if (!from_query_->TryPush([respond, reply] { respond(reply); }))
      JJ_LOG(kPeer, WARNING) << "an answer to a peer found a full ring";
  };
  bool pushed = to_query_->TryPush(
      [query = &query_, forwarded = FromForwardRequest(request), handler] {
        query->service().ExecuteForwarded(forwarded, handler);
      });
  if (pushed)
    return;
  RenderedAnswer answer = RenderError(
      ErrorKind::kOutcomeUnknown, Execution::kUnknown,
      "the owner of the ticket is overloaded; repeat with the same ticket");
  wire::ForwardReply reply;
  reply.status = answer.http_status;
  reply.body = std::move(answer.body);
  respond(reply);
}

}  // namespace jujubecove

#include "tests/standin/config_fleet.h"

#include <utility>

#include "document/document_text.h"

namespace jujubecove {
namespace {

// Call time-out that the daemons and the tool use towards the store.
constexpr Duration kStoreTimeout(500'000);

}  // namespace

ConfigNode::ConfigNode(TimerService& shared,
                       FakePeerNetwork& network,
                       StoreModel& model,
                       const wire::Member& self,
                       std::uint64_t seed)
    : network_(network),
      self_(self),
      timers_(shared),
      store_(timers_, model),
      transport_(network, timers_, self.address, self.zone),
      membership_(timers_, transport_, self, seed),
      agent_(timers_, store_, transport_, membership_, seed + 1) {
  store_.SetCallTimeout(kStoreTimeout);
  membership_.SetExtension(&agent_);
  membership_.SetChangeHandler([this] { agent_.OnMembersChanged(); });
  agent_.SetActivationHandler([this](std::shared_ptr<const Document> document) {
    activations_.push_back(document->version);
  });
  network_.Add(self.address, self.zone, timers_, *this);
}

ConfigNode::~ConfigNode() {
  network_.Remove(self_.address);
}

wire::ExchangeMessage ConfigNode::OnExchange(
    const wire::ExchangeMessage& message) {
  return membership_.OnExchange(message);
}

wire::DocumentReply ConfigNode::OnFetchDelta(ConfigVersion from,
                                             ConfigVersion to) {
  return agent_.OnFetchDelta(from, to);
}

wire::DocumentReply ConfigNode::OnFetchDocument(ConfigVersion version) {
  return agent_.OnFetchDocument(version);
}

void ConfigNode::OnExecute(const wire::ForwardRequest&, ForwardResponder) {}

ConfigFleet::ConfigFleet(std::uint64_t seed,
                         std::size_t zones,
                         std::size_t daemons)
    : model_(seed), network_(seed + 1), random_(seed + 2), isolated_(zones) {
  // A fake clock that starts at zero would make every time-stamp look unset.
  timers_.AdvanceBy(Duration(1'000'000));
  for (std::size_t zone = 0; zone < zones; ++zone)
    zones_.push_back("zone" + std::to_string(zone));
  for (std::size_t slot = 0; slot < daemons; ++slot) {
    std::string address = "10.0." + std::to_string(slot / 250) + "." +
                          std::to_string(slot % 250 + 1) + ":7000";
    listed_.push_back(ListedMember{VmId("vm" + std::to_string(slot)), address,
                                   ZoneName(zones_[slot % zones])});
  }
  nodes_.resize(daemons);
  for (std::size_t slot = 0; slot < daemons; ++slot)
    Replace(slot);
}

void ConfigFleet::Replace(std::size_t slot) {
  nodes_[slot].reset();
  wire::Member self;
  self.incarnation = ++last_incarnation_;
  self.id = listed_[slot].id.value();
  self.address = listed_[slot].address;
  self.zone = listed_[slot].zone.value();
  nodes_[slot] =
      std::make_unique<ConfigNode>(timers_, network_, model_, self, random_());
  ConfigNode& node = *nodes_[slot];
  node.store().SetReachable(!isolated_[slot % zones_.size()]);
  node.membership().SetListed(listed_);
  node.membership().Start();
  node.agent().Start();
}

void ConfigFleet::SetIsolated(std::size_t zone, bool isolated) {
  isolated_[zone] = isolated;
  network_.SetIsolated(zones_[zone], isolated);
  for (std::unique_ptr<ConfigNode>& node : nodes_) {
    if (node->zone() == zones_[zone])
      node->store().SetReachable(!isolated);
  }
}

bool ConfigFleet::RunUntil(const std::function<bool()>& done, Duration limit) {
  constexpr Duration kStep(1'000);
  TimePoint end = timers_.Now() + limit;
  while (!done()) {
    if (timers_.Now() >= end)
      return false;
    timers_.AdvanceBy(kStep);
  }
  return true;
}

bool ConfigFleet::AllAt(ConfigVersion version) {
  for (std::unique_ptr<ConfigNode>& node : nodes_) {
    if (node->agent().active_version() < version)
      return false;
  }
  return true;
}

ConfigFleet::Operator::Operator(ConfigFleet& fleet)
    : timers(fleet.timers()),
      store(timers, fleet.model()),
      activator(timers, store, fleet.zones()) {
  store.SetCallTimeout(kStoreTimeout);
}

void ConfigFleet::Operator::Apply(const std::string& text) {
  ApplyRequest request;
  request.text = text;
  activator.Apply(std::move(request), [this](const ApplyReport& report) {
    reports.push_back(report);
  });
}

ApplyReport ConfigFleet::Apply(const std::string& text) {
  Operator tool(*this);
  tool.Apply(text);
  constexpr Duration kLimit(300'000'000);
  RunUntil([&tool] { return !tool.reports.empty(); }, kLimit);
  return tool.reports.empty() ? ApplyReport() : tool.reports[0];
}

std::string SampleDocument(std::size_t kinds, int deadline_ms) {
  Document document;
  ServiceSpec service;
  service.name = ServiceName("buyers");
  service.shards = 15;
  service.replicas = 3;
  document.services.emplace(service.name, service);
  for (std::size_t n = 0; n < kinds; ++n) {
    KindSpec kind;
    kind.name = KindName("kind-" + std::to_string(n));
    kind.service = service.name;
    if (n == kinds / 2)
      kind.deadline = Duration(deadline_ms * 1'000LL);
    document.kinds.emplace(kind.name, kind);
  }
  return CanonicalText(document);
}

}  // namespace jujubecove

#include "handover/handover_policy.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A VM whose runs take less than this share of the target needs no help.
constexpr double kFastShare = 0.25;
// A query is handed over if that saves more than this share of the target, and
// always from twice that on. In between, chance decides, so that the VMs do not
// all turn to the same peer at the same moment.
constexpr double kMinGainShare = 0.05;
// A peer also has to take less than this share of the time here, because
// averages over few queries differ by chance.
constexpr double kMaxTimeShare = 0.85;
// A VM whose processor has this multiple of the share of this one's counts as
// larger. It also gets this share of the queries if it is slower, up to this
// multiple of the time here.
constexpr double kLargerFactor = 2.0;
constexpr double kTrialShare = 0.15;
constexpr double kMaxTrialTime = 1.5;
// Share of the queries that this VM runs in spite of a better peer, so that its
// own times stay known.
constexpr double kOwnShare = 0.04;
// Largest random part of a peer's time when peers are compared.
constexpr double kChoiceJitter = 0.25;
// The number of peers that are asked for their load, without and with those
// that fail.
constexpr std::size_t kCandidates = 4;
constexpr std::size_t kMaxCandidates = 8;
// A report is not used for longer than this.
constexpr Duration kReportLifetime = seconds(15);
// Intervals between reports: of a peer in use or worth it, of another one, and
// of one whose configuration differs for the moment.
constexpr Duration kAskInterval = seconds(5);
constexpr Duration kSlowAskInterval = seconds(20);
constexpr Duration kVersionAskInterval = milliseconds(500);
// The same of a peer that has no times yet.
constexpr Duration kEarlyAskInterval = seconds(1);
// Peers that are not better than this VM are replaced by others for each such
// period.
constexpr Duration kRotation = seconds(60);
constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15;
// A peer that takes this multiple of its usual time is taken for gone.
constexpr int kPatience = 4;
constexpr double kHopWeight = 0.2;
constexpr Duration kBusyTime = milliseconds(500);
constexpr Duration kSuspectTime = seconds(2);
constexpr int kMaxDoublings = 4;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// The time of a route; without a measure, the shortest or longest one of
// another route.
std::optional<Duration> TimeOf(const std::map<std::string, Duration>& times,
                               const std::string& route,
                               bool shortest) {
  auto it = times.find(route);
  if (it != times.end())
    return it->second;
  std::optional<Duration> other;
  for (const auto& [name, time] : times) {
    if (!other || (time < *other) == shortest)
      other = time;
  }
  return other;
}

}  // namespace

HandoverPolicy::HandoverPolicy(VmId self, double cpu_share, std::uint64_t seed)
    : self_(std::move(self)), cpu_share_(cpu_share), random_(seed) {}

bool HandoverPolicy::IsLarger(const Peer& peer) const {
  return cpu_share_ > 0.0 && peer.info.cpu_share >= kLargerFactor * cpu_share_;
}

bool HandoverPolicy::IsWorthwhile(const Peer& peer,
                                  Duration there,
                                  Duration here,
                                  Duration target) {
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  if (IsLarger(peer)) {
    return there < here || (there < Scale(here, kMaxTrialTime) &&
                            chance(random_) < kTrialShare);
  }
  if (there > Scale(here, kMaxTimeShare))
    return false;
  double gain = ToMilliseconds(here - there) /
                ToMilliseconds(Scale(target, kMinGainShare));
  return gain - 1.0 > chance(random_);
}

void HandoverPolicy::SetPeers(const std::vector<HandoverPeer>& peers) {
  std::map<VmId, Peer> kept;
  for (const HandoverPeer& it : peers) {
    if (it.vm == self_)
      continue;
    auto node = peers_.extract(it.vm);
    if (!node.empty() && node.mapped().info.incarnation == it.incarnation)
      kept.insert(std::move(node));
    else
      kept.emplace(it.vm, Peer{.info = it,
                               .hash = std::hash<std::string>{}(
                                   self_.value() + "/" + it.vm.value())});
  }
  peers_ = std::move(kept);
}

HandoverPolicy::Peer* HandoverPolicy::Find(const VmId& vm) {
  auto it = peers_.find(vm);
  return it == peers_.end() ? nullptr : &it->second;
}

bool HandoverPolicy::IsUsable(const Peer& peer,
                              const HandoverQuery& query,
                              TimePoint now) {
  return peer.report && !peer.report->draining && now >= peer.blocked_until &&
         peer.report->version == query.version &&
         now - peer.reported_at <= kReportLifetime;
}

std::optional<Duration> HandoverPolicy::Expected(const Peer& peer,
                                                 const HandoverQuery& query,
                                                 TimePoint now) {
  if (!IsUsable(peer, query, now))
    return std::nullopt;
  std::optional<Duration> run =
      TimeOf(peer.report->route_times, query.route, false);
  if (!run)
    return std::nullopt;
  return *run + Duration(static_cast<Duration::rep>(peer.hop_us));
}

// Peers that are better than this VM come first, then those that are likely to
// be by their size, then others by turns. Those that fail do not take the place
// of others, but are still asked, because they may be back.
std::vector<HandoverPolicy::Peer*> HandoverPolicy::Candidates(
    const HandoverQuery& query,
    TimePoint now) {
  auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / kRotation);
  std::optional<Duration> here = TimeOf(query.own_times, query.route, true);
  std::vector<std::tuple<bool, double, std::uint64_t, Peer*>> order;
  for (auto& [vm, it] : peers_) {
    std::optional<Duration> there = Expected(it, query, now);
    bool is_better = here && there && *there < Scale(*here, kMaxTimeShare);
    std::uint64_t rank = (it.hash ^ turn) * kHashMultiplier;
    order.emplace_back(!is_better, -it.info.cpu_share, rank, &it);
  }
  std::sort(order.begin(), order.end());
  std::vector<Peer*> candidates;
  std::size_t working = 0;
  for (const auto& [worse, share, rank, it] : order) {
    if (working == kCandidates || candidates.size() == kMaxCandidates)
      break;
    working += it->failures == 0 ? 1 : 0;
    candidates.push_back(it);
  }
  return candidates;
}

Duration HandoverPolicy::AskInterval(const Peer& peer,
                                     const HandoverQuery& query,
                                     TimePoint now) const {
  if (!peer.report)
    return kAskInterval;
  if (peer.report->version != query.version)
    return kVersionAskInterval;
  if (peer.report->route_times.empty())
    return kEarlyAskInterval;
  std::optional<Duration> here = TimeOf(query.own_times, query.route, true);
  std::optional<Duration> there = Expected(peer, query, now);
  bool is_slower =
      !IsLarger(peer) && here && there && *there > Scale(*here, kMaxTimeShare);
  return is_slower ? kSlowAskInterval : kAskInterval;
}

std::vector<VmId> HandoverPolicy::TakePeersToAsk(const HandoverQuery& query,
                                                 TimePoint now) {
  std::vector<VmId> asked;
  std::optional<Duration> here = TimeOf(query.own_times, query.route, true);
  if (!here || *here < Scale(query.target, kFastShare))
    return asked;
  for (Peer* it : Candidates(query, now)) {
    TimePoint known_at = std::max(it->asked_at, it->reported_at);
    bool is_due = known_at == TimePoint{} ||
                  now - known_at >= AskInterval(*it, query, now) ||
                  (!it->report && it->asked_at < it->blocked_until);
    if (!is_due || now < it->blocked_until)
      continue;
    it->asked_at = now;
    asked.push_back(it->info.vm);
  }
  return asked;
}

std::optional<HandoverChoice> HandoverPolicy::Choose(const HandoverQuery& query,
                                                     TimePoint now) {
  std::optional<Duration> here = TimeOf(query.own_times, query.route, true);
  if (!here || *here < Scale(query.target, kFastShare))
    return std::nullopt;
  std::uniform_real_distribution<double> jitter(1.0, 1.0 + kChoiceJitter);
  std::optional<HandoverChoice> best;
  Duration best_score = Duration::max();
  for (Peer* it : Candidates(query, now)) {
    std::optional<Duration> there = Expected(*it, query, now);
    // A larger VM without callers of its own has run nothing yet.
    if (!there && IsUsable(*it, query, now) && IsLarger(*it))
      there = *here;
    if (!there || !IsWorthwhile(*it, *there, *here, query.target))
      continue;
    Duration score = Scale(*there, jitter(random_));
    if (score < best_score) {
      best_score = score;
      best = HandoverChoice{it->info.vm, *there, *here,
                            Duration(static_cast<Duration::rep>(it->hop_us))};
    }
  }
  std::bernoulli_distribution runs_here(kOwnShare);
  if (runs_here(random_))
    return std::nullopt;
  return best;
}

void HandoverPolicy::Update(Peer& peer,
                            const LoadReport& report,
                            TimePoint now) {
  if (!peer.report)
    peer.report.emplace();
  peer.report->version = report.version;
  peer.report->draining = report.draining;
  for (const auto& [route, time] : report.route_times)
    peer.report->route_times[route] = time;
  peer.reported_at = now;
}

void HandoverPolicy::ObserveHop(Peer& peer, Duration hop) {
  double us = static_cast<double>(std::max(hop, Duration(0)).count());
  peer.hop_us =
      peer.hop_us == 0.0 ? us : peer.hop_us + kHopWeight * (us - peer.hop_us);
}

void HandoverPolicy::OnReport(const VmId& peer,
                              const LoadReport& report,
                              Duration round_trip,
                              TimePoint now) {
  Peer* it = Find(peer);
  if (it == nullptr)
    return;
  // An earlier failure may have been overtaken by this report.
  if (now < it->blocked_until)
    return;
  ObserveHop(*it, round_trip);
  Update(*it, report, now);
}

void HandoverPolicy::OnAnswer(const VmId& peer,
                              const LoadReport& report,
                              Duration took,
                              Duration ran,
                              TimePoint now) {
  Peer* it = Find(peer);
  if (it == nullptr)
    return;
  it->failures = 0;
  it->refusals = 0;
  ObserveHop(*it, took - ran);
  Update(*it, report, now);
}

void HandoverPolicy::OnRefusal(const VmId& peer,
                               const LoadReport& report,
                               TimePoint now) {
  Peer* it = Find(peer);
  if (it == nullptr)
    return;
  int doublings = std::min(it->refusals++, kMaxDoublings);
  it->blocked_until =
      std::max(it->blocked_until, now + kBusyTime * (1 << doublings));
  Update(*it, report, now);
}

// Failures of concurrent queries have one cause and count once.
void HandoverPolicy::OnFailure(const VmId& peer, TimePoint now) {
  Peer* it = Find(peer);
  if (it == nullptr || (now < it->blocked_until && !it->report))
    return;
  int doublings = std::min(it->failures++, kMaxDoublings);
  it->blocked_until = now + kSuspectTime * (1 << doublings);
  it->report.reset();
}

TimePoint HandoverPolicy::GiveUpTime(const HandoverQuery& query,
                                     const HandoverChoice& choice,
                                     TimePoint received,
                                     TimePoint now) {
  Duration usual = std::min(choice.there * kPatience, query.target * 2);
  return std::max(received + query.target * 3 / 2, now + usual);
}

}  // namespace jujubecove

#include "egress/http_searcher_transport.h"

#include <utility>

namespace jujubecove {
namespace {

constexpr Duration kStaleCheckInterval = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);

}  // namespace

HttpSearcherTransport::HttpSearcherTransport(boost::asio::io_context& context,
                                             TimerService& timers,
                                             const SearcherProtocol& protocol,
                                             std::size_t max_reply_memory)
    : context_(context),
      timers_(timers),
      protocol_(protocol),
      budget_(max_reply_memory) {
  timers_.ScheduleAfter(kStaleCheckInterval, [this] { CloseStale(); });
}

HttpSearcherTransport::ConnectionsPtr HttpSearcherTransport::ConnectionsOf(
    const SearcherEntry& searcher) {
  ConnectionsPtr& connections = searchers_[searcher.id];
  if (connections && connections->searcher().address != searcher.address) {
    retired_.push_back(std::move(connections));
    connections = nullptr;
    retired_.back()->Retire();
  }
  if (!connections) {
    connections = std::make_shared<SearcherConnections>(
        context_, timers_, protocol_, budget_, stats_, searcher);
  }
  return connections;
}

void HttpSearcherTransport::Send(AttemptId attempt,
                                 const SearcherEntry& searcher,
                                 ForwardedRequestPtr request,
                                 const AttemptOptions& attempt_options,
                                 ReplyHandler done) {
  ConnectionsPtr connections = ConnectionsOf(searcher);
  attempts_.emplace(attempt, connections);
  connections->Send(
      attempt, std::move(request), attempt_options,
      [this, attempt, done = std::move(done)](AttemptReply reply) {
        // Keeps the connections alive until `done` returns.
        auto node = attempts_.extract(attempt);
        done(std::move(reply));
      });
}

bool HttpSearcherTransport::Cancel(AttemptId attempt) {
  auto node = attempts_.extract(attempt);
  return !node.empty() && node.mapped()->Cancel(attempt);
}

bool HttpSearcherTransport::IsWritten(AttemptId attempt) const {
  auto it = attempts_.find(attempt);
  return it != attempts_.end() && it->second->IsWritten(attempt);
}

bool HttpSearcherTransport::HasIdleConnection(
    const InstanceId& searcher) const {
  auto it = searchers_.find(searcher);
  return it != searchers_.end() && it->second->HasIdle();
}

void HttpSearcherTransport::Probe(const SearcherEntry& searcher,
                                  std::function<void(bool)> done) {
  auto connection = std::make_shared<ClientConnection>(context_, 0);
  ++stats_.probes_sent;
  auto timer = std::make_shared<TimerId>();
  // Closing the connection ends its callbacks.
  auto finish = [this, timer, weak = std::weak_ptr(connection),
                 done = std::move(done)](bool opened) {
    timers_.Cancel(*timer);
    if (std::shared_ptr<ClientConnection> probe = weak.lock())
      probe->Close();
    done(opened);
  };
  *timer = timers_.ScheduleAfter(kProbeTimeout,
                                 [connection, finish] { finish(false); });
  connection->Connect(
      searcher.address,
      {.connected = [finish] { finish(true); },
       .connect_failed = [finish](const std::string&) { finish(false); },
       .closed = nullptr,
       .finished = nullptr,
       .classify_reply = nullptr});
}

void HttpSearcherTransport::SetConnectionLimit(const SearcherEntry& searcher,
                                               int limit) {
  ConnectionsOf(searcher)->set_connection_limit(limit);
}

void HttpSearcherTransport::ReturnQueued(const InstanceId& searcher,
                                         const std::string& reason) {
  auto it = searchers_.find(searcher);
  if (it == searchers_.end())
    return;
  ConnectionsPtr connections = it->second;
  connections->ReturnQueued(reason);
}

void HttpSearcherTransport::Retire(const InstanceId& searcher) {
  auto it = searchers_.find(searcher);
  if (it == searchers_.end())
    return;
  ConnectionsPtr connections = std::move(it->second);
  searchers_.erase(it);
  retired_.push_back(connections);
  connections->Retire();
}

void HttpSearcherTransport::CloseStale() {
  for (const auto& [id, connections] : searchers_)
    connections->CloseStale();
  std::erase_if(retired_, [](const ConnectionsPtr& it) { return it->empty(); });
  timers_.ScheduleAfter(kStaleCheckInterval, [this] { CloseStale(); });
}

}  // namespace jujubecove

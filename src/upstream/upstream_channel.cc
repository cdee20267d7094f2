#include "upstream/upstream_channel.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace jujubecove {
namespace {

// A searcher sends at most one report per second unless its holdings change.
constexpr std::size_t kUpdateCapacity = 1024;

}  // namespace

UpstreamChannel::UpstreamChannel(boost::asio::io_context& query_context,
                                 boost::asio::io_context& upstream_context,
                                 HttpUpstreamTransport& transport,
                                 ReportPoller& poller,
                                 std::size_t capacity)
    : query_context_(query_context),
      upstream_context_(upstream_context),
      transport_(transport),
      capacity_(capacity),
      commands_(upstream_context, capacity),
      replies_(query_context, capacity),
      updates_(query_context, kUpdateCapacity) {
  commands_.SetHandler(
      [this](Command command) { RunCommand(std::move(command)); });
  replies_.SetHandler(
      [this](UpstreamReply reply) { HandleReply(std::move(reply)); });
  transport_.SetReplyHandler(
      [this](UpstreamReply reply) { replies_.TryPush(std::move(reply)); });
  ForwardUpdates(poller);
}

void UpstreamChannel::ForwardUpdates(ReportPoller& poller) {
  updates_.SetHandler(
      [this](Update update) { HandleUpdate(std::move(update)); });
  poller.SetReportHandler([this](const SearcherReport& report) {
    return updates_.TryPush(Update(report));
  });
  poller.SetMapHandler(
      [this](const ServiceName& service, std::shared_ptr<const ShardMap> map) {
        return updates_.TryPush(Update(MapUpdate{service, std::move(map)}));
      });
}

void UpstreamChannel::SetReportHandler(
    std::function<void(const SearcherReport&)> handler) {
  report_handler_ = std::move(handler);
}

void UpstreamChannel::SetMapHandler(
    std::function<void(const ServiceName&, std::shared_ptr<const ShardMap>)>
        handler) {
  map_handler_ = std::move(handler);
}

void UpstreamChannel::SetReplyHandler(ReplyHandler handler) {
  reply_handler_ = std::move(handler);
}

void UpstreamChannel::Send(UpstreamRequest request) {
  UpstreamReply rejection;
  rejection.attempt = request.attempt;
  rejection.searcher = request.searcher;
  if (outstanding_ < capacity_ &&
      commands_.TryPush(Command{CommandKind::kSend, std::move(request)})) {
    ++outstanding_;
    return;
  }
  rejection.outcome = AttemptOutcome::kNoConnection;
  rejection.execution = Execution::kNotRun;
  boost::asio::post(query_context_, [this, reply = std::move(rejection)] {
    reply_handler_(reply);
  });
}

void UpstreamChannel::Cancel(AttemptId attempt) {
  Command command{CommandKind::kCancel, {}};
  command.request.attempt = attempt;
  commands_.TryPush(std::move(command));
}

bool UpstreamChannel::HasCapacityFor(std::size_t count) const {
  return outstanding_ + count <= capacity_ && commands_.FreeSlots() >= count;
}

void UpstreamChannel::SetConnectionShare(const SearcherId& searcher,
                                         std::size_t count) {
  boost::asio::post(upstream_context_, [this, searcher, count] {
    transport_.SetConnectionShare(searcher, count);
  });
}

void UpstreamChannel::RunCommand(Command command) {
  if (command.kind == CommandKind::kSend)
    transport_.Send(std::move(command.request));
  else
    transport_.Cancel(command.request.attempt);
}

void UpstreamChannel::HandleUpdate(Update update) {
  if (const SearcherReport* report = std::get_if<SearcherReport>(&update))
    report_handler_(*report);
  else if (MapUpdate* map = std::get_if<MapUpdate>(&update))
    map_handler_(map->service, std::move(map->map));
}

void UpstreamChannel::HandleReply(UpstreamReply reply) {
  --outstanding_;
  reply_handler_(std::move(reply));
}

}  // namespace jujubecove

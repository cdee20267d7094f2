#include "upstream/upstream_channel.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace jujubecove {

UpstreamChannel::UpstreamChannel(boost::asio::io_context& query_context,
                                 boost::asio::io_context& upstream_context,
                                 HttpUpstreamTransport& transport,
                                 std::size_t capacity)
    : query_context_(query_context),
      upstream_context_(upstream_context),
      transport_(transport),
      capacity_(capacity),
      commands_(upstream_context, capacity),
      replies_(query_context, capacity) {
  commands_.SetHandler(
      [this](Command command) { RunCommand(std::move(command)); });
  replies_.SetHandler(
      [this](UpstreamReply reply) { TakeReply(std::move(reply)); });
  transport_.SetReplyHandler(
      [this](UpstreamReply reply) { replies_.TryPush(std::move(reply)); });
}

void UpstreamChannel::SetReplyHandler(ReplyHandler handler) {
  reply_handler_ = std::move(handler);
}

void UpstreamChannel::Send(UpstreamRequest request) {
  UpstreamReply refusal;
  refusal.attempt = request.attempt;
  refusal.searcher = request.searcher;
  if (outstanding_ < capacity_ &&
      commands_.TryPush(Command(std::move(request)))) {
    ++outstanding_;
    return;
  }
  refusal.outcome = AttemptOutcome::kNoConnection;
  refusal.execution = Execution::kNotRun;
  boost::asio::post(query_context_, [this, reply = std::move(refusal)] {
    reply_handler_(reply);
  });
}

void UpstreamChannel::Cancel(AttemptId attempt) {
  commands_.TryPush(Command(attempt));
}

bool UpstreamChannel::HasRoomFor(std::size_t count) const {
  return outstanding_ + count <= capacity_ && commands_.FreeSlots() >= count;
}

void UpstreamChannel::SetConnectionShare(const SearcherId& searcher,
                                         std::size_t count) {
  boost::asio::post(upstream_context_, [this, searcher, count] {
    transport_.SetConnectionShare(searcher, count);
  });
}

void UpstreamChannel::RunCommand(Command command) {
  if (UpstreamRequest* request = std::get_if<UpstreamRequest>(&command))
    transport_.Send(std::move(*request));
  else if (const AttemptId* attempt = std::get_if<AttemptId>(&command))
    transport_.Cancel(*attempt);
}

void UpstreamChannel::TakeReply(UpstreamReply reply) {
  --outstanding_;
  reply_handler_(std::move(reply));
}

}  // namespace jujubecove

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <variant>

#include "kernel/channel.h"
#include "upstream/http_upstream_transport.h"
#include "upstream/upstream_transport.h"

namespace jujubecove {

// The query thread's side of a transport that runs on the upstream thread.
// Commands and replies cross by one bounded ring each.
class UpstreamChannel : public UpstreamTransport {
 public:
  // `capacity` bounds the commands on their way and, separately, the attempts
  // that are outstanding; the reply ring therefore never overflows.
  UpstreamChannel(boost::asio::io_context& query_context,
                  boost::asio::io_context& upstream_context,
                  HttpUpstreamTransport& transport,
                  std::size_t capacity);

  // The functions below are called by the query thread only.
  void SetReplyHandler(ReplyHandler handler) override;
  // Without room the attempt ends as kNoConnection, not run.
  void Send(UpstreamRequest request) override;
  // Dropped when the ring is full; the attempt then ends on its own.
  void Cancel(AttemptId attempt) override;
  bool HasRoomFor(std::size_t count) const override;

  // Passed to the upstream thread outside of the ring, since a lost share would
  // stay wrong and shares change rarely. Can be called by any thread.
  void SetConnectionShare(const SearcherId& searcher, std::size_t count);

 private:
  using Command = std::variant<std::monostate, UpstreamRequest, AttemptId>;

  void RunCommand(Command command);
  void TakeReply(UpstreamReply reply);

  boost::asio::io_context& query_context_;
  boost::asio::io_context& upstream_context_;
  HttpUpstreamTransport& transport_;
  std::size_t capacity_;
  Channel<Command> commands_;
  Channel<UpstreamReply> replies_;
  // Attempts whose reply has not been handed over; query thread only.
  std::size_t outstanding_ = 0;
  ReplyHandler reply_handler_;
};

}  // namespace jujubecove

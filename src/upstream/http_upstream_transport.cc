#include "upstream/http_upstream_transport.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

namespace jujubecove {
namespace {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(
    const SearcherId& searcher) {
  std::string_view text = searcher.value();
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  std::from_chars_result result = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  boost::system::error_code ec;
  asio::ip::address address =
      asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  if (ec || result.ec != std::errc() ||
      result.ptr != port_text.data() + port_text.size())
    return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

}  // namespace

HttpUpstreamTransport::HttpUpstreamTransport(asio::io_context& context,
                                             TimerService& timer,
                                             IncarnationId incarnation,
                                             std::uint64_t seed,
                                             const UpstreamOptions& options)
    : PoolHost(context, timer, seed, incarnation, options) {}

HttpUpstreamTransport::~HttpUpstreamTransport() {
  *alive_ = false;
  timer.Cancel(sweep_timer_);
}

void HttpUpstreamTransport::SetConnectionShare(const SearcherId& searcher,
                                               std::size_t count) {
  auto it = pools_.find(searcher);
  if (it == pools_.end()) {
    std::optional<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(searcher);
    if (count == 0 || !endpoint)
      return;
    PoolHost& host = *this;
    auto pool = std::make_unique<SearcherPool>(host, searcher, *endpoint);
    it = pools_.emplace(searcher, std::move(pool)).first;
    if (searcher_handler_)
      searcher_handler_(searcher, true);
  }
  it->second->SetShare(count);
  if (count > 0)
    return;
  pending_removal_.push_back(searcher);
  ScheduleSweep();
}

void HttpUpstreamTransport::SetReplyHandler(ReplyHandler handler) {
  reply_handler_ = std::move(handler);
}

void HttpUpstreamTransport::SetValidReplyHandler(ValidReplyHandler handler) {
  valid_reply_handler_ = std::move(handler);
}

void HttpUpstreamTransport::SetSearcherHandler(SearcherHandler handler) {
  searcher_handler_ = std::move(handler);
}

void HttpUpstreamTransport::Send(UpstreamRequest request) {
  auto it = pools_.find(request.searcher);
  if (it == pools_.end() || !HasCapacityFor(1)) {
    UpstreamReply reply;
    reply.attempt = request.attempt;
    reply.searcher = request.searcher;
    reply.outcome = AttemptOutcome::kNoConnection;
    reply.execution = Execution::kNotRun;
    stats.no_connection.Add(1);
    QueueReply(std::move(reply));
    return;
  }
  attempts_.emplace(request.attempt, it->second.get());
  it->second->Send(std::move(request));
}

void HttpUpstreamTransport::Cancel(AttemptId attempt) {
  auto it = attempts_.find(attempt);
  if (it != attempts_.end())
    it->second->Cancel(attempt);
}

bool HttpUpstreamTransport::HasCapacityFor(std::size_t count) const {
  return attempts_.size() + count <= options.max_outstanding;
}

void HttpUpstreamTransport::Fetch(const SearcherId& searcher,
                                  std::string path,
                                  ControlHandler handler) {
  auto it = pools_.find(searcher);
  if (it != pools_.end()) {
    it->second->Fetch(std::move(path), std::move(handler));
    return;
  }
  asio::post(context, [handler = std::move(handler)] { handler(nullptr); });
}

std::size_t HttpUpstreamTransport::ConnectionCount(
    const SearcherId& searcher) const {
  auto it = pools_.find(searcher);
  return it == pools_.end() ? 0 : it->second->connection_count();
}

void HttpUpstreamTransport::QueueReply(UpstreamReply reply) {
  attempts_.erase(reply.attempt);
  undelivered_.push_back(std::move(reply));
  if (delivery_posted_)
    return;
  delivery_posted_ = true;
  asio::post(context, [this, alive = alive_] {
    if (*alive)
      DeliverReplies();
  });
}

// Runs from the event loop, so that the reply handler can call the transport.
void HttpUpstreamTransport::DeliverReplies() {
  delivery_posted_ = false;
  std::swap(undelivered_, delivering_);
  for (UpstreamReply& reply : delivering_)
    reply_handler_(std::move(reply));
  delivering_.clear();
}

void HttpUpstreamTransport::OnValidReply(
    const SearcherId& searcher,
    std::optional<std::uint64_t> generation) {
  if (valid_reply_handler_)
    valid_reply_handler_(searcher, generation);
}

LatencyPeak& HttpUpstreamTransport::KindLatency(const KindName& kind) {
  return kind_latencies_[kind];
}

void HttpUpstreamTransport::MarkActive(SearcherPool& pool) {
  if (!pool.in_active_list) {
    pool.in_active_list = true;
    active_.push_back(&pool);
  }
  ScheduleSweep();
}

void HttpUpstreamTransport::ScheduleSweep() {
  if (sweep_timer_ != TimerId())
    return;
  sweep_due_ = timer.Now() + options.sweep_interval;
  sweep_timer_ = timer.ScheduleAt(sweep_due_, [this] {
    sweep_timer_ = TimerId();
    Sweep();
  });
}

void HttpUpstreamTransport::Sweep() {
  TimePoint now = timer.Now();
  Duration late = now - sweep_due_;
  Duration thread_stall = late > options.min_thread_stall ? late : Duration(0);
  for (std::size_t n = active_.size(); n-- > 0;) {
    SearcherPool* pool = active_[n];
    pool->Sweep(now, thread_stall);
    if (pool->active())
      continue;
    pool->in_active_list = false;
    active_[n] = active_.back();
    active_.pop_back();
  }
  RemoveInactivePools();
  if (!active_.empty() || !pending_removal_.empty())
    ScheduleSweep();
}

void HttpUpstreamTransport::RemoveInactivePools() {
  std::erase_if(pending_removal_, [&](const SearcherId& searcher) {
    auto it = pools_.find(searcher);
    if (it == pools_.end() || !it->second->removal_pending())
      return true;
    if (it->second->active() || it->second->in_active_list)
      return false;
    pools_.erase(it);
    if (searcher_handler_)
      searcher_handler_(searcher, false);
    return true;
  });
}

}  // namespace jujubecove

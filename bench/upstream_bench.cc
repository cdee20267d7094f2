// CPU time of the upstream and the query thread per upstream request, without
// the query engine and the router, with 110 searchers per query.

#include <gflags/gflags.h>
#include <time.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "bench/report.h"
#include "kernel/asio_timer_service.h"
#include "upstream/request_head.h"
#include "upstream/upstream_channel.h"
#include "upstream/wire.h"

DEFINE_int32(queries, 5'000, "queries that are measured");
DEFINE_int32(in_flight, 4, "queries that are in flight at a time");

namespace jujubecove::bench {
namespace {

namespace asio = boost::asio;

constexpr int kSearchers = 110;
constexpr int kWarmUpQueries = 500;
constexpr std::size_t kConnectionsPerSearcher = 8;
constexpr std::size_t kRingCapacity = 8'192;
constexpr double kMaxCpuUs = 10.0;
constexpr int kFormattedHeads = 200'000;

double ThreadCpuUs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// Answers each request immediately. Each read must return one whole request.
class Responder : public std::enable_shared_from_this<Responder> {
 public:
  explicit Responder(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t n) {
          if (ec)
            return;
          self->Answer(std::string_view(self->buffer_.data(), n));
          self->Read();
        });
  }

 private:
  void Answer(std::string_view request) {
    std::string reply = "HTTP/1.1 200 OK\r\n";
    std::size_t at = request.find(wire::kAttemptHeader);
    if (at != std::string_view::npos)
      reply.append(request.substr(at, request.find("\r\n", at) + 2 - at));
    reply.append(
        "Jujubecove-Shard: s0\r\nJujubecove-Shard-Map: 7\r\n"
        "Jujubecove-Index-Version: 41\r\nJujubecove-Load: 1/2\r\n"
        "Content-Length: 202\r\n\r\n[");
    reply.append(200, ' ').append("]");
    boost::system::error_code ec;
    socket_.write_some(asio::buffer(reply), ec);
  }

  asio::ip::tcp::socket socket_;
  std::array<char, 4'096> buffer_;
};

// Listeners of many searchers on one thread.
class Responders {
 public:
  explicit Responders(int count) {
    asio::ip::tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
    for (int n = 0; n < count; ++n) {
      acceptors_.emplace_back(context_, any_port);
      Accept(acceptors_.back());
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Responders() {
    context_.stop();
    thread_.join();
  }

  SearcherId id(int n) const {
    return SearcherId("127.0.0.1:" +
                      std::to_string(acceptors_[n].local_endpoint().port()));
  }

 private:
  void Accept(asio::ip::tcp::acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](const boost::system::error_code& ec,
                                            asio::ip::tcp::socket socket) {
      if (ec)
        return;
      std::make_shared<Responder>(std::move(socket))->Read();
      Accept(acceptor);
    });
  }

  asio::io_context context_{1};
  std::deque<asio::ip::tcp::acceptor> acceptors_;
  std::thread thread_;
};

UpstreamRequest SampleRequest(const SearcherId& searcher, std::uint64_t n) {
  UpstreamRequest request;
  request.attempt = AttemptId(n);
  request.request = RequestId(n / kSearchers);
  request.searcher = searcher;
  request.kind = KindName("urgent-search");
  request.shard = ShardId("s0");
  request.map_version = ShardMapVersion(7);
  request.index_version = IndexVersion(41);
  request.traceparent =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  return request;
}

// Keeps a fixed number of queries in flight through a channel and measures the
// CPU time of both threads after the warm-up.
class Driver {
 public:
  Driver() : responders_(kSearchers) {
    for (int n = 0; n < kSearchers; ++n)
      ids_.push_back(responders_.id(n));
    channel_.SetReportHandler([](const SearcherReport&) {});
    channel_.SetMapHandler(
        [](const ServiceName&, std::shared_ptr<const ShardMap>) {});
    channel_.SetReplyHandler(
        [this](const UpstreamReply& reply) { OnReply(reply); });
  }

  void Run() {
    auto query_guard = asio::make_work_guard(query_context_);
    auto upstream_guard = asio::make_work_guard(upstream_context_);
    std::thread upstream([this] { upstream_context_.run(); });
    for (const SearcherId& id : ids_)
      channel_.SetConnectionShare(id, kConnectionsPerSearcher);
    query_context_.run_for(std::chrono::milliseconds(500));
    query_context_.restart();
    for (int n = 0; n < FLAGS_in_flight; ++n)
      asio::post(query_context_, [this] { SendQuery(); });
    query_context_.run_for(std::chrono::seconds(60));
    upstream_context_.stop();
    upstream.join();
  }

  double upstream_cpu_us() const { return upstream_cpu_.second; }
  double query_cpu_us() const { return query_cpu_.second; }
  int ok() const { return ok_; }
  double seconds() const {
    return std::chrono::duration<double>(ended_ - started_).count();
  }

 private:
  void SendQuery() {
    TimePoint deadline = timer_.Now() + std::chrono::seconds(2);
    auto body = std::make_shared<const std::string>(200, 'x');
    for (const SearcherId& id : ids_) {
      UpstreamRequest request = SampleRequest(id, ++attempts_);
      request.deadline = deadline;
      request.body = body;
      channel_.Send(std::move(request));
    }
  }

  void OnReply(const UpstreamReply& reply) {
    if (finished_)
      return;
    ok_ += reply.outcome == AttemptOutcome::kOk ? 1 : 0;
    if (++replies_ % kSearchers != 0)
      return;
    int queries = replies_ / kSearchers;
    if (queries == kWarmUpQueries) {
      started_ = std::chrono::steady_clock::now();
      ok_ = 0;
      query_cpu_.first = ThreadCpuUs();
      asio::post(upstream_context_,
                 [this] { upstream_cpu_.first = ThreadCpuUs(); });
    }
    if (queries == kWarmUpQueries + FLAGS_queries) {
      finished_ = true;
      ended_ = std::chrono::steady_clock::now();
      query_cpu_.second = ThreadCpuUs() - query_cpu_.first;
      asio::post(upstream_context_, [this] {
        upstream_cpu_.second = ThreadCpuUs() - upstream_cpu_.first;
        query_context_.stop();
      });
      return;
    }
    SendQuery();
  }

  Responders responders_;
  std::vector<SearcherId> ids_;
  asio::io_context query_context_{1};
  asio::io_context upstream_context_{1};
  AsioTimerService timer_{upstream_context_};
  HttpUpstreamTransport transport_{upstream_context_, timer_,
                                   IncarnationId(0xabc), 1};
  ReportPoller poller_{transport_, timer_, 1};
  UpstreamChannel channel_{query_context_, upstream_context_, transport_,
                           poller_, kRingCapacity};
  std::uint64_t attempts_ = 0;
  int replies_ = 0;
  int ok_ = 0;
  bool finished_ = false;
  std::pair<double, double> query_cpu_;
  std::pair<double, double> upstream_cpu_;
  std::chrono::steady_clock::time_point started_;
  std::chrono::steady_clock::time_point ended_;
};

double MeasureFormatUs(const std::function<std::size_t()>& format) {
  std::size_t bytes = 0;
  double before = ThreadCpuUs();
  for (int n = 0; n < kFormattedHeads; ++n)
    bytes += format();
  double cpu = ThreadCpuUs() - before;
  return bytes > 0 ? cpu / kFormattedHeads : 0.0;
}

std::size_t FormatWithBeast(const UpstreamRequest& request,
                            std::string_view attempt,
                            std::string& out) {
  namespace http = boost::beast::http;
  auto view = [](std::string_view text) {
    return boost::beast::string_view(text.data(), text.size());
  };
  http::request<http::empty_body> head(http::verb::post,
                                       view(wire::kExecutePath), 11);
  head.set(http::field::host, request.searcher.value());
  head.set(view(wire::kAttemptHeader), view(attempt));
  head.set(view(wire::kKindHeader), request.kind.value());
  head.set(view(wire::kShardHeader), request.shard.value());
  head.set(view(wire::kShardMapHeader),
           std::to_string(request.map_version.value()));
  head.set(view(wire::kIndexVersionHeader),
           std::to_string(request.index_version->value()));
  head.set(view(wire::kDeadlineHeader), std::to_string(250));
  head.set(view(wire::kTraceparentHeader), request.traceparent);
  head.set(http::field::content_length, std::to_string(200));
  http::request_serializer<http::empty_body> serializer(head);
  boost::system::error_code ec;
  out.clear();
  serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
    for (auto it = asio::buffer_sequence_begin(buffers);
         it != asio::buffer_sequence_end(buffers); ++it) {
      asio::const_buffer part(*it);
      out.append(static_cast<const char*>(part.data()), part.size());
    }
  });
  return out.size();
}

int Run() {
  Driver driver;
  driver.Run();
  double requests = static_cast<double>(FLAGS_queries) * kSearchers;
  Report report("upstream");
  report.Info("requests_per_s", requests / driver.seconds());
  report.AtLeast("ok_share", driver.ok() / requests, 0.999);
  report.AtMost("upstream_thread_cpu_us_per_request",
                driver.upstream_cpu_us() / requests, kMaxCpuUs);
  report.Info("query_thread_cpu_us_per_request",
              driver.query_cpu_us() / requests);
  UpstreamRequest request = SampleRequest(SearcherId("127.0.0.1:34567"), 1);
  std::string out;
  report.Info("head_by_hand_us", MeasureFormatUs([&] {
                FormatExecuteHead(request, "abc-5-1",
                                  std::chrono::milliseconds(250), out);
                return out.size();
              }));
  report.Info("head_by_beast_us", MeasureFormatUs([&] {
                return FormatWithBeast(request, "abc-5-1", out);
              }));
  return report.exit_code();
}

}  // namespace
}  // namespace jujubecove::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujubecove::bench::Run();
}

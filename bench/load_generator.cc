#include "bench/load_generator.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <deque>
#include <optional>
#include <random>
#include <utility>

namespace jujubecove::bench {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::microseconds;

// Fails a request that the daemon never answers.
constexpr std::chrono::seconds kRequestTimeout{10};

class Load;

// One keep-alive connection to one daemon.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Done = std::function<void(unsigned, std::string)>;

  Connection(asio::io_context& context, std::uint16_t port)
      : socket_(context), timer_(context), port_(port) {}

  void Send(http::request<http::string_body> request, Done done) {
    request_ = std::move(request);
    done_ = std::move(done);
    timer_.expires_after(kRequestTimeout);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec)
        self->Fail();
    });
    if (socket_.is_open()) {
      Write();
      return;
    }
    socket_.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port_),
        [self = shared_from_this()](error_code ec) {
          if (ec) {
            self->Fail();
            return;
          }
          self->socket_.set_option(asio::ip::tcp::no_delay(true));
          self->Write();
        });
  }

  bool open() const { return socket_.is_open(); }

 private:
  void Write() {
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (ec)
                          self->Fail();
                        else
                          self->Read();
                      });
  }

  void Read() {
    response_ = {};
    http::async_read(socket_, buffer_, response_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       if (ec)
                         self->Fail();
                       else
                         self->Succeed();
                     });
  }

  void Succeed() {
    if (!response_.keep_alive()) {
      error_code ec;
      socket_.close(ec);
    }
    Finish(response_.result_int(), std::move(response_.body()));
  }

  void Fail() {
    error_code ec;
    socket_.close(ec);
    buffer_.clear();
    Finish(0, {});
  }

  void Finish(unsigned status, std::string body) {
    timer_.cancel();
    if (!done_)
      return;
    Done done = std::move(done_);
    done_ = nullptr;
    done(status, std::move(body));
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint16_t port_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  Done done_;
};

void ParseAnswer(const std::string& body, LoadSample& sample) {
  error_code ec;
  json::value value = json::parse(body, ec);
  if (ec || !value.is_object())
    return;
  const json::object& object = value.as_object();
  if (const json::value* status = object.if_contains("status"))
    sample.status = json::value_to<std::string>(*status);
  if (const json::value* execution = object.if_contains("execution"))
    sample.execution = json::value_to<std::string>(*execution);
  const json::value* coverage = object.if_contains("coverage");
  if (coverage == nullptr || !coverage->is_object())
    return;
  if (const json::value* share =
          coverage->as_object().if_contains("covered_share"))
    sample.covered_share = share->to_number<double>();
}

class Load {
 public:
  explicit Load(const LoadOptions& options)
      : options_(options), random_(options.seed), idle_(options.ports.size()) {}

  std::vector<LoadSample> Run() {
    start_ = Clock::now();
    for (std::size_t n = 0; n < options_.kinds.size(); ++n)
      ScheduleArrival(n, start_);
    context_.run();
    return std::move(samples_);
  }

 private:
  void ScheduleArrival(std::size_t kind, Clock::time_point previous_due) {
    std::exponential_distribution<double> gap(options_.kinds[kind].rate);
    Clock::time_point due =
        previous_due + std::chrono::duration_cast<Clock::duration>(
                           std::chrono::duration<double>(gap(random_)));
    if (due > start_ + options_.duration)
      return;
    std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(context_, due);
    timer->async_wait([this, timer, kind, due](error_code) {
      ScheduleArrival(kind, due);
      StartRequest(kind, due);
    });
  }

  void StartRequest(std::size_t kind, Clock::time_point due) {
    LoadSample sample;
    sample.kind = kind;
    sample.due = std::chrono::duration_cast<Microseconds>(due - start_);
    sample.target = PickTarget();
    if (!options_.kinds[kind].ticket) {
      SendQuery(std::move(sample), due);
      return;
    }
    http::request<http::string_body> request(http::verb::post,
                                             "/v1/tickets?count=1", 11);
    request.set(http::field::host, "entry");
    request.prepare_payload();
    std::size_t target = sample.target;
    Send(
        target, std::move(request),
        [this, sample = std::move(sample)](unsigned, std::string body) mutable {
          error_code ec;
          json::value value = json::parse(body, ec);
          if (!ec && value.is_object() && value.as_object().contains("tickets"))
            sample.ticket = json::value_to<std::string>(
                value.as_object().at("tickets").as_array().at(0));
          SendQuery(std::move(sample), Clock::now());
        });
  }

  std::size_t PickTarget() {
    std::uniform_int_distribution<std::size_t> distribution(
        0, options_.ports.size() - 1);
    std::size_t target = distribution(random_);
    for (std::size_t n = 0; n < options_.ports.size(); ++n) {
      if (!options_.target_is_live || options_.target_is_live(target))
        return target;
      target = (target + 1) % options_.ports.size();
    }
    return target;
  }

  void SendQuery(LoadSample sample, Clock::time_point latency_start) {
    const LoadKind& kind = options_.kinds[sample.kind];
    http::request<http::string_body> request(http::verb::post,
                                             "/v1/query/" + kind.kind, 11);
    request.set(http::field::host, "entry");
    request.set("Jujubecove-Deadline-Ms",
                std::to_string(kind.deadline.count()));
    request.set("Jujubecove-Caller", kind.caller);
    if (kind.one_key) {
      char key[8];
      std::snprintf(key, sizeof(key), "%04x",
                    static_cast<unsigned>(random_() & 0xffffU));
      request.set("Jujubecove-Key", key);
    }
    if (!sample.ticket.empty())
      request.set("Idempotency-Key", sample.ticket);
    request.body() = kind.body;
    request.prepare_payload();
    std::size_t target = sample.target;
    Send(target, std::move(request),
         [this, sample = std::move(sample), latency_start](
             unsigned status, std::string body) mutable {
           sample.http_status = status;
           sample.latency = std::chrono::duration_cast<Microseconds>(
               Clock::now() - latency_start);
           ParseAnswer(body, sample);
           samples_.push_back(std::move(sample));
         });
  }

  void Send(std::size_t target,
            http::request<http::string_body> request,
            Connection::Done done) {
    std::shared_ptr<Connection> connection;
    if (idle_[target].empty()) {
      connection =
          std::make_shared<Connection>(context_, options_.ports[target]);
    } else {
      connection = idle_[target].back();
      idle_[target].pop_back();
    }
    Connection* raw_connection = connection.get();
    raw_connection->Send(
        std::move(request),
        [this, target, connection = std::move(connection),
         done = std::move(done)](unsigned status, std::string body) {
          if (connection->open())
            idle_[target].push_back(connection);
          done(status, std::move(body));
        });
  }

  const LoadOptions& options_;
  std::mt19937_64 random_;
  asio::io_context context_;
  Clock::time_point start_;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;
  std::vector<LoadSample> samples_;
};

}  // namespace

std::vector<LoadSample> RunLoad(const LoadOptions& options) {
  return Load(options).Run();
}

double QuantileMs(const std::vector<LoadSample>& samples, double q) {
  if (samples.empty())
    return 0.0;
  std::vector<Microseconds> latencies;
  latencies.reserve(samples.size());
  for (const LoadSample& it : samples)
    latencies.push_back(it.latency);
  std::size_t rank = std::min(
      latencies.size() - 1,
      static_cast<std::size_t>(q * static_cast<double>(latencies.size())));
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                   latencies.end());
  return static_cast<double>(latencies[rank].count()) / 1000.0;
}

std::vector<LoadSample> Filter(
    const std::vector<LoadSample>& samples,
    const std::function<bool(const LoadSample&)>& keep) {
  std::vector<LoadSample> result;
  std::copy_if(samples.begin(), samples.end(), std::back_inserter(result),
               keep);
  return result;
}

double ShareOf(const std::vector<LoadSample>& samples,
               const std::function<bool(const LoadSample&)>& keep) {
  if (samples.empty())
    return 0.0;
  std::ptrdiff_t kept = std::count_if(samples.begin(), samples.end(), keep);
  return static_cast<double>(kept) / static_cast<double>(samples.size());
}

}  // namespace jujubecove::bench

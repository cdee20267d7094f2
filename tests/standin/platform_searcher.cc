#include "tests/standin/platform_searcher.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "dispatch/top_records.h"
#include "platform/wire_names.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kRecords = 3;

}  // namespace

class PlatformSearcher::Session
    : public std::enable_shared_from_this<PlatformSearcher::Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          TimerService& timers,
          std::shared_ptr<State> state)
      : socket_(std::move(socket)), timers_(timers), state_(std::move(state)) {}

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       if (!ec)
                         self->Handle();
                     });
  }

  void Close() {
    error_code ec;
    socket_.close(ec);
  }

 private:
  void Handle() {
    response_ = {};
    std::string id(request_[platform::kRequestId]);
    response_.set(platform::kRequestId, id);
    response_.set(platform::kServerLoad, "0,0,2");
    ++state_->arrivals;
    if (state_->leaving)
      response_.set(platform::kServerLeaving, "1");
    if (request_[platform::kExpectInstance] != state_->id) {
      response_.result(http::status::misdirected_request);
      Write();
    } else if (state_->refusing || state_->push_back) {
      response_.result(http::status::service_unavailable);
      response_.set(platform::kNotExecuted, "1");
      if (state_->push_back)
        response_.set(platform::kRetryAfter, *state_->push_back);
      Write();
    } else {
      ++state_->runs;
      if (state_->observer) {
        state_->observer({state_->id, state_->service, id,
                          std::string(request_.method_string()),
                          std::string(request_.target()), request_.body(),
                          std::string(request_[platform::kWorkspace]),
                          std::string(request_[platform::kAuthorization])});
      }
      response_.set(platform::kResponseStamp, state_->id + "." + id);
      response_.body() = state_->body ? *state_->body : RecordsOf(state_->id);
      timers_.ScheduleAfter(state_->service_time,
                            [self = shared_from_this()] { self->Reply(); });
    }
  }

  void Reply() {
    if (state_->losing_replies)
      Close();
    else
      Write();
  }

  void Write() {
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (!ec)
                          self->Read();
                      });
  }

  asio::ip::tcp::socket socket_;
  TimerService& timers_;
  std::shared_ptr<State> state_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

PlatformSearcher::PlatformSearcher(asio::io_context& context,
                                   TimerService& timers,
                                   std::string service,
                                   std::string id,
                                   std::uint16_t port)
    : timers_(timers),
      state_(std::make_shared<State>()),
      acceptor_(
          context,
          asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port)) {
  state_->service = std::move(service);
  state_->id = std::move(id);
  Accept();
}

std::string PlatformSearcher::Key() const {
  return platform::kSearcherPrefix + state_->id;
}

std::string PlatformSearcher::Registration(SearcherState state) const {
  boost::json::object entry{
      {"Service", state_->service},
      {"Address",
       "127.0.0.1:" +
           std::to_string(advertised_port_ == 0 ? port() : advertised_port_)},
      {"Zone", "nyeri"},
      {"Version", "v1"},
      {"Slots", 2},
      {"State", state == SearcherState::kReady ? "ready" : "draining"},
      {"WarmupLeftMs", 0},
      {"Sequence", ++state_->heartbeat},
      {"born", state_->born}};
  return boost::json::serialize(entry);
}

void PlatformSearcher::Accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (ec)
      return;
    auto session =
        std::make_shared<Session>(std::move(socket), timers_, state_);
    std::erase_if(sessions_, [](const std::weak_ptr<Session>& it) {
      return it.expired();
    });
    sessions_.push_back(session);
    session->Read();
    Accept();
  });
}

void PlatformSearcher::Crash() {
  error_code ec;
  acceptor_.close(ec);
  for (const std::weak_ptr<Session>& it : sessions_) {
    if (std::shared_ptr<Session> session = it.lock())
      session->Close();
  }
}

std::string PlatformSearcher::RecordsOf(const std::string& searcher) {
  std::string body;
  for (int n = 0; n < kRecords; ++n) {
    std::string record = std::to_string(n) + "-" + searcher;
    record.resize(kRecordBytes, '.');
    body += record;
  }
  return body;
}

}  // namespace jujubecove

#include "tests/soak/soak_caller.h"

#include <algorithm>
#include <utility>

#include "platform/wire_names.h"
#include "tests/soak/soak_config.h"

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDeadline = milliseconds(1200);
// The caller gives up this long after the deadline.
constexpr Duration kWaitAfterDeadline = milliseconds(2000);
constexpr Duration kConnectTimeout = milliseconds(1000);
constexpr std::size_t kMaxReplyBytes = 1U << 20U;
// On average, one in this many requests uses a new connection, or is abandoned
// by a disconnect while in flight.
constexpr int kReconnectEvery = 15;
constexpr int kDisconnectEvery = 40;

}  // namespace

SoakCaller::SoakCaller(boost::asio::io_context& context,
                       TimerService& timers,
                       InvariantChecker& checker,
                       std::size_t daemon,
                       SocketAddress address,
                       std::uint64_t seed)
    : context_(context),
      timers_(timers),
      checker_(checker),
      daemon_(daemon),
      address_(std::move(address)),
      random_(seed) {}

void SoakCaller::ScheduleNext() {
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(milliseconds(20 + random_() % 60),
                                 [this] { SendNext(); });
}

void SoakCaller::SendNext() {
  bool idle =
      connection_ && connection_->state() == ClientConnection::State::kIdle;
  if (idle && random_() % kReconnectEvery != 0) {
    Send();
    return;
  }
  Close();
  Connect();
}

void SoakCaller::Connect() {
  connection_process_number_ = checker_.process_number(daemon_);
  connection_ = std::make_shared<ClientConnection>(context_, kMaxReplyBytes);
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(kConnectTimeout, [this] {
    Close();
    ScheduleNext();
  });
  connection_->Connect(
      address_,
      {.connected = [this] { Send(); },
       .connect_failed = [this](const std::string&) { ScheduleNext(); },
       .closed = [](const std::string&) {},
       .finished =
           [this](HttpExchange exchange) { OnFinished(std::move(exchange)); },
       .classify_reply = nullptr});
}

CallerRequest SoakCaller::MakeRequest() {
  static int count = 0;
  CallerRequest request;
  request.id = "q" + std::to_string(++count);
  request.daemon = daemon_;
  request.process_number = connection_process_number_;
  request.sent = timers_.Now();
  request.deadline = kDeadline;
  std::uint64_t choice = random_() % 10;
  std::string name = "search";
  if (choice >= 8) {
    request.kind = RequestKind::kPayment;
    request.body = "payment " + request.id;
    name = "pay";
  } else if (choice >= 6) {
    request.kind = RequestKind::kLookup;
    name = "lookup";
  } else if (choice == 5) {
    request.kind = RequestKind::kVersionProbe;
    request.version =
        checker_.newest_version() - static_cast<int>(random_() % 2);
    request.version = std::max(request.version, 1);
    name = "v" + std::to_string(request.version);
  }
  request.target = "/" + name + "/" + request.id + "?x=1";
  return request;
}

void SoakCaller::Send() {
  request_ = MakeRequest();
  checker_.OnRequest(request_);
  std::string head = (request_.body.empty() ? "GET " : "POST ") +
                     request_.target + " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
                     platform::kRequestId + ": " + request_.id + "\r\n" +
                     platform::kDeadlineMs + ": " +
                     std::to_string(kDeadline / milliseconds(1)) + "\r\n";
  if (!request_.body.empty())
    head += "Content-Length: " + std::to_string(request_.body.size()) + "\r\n";
  connection_->Send(head + "\r\n",
                    std::make_shared<const std::string>(request_.body), false);
  bool disconnects = random_() % kDisconnectEvery == 0;
  Duration wait = disconnects ? milliseconds(random_() % 30)
                              : kDeadline + kWaitAfterDeadline;
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(wait, [this, disconnects] {
    if (disconnects) {
      Close();
      ScheduleNext();
    } else {
      OnTimeout();
    }
  });
}

void SoakCaller::OnFinished(HttpExchange exchange) {
  checker_.OnOutcome(request_, RequestOutcome{std::move(exchange.reply),
                                              exchange.written, timers_.Now()});
  ScheduleNext();
}

void SoakCaller::OnTimeout() {
  Close();
  checker_.OnOutcome(request_,
                     RequestOutcome{std::nullopt, true, timers_.Now()});
  ScheduleNext();
}

void SoakCaller::Close() {
  timers_.Cancel(timer_);
  if (connection_)
    connection_->Close();
  connection_.reset();
}

}  // namespace jujubecove::soak

#include "tests/soak/soak_caller.h"

#include <algorithm>
#include <utility>

#include "platform/wire_names.h"
#include "tests/soak/soak_config.h"

namespace jujubecove::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDeadline = milliseconds(1200);
// A caller gives up this long after its deadline.
constexpr Duration kPatience = milliseconds(2000);
constexpr Duration kConnectTimeout = milliseconds(1000);
constexpr std::size_t kMaxReplyBytes = 1U << 20U;
// Every so many requests, a caller opens a new connection, or leaves while its
// request is under way.
constexpr int kReconnectEvery = 15;
constexpr int kLeaveEvery = 40;

}  // namespace

SoakCaller::SoakCaller(boost::asio::io_context& context,
                       TimerService& timers,
                       PromiseLedger& ledger,
                       std::size_t daemon,
                       SocketAddress address,
                       std::uint64_t seed)
    : context_(context),
      timers_(timers),
      ledger_(ledger),
      daemon_(daemon),
      address_(std::move(address)),
      random_(seed) {}

void SoakCaller::Pause() {
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(milliseconds(20 + random_() % 60),
                                 [this] { Next(); });
}

void SoakCaller::Next() {
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
  process_of_connection_ = ledger_.process(daemon_);
  connection_ = std::make_shared<ClientConnection>(context_, kMaxReplyBytes);
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(kConnectTimeout, [this] {
    Close();
    Pause();
  });
  connection_->Connect(
      address_,
      {.connected = [this] { Send(); },
       .connect_failed = [this](const std::string&) { Pause(); },
       .closed = [](const std::string&) {},
       .finished =
           [this](HttpExchange exchange) { OnFinished(std::move(exchange)); },
       .matches_request = [](const WireReply&) { return true; }});
}

Ask SoakCaller::MakeAsk() {
  static int count = 0;
  Ask ask;
  ask.id = "q" + std::to_string(++count);
  ask.daemon = daemon_;
  ask.process = process_of_connection_;
  ask.sent = timers_.Now();
  ask.deadline = kDeadline;
  std::uint64_t choice = random_() % 10;
  std::string name = "search";
  if (choice >= 8) {
    ask.kind = AskKind::kPayment;
    ask.body = "payment " + ask.id;
    name = "pay";
  } else if (choice >= 6) {
    ask.kind = AskKind::kLookup;
    name = "lookup";
  } else if (choice == 5) {
    ask.kind = AskKind::kVersionProbe;
    ask.version = ledger_.newest_version() - static_cast<int>(random_() % 2);
    ask.version = std::max(ask.version, 1);
    name = "v" + std::to_string(ask.version);
  }
  ask.target = "/" + name + "/" + ask.id + "?x=1";
  return ask;
}

void SoakCaller::Send() {
  ask_ = MakeAsk();
  ledger_.OnAsk(ask_);
  std::string head = (ask_.body.empty() ? "GET " : "POST ") + ask_.target +
                     " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
                     platform::kRequestId + ": " + ask_.id + "\r\n" +
                     platform::kDeadlineMs + ": " +
                     std::to_string(kDeadline / milliseconds(1)) + "\r\n";
  if (!ask_.body.empty())
    head += "Content-Length: " + std::to_string(ask_.body.size()) + "\r\n";
  connection_->Send(head + "\r\n",
                    std::make_shared<const std::string>(ask_.body), false);
  bool leaves = random_() % kLeaveEvery == 0;
  Duration wait = leaves ? milliseconds(random_() % 30) : kDeadline + kPatience;
  timers_.Cancel(timer_);
  timer_ = timers_.ScheduleAfter(wait, [this, leaves] {
    if (leaves) {
      Close();
      Pause();
    } else {
      OnTimeout();
    }
  });
}

void SoakCaller::OnFinished(HttpExchange exchange) {
  ledger_.OnOutcome(ask_, AskOutcome{std::move(exchange.reply),
                                     exchange.written, timers_.Now()});
  Pause();
}

void SoakCaller::OnTimeout() {
  Close();
  ledger_.OnOutcome(ask_, AskOutcome{std::nullopt, true, timers_.Now()});
  Pause();
}

void SoakCaller::Close() {
  timers_.Cancel(timer_);
  if (connection_)
    connection_->Close();
  connection_.reset();
}

}  // namespace jujubecove::soak

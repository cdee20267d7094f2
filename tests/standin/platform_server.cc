#include "tests/standin/platform_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "store/store_codec.h"

namespace jujubecove {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

PlatformServer::Response Answer(http::status status, std::string body = {}) {
  PlatformServer::Response response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

PlatformServer::Response AnswerOf(const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kDone:
      return Answer(http::status::ok, FormatValue(reply.revision, reply.value));
    case StoreStatus::kConflict:
      return Answer(http::status::conflict,
                    FormatValue(reply.revision, reply.value));
    case StoreStatus::kCompacted:
      return Answer(http::status::gone);
    default:
      return Answer(http::status::not_found);
  }
}

// Serves one connection, one request at a time.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, PlatformServer& server)
      : stream_(std::move(socket)), server_(server) {}

  void ReadNext() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (!ec)
            self->Handle();
        });
  }

 private:
  void Handle() {
    server_.Handle(parser_->get(),
                   [self = shared_from_this()](
                       std::optional<PlatformServer::Response> response) {
                     if (response)
                       self->Write(std::move(*response));
                     else
                       self->stream_.close();
                   });
  }

  void Write(PlatformServer::Response response) {
    response.keep_alive(parser_->get().keep_alive());
    response_ = std::move(response);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (!ec && self->response_.keep_alive())
            self->ReadNext();
        });
  }

  beast::tcp_stream stream_;
  PlatformServer& server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  PlatformServer::Response response_;
};

std::uint64_t Number(const std::map<std::string, std::string>& query,
                     const std::string& name) {
  auto it = query.find(name);
  return it == query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

double Share(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field == nullptr ? 0.0 : field->to_number<double>();
}

Duration Milliseconds(const json::object& object, std::string_view name) {
  return Duration(static_cast<std::int64_t>(Share(object, name) * 1000.0));
}

}  // namespace

struct PlatformServer::Target {
  std::string path;
  std::map<std::string, std::string> query;
};

PlatformServer::PlatformServer(asio::io_context& context,
                               const asio::ip::tcp::endpoint& endpoint,
                               std::uint64_t seed)
    : timers_(context), model_(seed), acceptor_(context, endpoint) {
  model_.AddListener([this](const std::string& key) { OnWrite(key); });
  Accept();
}

std::uint16_t PlatformServer::port() const {
  return acceptor_.local_endpoint().port();
}

PlatformServer::Target PlatformServer::ParseTarget(std::string_view text) {
  Target target;
  std::size_t mark = text.find('?');
  target.path = UnescapeKey(text.substr(0, mark)).value_or("");
  while (mark != std::string_view::npos) {
    text.remove_prefix(mark + 1);
    mark = text.find('&');
    std::string_view pair = text.substr(0, mark);
    std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      target.query[std::string(pair.substr(0, equals))] =
          pair.substr(equals + 1);
  }
  return target;
}

void PlatformServer::Accept() {
  acceptor_.async_accept(
      [this](beast::error_code ec, asio::ip::tcp::socket socket) {
        if (ec)
          return;
        std::make_shared<Session>(std::move(socket), *this)->ReadNext();
        Accept();
      });
}

void PlatformServer::Handle(const Request& request, const Responder& respond) {
  Target target = ParseTarget(request.target());
  if (target.path.starts_with("/v1/kv/"))
    HandleKv(request, target, respond);
  else if (target.path == "/v1/lease" && request.method() == http::verb::post)
    HandleLease(request, respond);
  else if (target.path.starts_with("/v1/watch/"))
    HandleWatch(target, respond);
  else if (target.path == "/v1/vms")
    HandleVms(target, respond);
  else if (target.path.starts_with("/admin/"))
    HandleAdmin(request, target, respond);
  else
    respond(Answer(http::status::not_found));
}

void PlatformServer::Serve(StoreCall call,
                           std::function<Response()> effect,
                           const Responder& respond) {
  CallPlan plan = model_.Plan(call, timers_.Now());
  if (plan.fate == CallFate::kRequestLost) {
    respond(std::nullopt);
    return;
  }
  timers_.ScheduleAfter(
      plan.half_latency, [this, plan, respond, effect = std::move(effect)] {
        Response response = effect();
        timers_.ScheduleAfter(plan.half_latency, [plan, respond, response] {
          if (plan.fate == CallFate::kReplyLost)
            respond(std::nullopt);
          else
            respond(response);
        });
      });
}

void PlatformServer::HandleKv(const Request& request,
                              const Target& target,
                              const Responder& respond) {
  std::string key = target.path.substr(std::string_view("/v1/kv/").size());
  if (request.method() == http::verb::get) {
    Serve(
        StoreCall::kRead, [this, key] { return AnswerOf(model_.Read(key)); },
        respond);
    return;
  }
  constexpr std::size_t kMaxValueBytes = 1024UL * 1024;
  if (request.method() != http::verb::put || !target.query.count("expected")) {
    respond(Answer(http::status::bad_request));
    return;
  }
  if (request.body().size() > kMaxValueBytes) {
    respond(Answer(http::status::payload_too_large));
    return;
  }
  StoreRevision expected(Number(target.query, "expected"));
  Serve(
      StoreCall::kWrite,
      [this, key, expected, value = request.body()] {
        return AnswerOf(model_.CompareAndSwap(key, expected, value));
      },
      respond);
}

void PlatformServer::HandleLease(const Request& request,
                                 const Responder& respond) {
  json::error_code ec;
  json::value body = json::parse(request.body(), ec);
  const json::object* object = ec ? nullptr : body.if_object();
  if (object == nullptr || !object->contains("name") ||
      !object->contains("holder")) {
    respond(Answer(http::status::bad_request));
    return;
  }
  std::string name(object->at("name").as_string());
  std::string holder(object->at("holder").as_string());
  Duration time_to_live = Milliseconds(*object, "ttl_ms");
  Serve(
      StoreCall::kLease,
      [this, name, holder, time_to_live] {
        LeaseReply lease =
            model_.AcquireLease(name, holder, time_to_live, timers_.Now());
        if (lease.status == StoreStatus::kConflict)
          return Answer(http::status::conflict);
        return Answer(http::status::ok, FormatLease(lease));
      },
      respond);
}

void PlatformServer::HandleWatch(const Target& target,
                                 const Responder& respond) {
  CallPlan plan = model_.Plan(StoreCall::kWatch, timers_.Now());
  if (plan.fate != CallFate::kServed) {
    respond(std::nullopt);
    return;
  }
  std::string key = target.path.substr(std::string_view("/v1/watch/").size());
  StoreRevision after(Number(target.query, "after"));
  std::uint64_t id = next_waiter_++;
  Duration timeout = std::chrono::milliseconds(
      static_cast<std::int64_t>(Number(target.query, "timeout_ms")));
  TimerId timer = timers_.ScheduleAfter(
      timeout, [this, id] { EndWait(id, Answer(http::status::no_content)); });
  waiters_[id] = Waiter{
      key, after, timer, [this, plan, respond](Response response) {
        timers_.ScheduleAfter(plan.half_latency * 2,
                              [respond, response] { respond(response); });
      }};
  OnWrite(key);
}

void PlatformServer::OnWrite(const std::string& key) {
  std::vector<std::pair<std::uint64_t, Response>> due;
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.key != key)
      continue;
    if (std::optional<StoreReply> reply = model_.WatchNow(key, waiter.after))
      due.emplace_back(id, AnswerOf(*reply));
  }
  for (std::pair<std::uint64_t, Response>& item : due)
    EndWait(item.first, std::move(item.second));
}

void PlatformServer::EndWait(std::uint64_t id, Response response) {
  auto it = waiters_.find(id);
  if (it == waiters_.end())
    return;
  Waiter waiter = std::move(it->second);
  waiters_.erase(it);
  timers_.Cancel(waiter.timer);
  waiter.done(std::move(response));
}

void PlatformServer::HandleVms(const Target& target, const Responder& respond) {
  VmListRevision known(Number(target.query, "after"));
  Serve(
      StoreCall::kVms,
      [this, known] {
        VmListReply reply = model_.Vms(known, timers_.Now());
        if (reply.status == StoreStatus::kNotFound)
          return Answer(http::status::no_content);
        return Answer(http::status::ok, FormatVms(reply.revision, reply.vms));
      },
      respond);
}

void PlatformServer::HandleAdmin(const Request& request,
                                 const Target& target,
                                 const Responder& respond) {
  if (target.path == "/admin/counters")
    respond(Counters());
  else if (target.path == "/admin/vms")
    respond(Answer(SetVms(request.body()) ? http::status::ok
                                          : http::status::bad_request));
  else if (target.path == "/admin/faults")
    respond(SetFaults(request.body()));
  else
    respond(Answer(http::status::not_found));
}

bool PlatformServer::SetVms(std::string_view body) {
  std::optional<VmListReply> list = ParseVms(body);
  if (!list)
    return false;
  json::value parsed = json::parse(json::string_view(body));
  model_.SetVms(std::move(list->vms), timers_.Now(),
                Milliseconds(parsed.as_object(), "lag_ms"));
  return true;
}

PlatformServer::Response PlatformServer::SetFaults(std::string_view body) {
  json::error_code ec;
  json::value parsed = json::parse(json::string_view(body), ec);
  if (ec || !parsed.is_object())
    return Answer(http::status::bad_request);
  const json::object& object = parsed.get_object();
  StoreFaults faults;
  const json::value* outage = object.if_contains("outage");
  faults.outage = outage != nullptr && *outage == json::value(true);
  if (object.contains("latency_ms"))
    faults.latency = Milliseconds(object, "latency_ms");
  faults.jitter = Milliseconds(object, "jitter_ms");
  faults.lost_requests = Share(object, "lost_requests");
  faults.lost_replies = Share(object, "lost_replies");
  faults.lapsed_leases = Share(object, "lapsed_leases");
  model_.SetFaults(faults);
  return Answer(http::status::ok);
}

PlatformServer::Response PlatformServer::Counters() const {
  json::object object;
  object["read"] = model_.count(StoreCall::kRead);
  object["write"] = model_.count(StoreCall::kWrite);
  object["lease"] = model_.count(StoreCall::kLease);
  object["watch"] = model_.count(StoreCall::kWatch);
  object["vms"] = model_.count(StoreCall::kVms);
  return Answer(http::status::ok, json::serialize(object));
}

}  // namespace jujubecove

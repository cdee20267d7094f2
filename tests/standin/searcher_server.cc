#include "tests/standin/searcher_server.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "upstream/report_codec.h"
#include "upstream/wire.h"

namespace jujubecove::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

std::optional<std::uint64_t> ParseNumber(string_view text) {
  std::uint64_t value = 0;
  std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || result.ec != std::errc() ||
      result.ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

string_view FieldOf(const Request& request, std::string_view name) {
  return request[string_view(name.data(), name.size())];
}

void SetField(Response& response, std::string_view name, std::string value) {
  response.set(string_view(name.data(), name.size()), value);
}

// Returns empty when a required header field is missing or malformed.
std::optional<ExecuteRequest> ParseExecute(const Request& request) {
  std::optional<std::uint64_t> map =
      ParseNumber(FieldOf(request, wire::kShardMapHeader));
  std::optional<std::uint64_t> deadline =
      ParseNumber(FieldOf(request, wire::kDeadlineHeader));
  string_view index = FieldOf(request, wire::kIndexVersionHeader);
  string_view attempt = FieldOf(request, wire::kAttemptHeader);
  if (!map || !deadline || attempt.empty())
    return std::nullopt;
  ExecuteRequest result;
  result.attempt = std::string(attempt);
  result.shard = ShardId(std::string(FieldOf(request, wire::kShardHeader)));
  result.map_version = ShardMapVersion(*map);
  result.remaining = Duration(static_cast<std::int64_t>(*deadline) * 1000);
  result.idempotency_key =
      std::string(FieldOf(request, wire::kIdempotencyKeyHeader));
  if (!index.empty()) {
    std::optional<std::uint64_t> version = ParseNumber(index);
    if (!version)
      return std::nullopt;
    result.index_version = IndexVersion(*version);
  }
  return result;
}

}  // namespace

class SearcherServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(SearcherServer& server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {}

  // Delays the first read by `connect_cost`, to simulate a handshake.
  void Start(Duration connect_cost) {
    server_.timers_.ScheduleAfter(
        connect_cost, [self = shared_from_this()] { self->Read(); });
  }

  void Silence() { silent_ = true; }
  void Close() {
    error_code ec;
    socket_.close(ec);
  }

 private:
  void Read() {
    parser_.emplace();
    parser_->body_limit(2U << 20U);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       self->OnRead(ec);
                     });
  }

  void OnRead(error_code ec) {
    if (silent_)
      return;
    if (ec) {
      End();
      return;
    }
    Request request = parser_->release();
    string_view target = request.target();
    if (target == wire::kExecutePath.data())
      Execute(request);
    else if (target == wire::kPingPath.data())
      Write(Response(http::status::ok, 11));
    else if (target == wire::kCancelPath.data())
      Cancel(request);
    else
      Write(MakeReportOrMapResponse(target));
  }

  void Execute(const Request& request) {
    server_.CountArrival();
    std::optional<ExecuteRequest> execute = ParseExecute(request);
    if (!execute) {
      Write(Response(http::status::bad_request, 11));
      return;
    }
    std::string attempt = execute->attempt;
    server_.model_->Execute(
        std::move(*execute),
        [self = shared_from_this(), attempt](const ExecuteReply& reply) {
          self->Answer(attempt, reply);
        });
  }

  void Cancel(const Request& request) {
    server_.model_->Cancel(std::string(FieldOf(request, wire::kAttemptHeader)));
    Write(Response(http::status::ok, 11));
  }

  Response MakeReportOrMapResponse(string_view target) {
    string_view prefix(wire::kMapPathPrefix.data(),
                       wire::kMapPathPrefix.size());
    Response response(http::status::ok, 11);
    const SearcherModel& model = *server_.model_;
    if (target == wire::kReportPath.data()) {
      response.body() =
          EncodeReport(VersionedReport{model.Report(), model.generation()});
      return response;
    }
    std::optional<std::uint64_t> version;
    if (target.starts_with(prefix))
      version = ParseNumber(target.substr(prefix.size()));
    if (version)
      response.body() =
          EncodeShardMap(*model.topology().MapOf(ShardMapVersion(*version)));
    else
      response.result(http::status::not_found);
    return response;
  }

  void Answer(const std::string& attempt, const ExecuteReply& reply) {
    if (reply.status == ExecuteStatus::kNoReply) {
      End();
      return;
    }
    Response response(http::status::ok, 11);
    const SearcherModel& model = *server_.model_;
    SetField(response, wire::kAttemptHeader, attempt);
    SetField(response, wire::kReportHeader, std::to_string(model.generation()));
    SetField(response, wire::kLoadHeader,
             std::to_string(model.reported_in_flight()) + "/" +
                 std::to_string(model.parameters().slots));
    if (model.faults().draining)
      SetField(response, wire::kDrainingHeader, "1");
    if (reply.status == ExecuteStatus::kFailed) {
      response.result(http::status::internal_server_error);
    } else if (reply.status == ExecuteStatus::kNotRun) {
      response.result(http::status::service_unavailable);
      SetField(response, wire::kNotRunHeader, reply.reason);
    } else {
      SetField(response, wire::kShardHeader, reply.shard.value());
      SetField(response, wire::kShardMapHeader,
               std::to_string(reply.map_version.value()));
      SetField(response, wire::kIndexVersionHeader,
               std::to_string(reply.index_version.value()));
      response.body() = reply.body;
    }
    Write(std::move(response));
  }

  void Write(Response response) {
    if (silent_ || !socket_.is_open())
      return;
    response_ = std::move(response);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (ec)
                          self->End();
                        else
                          self->Read();
                      });
  }

  void End() {
    Close();
    server_.sessions_.erase(shared_from_this());
  }

  SearcherServer& server_;
  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  Response response_;
  bool silent_ = false;
};

SearcherServer::SearcherServer(asio::io_context& context,
                               AsioTimerService& timers,
                               const asio::ip::tcp::endpoint& endpoint,
                               std::unique_ptr<SearcherModel> model)
    : context_(context),
      timers_(timers),
      acceptor_(context, endpoint),
      model_(std::move(model)) {
  Accept();
}

SearcherServer::~SearcherServer() = default;

void SearcherServer::Accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (ec)
      return;
    OnAccept(std::move(socket));
    Accept();
  });
}

void SearcherServer::OnAccept(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  if (model_->faults().down)
    return;
  if (sessions_.size() >= model_->parameters().connections) {
    ++counters_.over_limit;
    return;
  }
  error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  std::shared_ptr<Session> session =
      std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  counters_.max_connections =
      std::max(counters_.max_connections, sessions_.size());
  session->Start(model_->parameters().connect_cost);
}

void SearcherServer::CountArrival() {
  ++counters_.arrived;
  if (!drain_started_)
    return;
  ++counters_.arrived_draining;
  counters_.last_arrival_after_drain = timers_.Now() - *drain_started_;
}

void SearcherServer::SetFaults(const SearcherFaults& faults) {
  if (faults.draining && !drain_started_)
    drain_started_ = timers_.Now();
  if (!faults.draining)
    drain_started_.reset();
  bool crashes = faults.down && !model_->faults().down;
  model_->SetFaults(faults);
  if (!crashes)
    return;
  std::set<std::shared_ptr<Session>> sessions = std::move(sessions_);
  sessions_.clear();
  for (const std::shared_ptr<Session>& it : sessions)
    it->Close();
}

// Silenced connections no longer count against the limit, as if the searcher
// had dropped its side of them.
void SearcherServer::SilenceOpenConnections() {
  for (const std::shared_ptr<Session>& it : sessions_) {
    it->Silence();
    silenced_sessions_.push_back(it);
  }
  sessions_.clear();
}

SearcherCounters SearcherServer::counters() const {
  SearcherCounters counters = counters_;
  counters.executed = model_->executed();
  counters.refused = model_->refused();
  counters.connections = sessions_.size();
  return counters;
}

}  // namespace jujubecove::standin

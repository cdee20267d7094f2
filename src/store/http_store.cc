#include "store/http_store.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "store/store_codec.h"

namespace jujubecove {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A value of a megabyte can grow sixfold when every byte is escaped in JSON.
constexpr std::uint64_t kMaxReplyBytes = 8ULL * 1024 * 1024;
// Idle connections beyond this are closed after their call.
constexpr std::size_t kMaxIdleConnections = 4;

}  // namespace

struct HttpStore::Pool {
  Pool(asio::io_context& io, HttpStoreOptions settings)
      : context(io), options(settings) {}

  asio::io_context& context;
  HttpStoreOptions options;
  std::vector<std::unique_ptr<beast::tcp_stream>> idle;
  bool closed = false;
};

struct HttpStore::Call : std::enable_shared_from_this<HttpStore::Call> {
  Call(std::shared_ptr<Pool> shared_pool, ReplyHandler on_reply)
      : pool(std::move(shared_pool)), handler(std::move(on_reply)) {
    parser.body_limit(kMaxReplyBytes);
  }

  void Begin(bool may_reuse) {
    if (may_reuse && !pool->idle.empty()) {
      stream = std::move(pool->idle.back());
      pool->idle.pop_back();
      reused = true;
      stream->expires_after(timeout);
      asio::post(pool->context, [self = shared_from_this()] { self->Write(); });
      return;
    }
    stream = std::make_unique<beast::tcp_stream>(pool->context);
    stream->expires_after(timeout);
    stream->async_connect(pool->options.endpoint,
                          [self = shared_from_this()](beast::error_code ec) {
                            ec ? self->Finish(HttpReply{}) : self->Write();
                          });
  }

  void Write() {
    http::async_write(
        *stream, request,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          ec ? self->Finish(HttpReply{0, true, {}}) : self->ReadReply();
        });
  }

  void ReadReply() {
    http::async_read(
        *stream, buffer, parser,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          self->OnRead(ec);
        });
  }

  void OnRead(beast::error_code ec) {
    if (ec) {
      Finish(HttpReply{0, true, {}});
      return;
    }
    if (parser.get().keep_alive() && !pool->closed &&
        pool->idle.size() < kMaxIdleConnections) {
      stream->expires_never();
      pool->idle.push_back(std::move(stream));
    }
    Finish(HttpReply{parser.get().result_int(), true,
                     std::move(parser.get().body())});
  }

  void Finish(HttpReply reply) {
    // A kept connection that the platform has closed meanwhile says nothing of
    // the platform itself. Only calls without effect are repeated.
    if (reused && reply.status == 0 && request.method() == http::verb::get &&
        !pool->closed) {
      reused = false;
      buffer.clear();
      Begin(false);
      return;
    }
    if (!pool->closed)
      handler(std::move(reply));
  }

  std::shared_ptr<Pool> pool;
  ReplyHandler handler;
  std::chrono::steady_clock::duration timeout{};
  std::unique_ptr<beast::tcp_stream> stream;
  bool reused = false;
  http::request<http::string_body> request;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
};

HttpStore::HttpStore(asio::io_context& context, HttpStoreOptions options)
    : pool_(std::make_shared<Pool>(context, options)) {}

HttpStore::~HttpStore() {
  pool_->closed = true;
  pool_->idle.clear();
}

void HttpStore::Start(http::verb verb,
                      const std::string& target,
                      std::string body,
                      Duration timeout,
                      ReplyHandler handler) {
  std::shared_ptr<Call> call =
      std::make_shared<Call>(pool_, std::move(handler));
  call->timeout = timeout;
  call->request = http::request<http::string_body>(verb, target, 11);
  call->request.set(http::field::host,
                    pool_->options.endpoint.address().to_string());
  call->request.body() = std::move(body);
  call->request.prepare_payload();
  call->Begin(true);
}

StoreReply HttpStore::ReadReply(const HttpReply& reply) {
  if (reply.status == 404)
    return StoreReply{StoreStatus::kNotFound};
  if (reply.status == 200) {
    if (std::optional<StoreReply> value = ParseValue(reply.body))
      return *value;
  }
  // A read has no effect, so a lost reply to it is as good as none.
  return StoreReply{StoreStatus::kUnavailable};
}

StoreReply HttpStore::WriteReply(const HttpReply& reply) {
  if (!reply.sent)
    return StoreReply{StoreStatus::kUnavailable};
  if (reply.status == 409)
    return StoreReply{StoreStatus::kConflict};
  // A request that the platform rejects as invalid was not carried out.
  if (reply.status >= 400 && reply.status < 500 && reply.status != 408)
    return StoreReply{StoreStatus::kUnavailable};
  if (reply.status == 200) {
    if (std::optional<StoreReply> value = ParseValue(reply.body))
      return *value;
  }
  return StoreReply{StoreStatus::kUnknown};
}

StoreReply HttpStore::WatchReply(const HttpReply& reply) {
  if (reply.status == 204)
    return StoreReply{StoreStatus::kNotFound};
  if (reply.status == 410)
    return StoreReply{StoreStatus::kCompacted};
  if (reply.status == 404)
    return StoreReply{StoreStatus::kUnavailable};
  return ReadReply(reply);
}

void HttpStore::Read(const std::string& key, Handler handler) {
  Start(http::verb::get, "/v1/kv/" + EscapeKey(key), "",
        pool_->options.call_timeout,
        [handler = std::move(handler)](const HttpReply& reply) {
          handler(ReadReply(reply));
        });
}

void HttpStore::CompareAndSwap(const std::string& key,
                               StoreRevision expected,
                               std::string value,
                               Handler handler) {
  Start(http::verb::put,
        "/v1/kv/" + EscapeKey(key) +
            "?expected=" + std::to_string(expected.value()),
        std::move(value), pool_->options.call_timeout,
        [handler = std::move(handler)](const HttpReply& reply) {
          handler(WriteReply(reply));
        });
}

void HttpStore::AcquireLease(const std::string& name,
                             const std::string& holder,
                             Duration time_to_live,
                             LeaseHandler handler) {
  Start(http::verb::post, "/v1/lease",
        FormatLeaseRequest(name, holder, time_to_live),
        pool_->options.call_timeout,
        [handler = std::move(handler)](const HttpReply& reply) {
          if (reply.status == 200) {
            if (std::optional<LeaseReply> lease = ParseLease(reply.body)) {
              handler(*lease);
              return;
            }
          }
          if (reply.status == 409)
            handler(LeaseReply{StoreStatus::kConflict});
          else
            handler(LeaseReply{reply.sent ? StoreStatus::kUnknown
                                          : StoreStatus::kUnavailable});
        });
}

void HttpStore::Watch(const std::string& key,
                      StoreRevision after,
                      Duration timeout,
                      Handler handler) {
  std::int64_t timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  Start(http::verb::get,
        "/v1/watch/" + EscapeKey(key) +
            "?after=" + std::to_string(after.value()) +
            "&timeout_ms=" + std::to_string(timeout_ms),
        "", pool_->options.call_timeout + timeout,
        [handler = std::move(handler)](const HttpReply& reply) {
          handler(WatchReply(reply));
        });
}

void HttpStore::Fetch(VmListRevision known, VmHandler handler) {
  Start(http::verb::get, "/v1/vms?after=" + std::to_string(known.value()), "",
        pool_->options.call_timeout,
        [handler = std::move(handler)](const HttpReply& reply) {
          if (reply.status == 204) {
            handler(VmListReply{StoreStatus::kNotFound});
            return;
          }
          std::optional<VmListReply> list;
          if (reply.status == 200)
            list = ParseVms(reply.body);
          handler(list ? std::move(*list) : VmListReply{});
        });
}

Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  std::size_t colon = text.rfind(':');
  Error error{ErrorKind::kBadRequest, "not an ip:port: " + text};
  if (colon == std::string::npos)
    return error;
  boost::system::error_code ec;
  asio::ip::address address = asio::ip::make_address(text.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
    return error;
  return asio::ip::tcp::endpoint(address, port);
}

}  // namespace jujubecove

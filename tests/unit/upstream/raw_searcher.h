#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace jujubecove {

// A request as received.
struct RawRequest {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;
  // Number of the session that received it.
  int session = 0;

  std::string Header(const std::string& name) const {
    auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// A searcher on a loopback socket. The test decides which bytes it sends.
class RawSearcher {
 public:
  class Session : public std::enable_shared_from_this<Session> {
   public:
    Session(boost::asio::ip::tcp::socket socket, RawSearcher& owner, int number)
        : socket_(std::move(socket)), owner_(owner), number_(number) {}

    void Start() {
      socket_.async_read_some(
          boost::asio::buffer(buffer_),
          [self = shared_from_this()](const boost::system::error_code& ec,
                                      std::size_t n) {
            if (ec) {
              self->ended_ = true;
              return;
            }
            self->pending_.append(self->buffer_.data(), n);
            self->ParseRequests();
            if (self->socket_.is_open())
              self->Start();
          });
    }
    void Write(const std::string& bytes) {
      boost::system::error_code ec;
      boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
    }
    // For replies that exceed the socket buffer.
    void WriteAsync(std::string bytes) {
      auto held = std::make_shared<std::string>(std::move(bytes));
      boost::asio::async_write(
          socket_, boost::asio::buffer(*held),
          [held](const boost::system::error_code&, std::size_t) {});
    }
    void Close() {
      boost::system::error_code ec;
      socket_.close(ec);
      ended_ = true;
    }
    // Index in the order of acceptance, from zero.
    int number() const { return number_; }
    // Whether either side has closed the connection.
    bool ended() const { return ended_; }

   private:
    void ParseRequests();

    boost::asio::ip::tcp::socket socket_;
    RawSearcher& owner_;
    int number_;
    bool ended_ = false;
    std::array<char, 65'536> buffer_;
    std::string pending_;
  };

  using Handler = std::function<void(Session&, const RawRequest&)>;

  RawSearcher(boost::asio::io_context& context, Handler handler)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        id_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())),
        handler_(std::move(handler)) {
    Accept();
  }
  ~RawSearcher() {
    for (const std::shared_ptr<Session>& session : sessions)
      session->Close();
  }

  const SearcherId& id() const { return id_; }
  void StopAccepting() { acceptor_.close(); }
  std::size_t OpenSessions() const {
    std::size_t count = 0;
    for (const std::shared_ptr<Session>& session : sessions)
      count += session->ended() ? 0 : 1;
    return count;
  }

  std::vector<std::shared_ptr<Session>> sessions;
  std::vector<RawRequest> requests;

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& ec,
                                  boost::asio::ip::tcp::socket socket) {
      if (ec)
        return;
      sessions.push_back(std::make_shared<Session>(
          std::move(socket), *this, static_cast<int>(sessions.size())));
      sessions.back()->Start();
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  SearcherId id_;
  Handler handler_;
};

inline void RawSearcher::Session::ParseRequests() {
  while (socket_.is_open()) {
    std::size_t end = pending_.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    RawRequest request;
    std::size_t at = pending_.find("\r\n");
    request.start_line = pending_.substr(0, at);
    while (at < end) {
      std::size_t begin = at + 2;
      at = pending_.find("\r\n", begin);
      std::string line = pending_.substr(begin, at - begin);
      std::size_t colon = line.find(": ");
      request.headers[line.substr(0, colon)] = line.substr(colon + 2);
    }
    std::size_t length = static_cast<std::size_t>(
        std::atoi(request.Header("Content-Length").c_str()));
    if (pending_.size() < end + 4 + length)
      return;
    request.body = pending_.substr(end + 4, length);
    pending_.erase(0, end + 4 + length);
    request.session = number_;
    owner_.requests.push_back(request);
    owner_.handler_(*this, request);
  }
}

// The reply of a well-behaved searcher to an attempt.
inline std::string GoodReply(const RawRequest& request,
                             const std::string& body = "[1]",
                             const std::string& extra_headers = "") {
  return "HTTP/1.1 200 OK\r\nJujubecove-Attempt: " +
         request.Header("Jujubecove-Attempt") +
         "\r\nJujubecove-Shard: " + request.Header("Jujubecove-Shard") +
         "\r\nJujubecove-Shard-Map: " + request.Header("Jujubecove-Shard-Map") +
         "\r\nJujubecove-Index-Version: 41\r\nJujubecove-Load: 1/2\r\n" +
         extra_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string PlainReply(const std::string& body = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string StatusReply(const RawRequest& request,
                               const std::string& status,
                               const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status +
         "\r\nJujubecove-Attempt: " + request.Header("Jujubecove-Attempt") +
         "\r\n" + extra_headers + "Content-Length: 0\r\n\r\n";
}

}  // namespace jujubecove

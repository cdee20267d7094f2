#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace jujubecove::standin {

// A minimal HTTP server for the controls of a stand-in.
class AdminServer {
 public:
  // Called with method, path and body; `respond` takes a status and a body.
  using Respond = std::function<void(unsigned, std::string)>;
  using Handler = std::function<void(const std::string&,
                                     const std::string&,
                                     const std::string&,
                                     Respond)>;

  AdminServer(boost::asio::io_context& context,
              std::uint16_t port,
              Handler handler);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
};

}  // namespace jujubecove::standin

#include "settings/socket_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace jujubecove {

std::string SocketAddress::ToString() const {
  std::string host = ip.find(':') == std::string::npos ? ip : "[" + ip + "]";
  return host + ":" + std::to_string(port);
}

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  std::string_view digits = text.substr(colon + 1);
  bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  boost::system::error_code ec;
  boost::asio::ip::address address =
      boost::asio::ip::make_address(std::string(host), ec);
  if (ec || address.is_v6() != bracketed)
    return std::nullopt;
  std::uint16_t port = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (digits.empty() || error != std::errc() ||
      end != digits.data() + digits.size())
    return std::nullopt;
  return SocketAddress{address.to_string(), port};
}

}  // namespace jujubecove

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove {

// An IP address, in its canonical text form, and a port. Host names are not
// resolved.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  // "ip:port", with brackets around an IPv6 address.
  std::string ToString() const;
  static std::optional<SocketAddress> Parse(std::string_view text);

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

}  // namespace jujubecove

#pragma once

#include <cstdint>
#include <string>

namespace jujubecove::bench {

struct HttpReply {
  // 0 when there was no reply.
  unsigned status = 0;
  std::string body;
};

// One blocking request to a port of the loopback address.
HttpReply Fetch(std::uint16_t port,
                const std::string& method,
                const std::string& target,
                const std::string& body = {});

}  // namespace jujubecove::bench

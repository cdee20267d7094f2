#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Limits on the resources that callers can use.
struct ApiLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  // From accepting a connection to the first byte of its first request.
  Duration first_byte_timeout = std::chrono::seconds(10);
  // From the first byte of a request to the last byte of its header.
  Duration header_timeout = std::chrono::seconds(5);
  // From the last byte of the header to the last byte of the body.
  Duration body_timeout = std::chrono::seconds(10);
  // From the end of an answer to the first byte of the next request.
  Duration idle_timeout = std::chrono::seconds(60);
  // For writing an answer to the caller.
  Duration write_timeout = std::chrono::seconds(10);
  // For the caller to close the connection after its last answer.
  Duration linger_timeout = std::chrono::seconds(1);
  std::uint32_t connections = 1024;
  // Requests forwarded to the query thread and not yet answered.
  std::uint32_t requests_in_flight = 4096;
  // Capacity of the ring to the query thread, in messages.
  std::uint32_t ring_capacity = 4096;
};

}  // namespace jujubecove

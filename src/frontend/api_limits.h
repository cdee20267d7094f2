#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace jujubecove {

// Bounds on what callers can make the frontend keep.
struct ApiLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 1024 * 1024;
  // From accepting a connection to the first byte of its first request.
  Duration first_byte_timeout = std::chrono::seconds(10);
  // From the first byte of a request to the last byte of its header.
  Duration header_timeout = std::chrono::seconds(5);
  // From the last byte of the header to the last byte of the body.
  Duration body_timeout = std::chrono::seconds(10);
  // From an answer to the first byte of the next request.
  Duration idle_timeout = std::chrono::seconds(60);
  // For the caller to take an answer.
  Duration write_timeout = std::chrono::seconds(10);
  // After an answer that ends the connection, for the caller to close it.
  Duration linger_timeout = std::chrono::seconds(1);
  std::uint32_t connections = 1024;
  // Requests that were sent to the query thread and have not been answered.
  std::uint32_t requests_in_flight = 4096;
  // Messages in the ring to the query thread.
  std::uint32_t ring_capacity = 4096;
};

}  // namespace jujubecove

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "api/request_reader.h"
#include "tests/fuzz/fuzz_entry.h"

namespace jujubecove {
namespace {

// Returns the complete requests, one per line. The error of a malformed request
// is left out, since it can depend on how much of the input has arrived.
std::string ReadInput(const std::uint8_t* data,
                      std::size_t size,
                      std::size_t piece) {
  ApiLimits limits;
  limits.header_bytes = 4'096;
  limits.body_bytes = 4'096;
  RequestReader reader(limits);
  boost::beast::flat_buffer buf;
  std::string read;
  for (std::size_t at = 0; at < size; at += piece) {
    std::size_t n = std::min(piece, size - at);
    boost::asio::buffer_copy(buf.prepare(n), boost::asio::buffer(data + at, n));
    buf.commit(n);
    while (reader.Read(buf) == RequestReader::State::kComplete) {
      read += std::string(NameOf(reader.request().endpoint)) + " " +
              reader.request().query.kind.value() + " " +
              reader.request().query.key + " " + reader.TakeBody() + "\n";
      reader.Reset();
    }
    if (reader.state() == RequestReader::State::kFailed)
      return read;
    if (buf.size() > reader.BufferBytes()) {
      std::cerr << "the reader leaves " << buf.size()
                << " bytes in the buffer\n";
      std::abort();
    }
  }
  return read;
}

}  // namespace
}  // namespace jujubecove

// Aborts when the requests read depend on the size of the pieces in which the
// input arrives, or when more bytes stay buffered than BufferBytes() allows.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string whole = jujubecove::ReadInput(data, size, size + 1);
  for (std::size_t piece : {1, 3}) {
    std::string pieces = jujubecove::ReadInput(data, size, piece);
    if (whole != pieces) {
      std::cerr << "read differently in pieces of " << piece << ":\n"
                << whole << "\n---\n"
                << pieces << "\n";
      std::abort();
    }
  }
  return 0;
}

std::vector<std::string> FuzzSeeds() {
  const std::string query =
      "POST /v1/query/payout-search HTTP/1.1\r\nHost: x\r\n";
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  std::vector<std::string> seeds;
  seeds.push_back(
      query +
      "Jujubecove-Deadline-Ms: 80\r\nJujubecove-Caller: a\r\n"
      "Jujubecove-Key: k\r\nIdempotency-Key: t\r\ntraceparent: 00-" +
      trace_id + "-00f067aa0ba902b7-01\r\nContent-Length: 5\r\n\r\n[1,2]");
  seeds.push_back(query +
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: v\r\n\r\n");
  seeds.push_back(query + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  seeds.push_back(query +
                  "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n{}");
  seeds.emplace_back(
      "POST /v1/tickets?count=3 HTTP/1.1\r\nHost: x\r\n"
      "Content-Length: 0\r\n\r\n");
  seeds.emplace_back("GET /readyz HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  return seeds;
}

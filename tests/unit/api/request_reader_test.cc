#include "api/request_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/buffer.hpp>
#include <cstring>
#include <string>
#include <vector>

namespace jujubecove {
namespace {

struct Outcome {
  std::vector<std::string> bodies;
  RequestReader::State end = RequestReader::State::kEmpty;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// Reads a stream that arrives in pieces, split at the given positions.
Outcome ReadAll(const std::string& text,
                std::vector<std::size_t> split_points) {
  RequestReader reader((ApiLimits()));
  boost::beast::flat_buffer buf;
  Outcome outcome;
  split_points.push_back(text.size());
  std::size_t from = 0;
  for (std::size_t to : split_points) {
    if (to <= from)
      continue;
    boost::asio::buffer_copy(
        buf.prepare(to - from),
        boost::asio::buffer(text.data() + from, to - from));
    buf.commit(to - from);
    from = to;
    while (reader.Read(buf) == RequestReader::State::kComplete) {
      outcome.bodies.push_back(reader.request().query.kind.value() + ":" +
                               reader.TakeBody());
      reader.Reset();
    }
    if (reader.state() == RequestReader::State::kFailed)
      break;
  }
  outcome.end = reader.state();
  return outcome;
}

std::string Request(const std::string& body, bool chunked) {
  std::string text = "POST /v1/query/k HTTP/1.1\r\nHost: x\r\n";
  if (!chunked)
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (char c : body)
    text += std::string("1\r\n") + c + "\r\n";
  return text + "0\r\n\r\n";
}

// Beast asserts on a last chunk that arrives in pieces, so a caller could abort
// the process.
TEST(RequestReaderTest, ReadsEmptyChunkedBodyByteByByte) {
  for (const char* last : {"0\r\n\r\n", "000\r\n\r\n", "0;x=y\r\n\r\n",
                           "0\r\nTrailer: v\r\n\r\n"}) {
    std::string text =
        "POST /v1/query/k HTTP/1.1\r\nHost: x\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        std::string(last);
    std::vector<std::size_t> split_points;
    for (std::size_t n = 1; n < text.size(); ++n)
      split_points.push_back(n);
    EXPECT_EQ(ReadAll(text, split_points).bodies,
              std::vector<std::string>{"k:"})
        << last;
  }
}

// The result must not depend on how the bytes are split, and bytes of one
// request must not be read as part of the next.
RC_GTEST_PROP(RequestReaderPropertyTest, ReadsSameRequestsForAnySplit, ()) {
  std::string text;
  Outcome expected;
  for (const std::string& body : *rc::gen::container<std::vector<std::string>>(
           rc::gen::arbitrary<std::string>())) {
    text += Request(body, *rc::gen::arbitrary<bool>());
    expected.bodies.push_back("k:" + body);
  }
  std::vector<std::size_t> split_points =
      *rc::gen::container<std::vector<std::size_t>>(
          rc::gen::inRange<std::size_t>(0, text.size() + 1));
  std::sort(split_points.begin(), split_points.end());
  RC_ASSERT(ReadAll(text, split_points) == expected);
}

// Malformed requests must not crash the reader or be read differently when they
// arrive in pieces.
RC_GTEST_PROP(RequestReaderPropertyTest,
              ReadsCorruptedRequestsSameForAnySplit,
              ()) {
  std::string text = Request("first", true) + Request("second", false);
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  std::vector<std::size_t> split_points =
      *rc::gen::container<std::vector<std::size_t>>(
          rc::gen::inRange<std::size_t>(0, text.size() + 1));
  std::sort(split_points.begin(), split_points.end());
  RC_ASSERT(ReadAll(text, split_points).bodies == ReadAll(text, {}).bodies);
}

}  // namespace
}  // namespace jujubecove

#include "upstream/reply_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

#include "raw_searcher.h"

namespace jujubecove {
namespace {

RawRequest SampleRequest(std::uint64_t attempt) {
  RawRequest request;
  request.headers["Jujubecove-Attempt"] = "abc-5-" + std::to_string(attempt);
  request.headers["Jujubecove-Shard"] = "s0";
  request.headers["Jujubecove-Shard-Map"] = "7";
  return request;
}

// Guards against results that depend on how the bytes are split into reads, and
// against taking bytes of the next reply for part of this one.
RC_GTEST_PROP(ReplyReaderProperty, SplitsRepliesRegardlessOfReadSizes, ()) {
  std::string first_body = *rc::gen::string<std::string>();
  std::string second_body = *rc::gen::string<std::string>();
  auto first_attempt = *rc::gen::arbitrary<std::uint64_t>();
  auto second_attempt = *rc::gen::arbitrary<std::uint64_t>();
  std::string first = GoodReply(SampleRequest(first_attempt), first_body);
  std::string second = GoodReply(SampleRequest(second_attempt), second_body);
  std::string bytes = first + second;
  ReplyReader reader;
  std::size_t consumed = 0;
  for (std::size_t end = 0; reader.state() == ReadState::kNeedMore;) {
    RC_ASSERT(end < bytes.size());
    end = std::min(bytes.size(), end + *rc::gen::inRange<std::size_t>(1, 80));
    consumed += reader.Feed(bytes.data() + consumed, end - consumed);
  }
  RC_ASSERT(reader.state() == ReadState::kComplete);
  RC_ASSERT(consumed == first.size());
  RC_ASSERT(reader.reply().body == first_body);
  RC_ASSERT(reader.reply().attempt == "abc-5-" + std::to_string(first_attempt));
  reader.Reset();
  RC_ASSERT(reader.Feed(bytes.data() + consumed, second.size()) ==
            second.size());
  RC_ASSERT(reader.reply().body == second_body);
  RC_ASSERT(reader.reply().attempt ==
            "abc-5-" + std::to_string(second_attempt));
}

// Guards against accepting a truncated reply as complete.
RC_GTEST_PROP(ReplyReaderProperty, TruncatedReplyIsNeverComplete, ()) {
  std::string body = *rc::gen::string<std::string>();
  std::string reply = GoodReply(SampleRequest(1), body);
  auto length = *rc::gen::inRange<std::size_t>(0, reply.size());
  ReplyReader reader;
  reader.Feed(reply.data(), length);
  RC_ASSERT(reader.state() == ReadState::kNeedMore);
}

// Guards against an assertion failure in Beast's chunk parser that would abort
// the daemon. A last chunk that arrives in pieces triggers it.
TEST(ReplyReaderTest, RejectsChunkedReplies) {
  std::string reply =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  ReplyReader reader;
  for (std::size_t n = 0;
       n < reply.size() && reader.state() == ReadState::kNeedMore;)
    n += reader.Feed(reply.data() + n, reply.size() - n);
  EXPECT_EQ(reader.state(), ReadState::kInvalid);
}

// Guards against a status that is none, which is taken for a reply.
TEST(ReplyReaderTest, OnlyFinalStatusesAreReplies) {
  for (int status = 0; status < 1000; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    std::string reply = GoodReply(SampleRequest(1));
    reply.replace(reply.find("200"), 3, digits);
    ReplyReader reader;
    reader.Feed(reply.data(), reply.size());
    bool is_final = status >= 200 && status <= 599;
    EXPECT_EQ(reader.state(),
              is_final ? ReadState::kComplete : ReadState::kInvalid)
        << digits;
  }
}

}  // namespace
}  // namespace jujubecove

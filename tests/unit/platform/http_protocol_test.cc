#include "platform/http_protocol.h"

#include <gtest/gtest.h>

namespace jujubecove::platform {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

AttemptReply Decode(int status, HeaderFields headers) {
  WireReply reply;
  reply.status = status;
  reply.headers = std::move(headers);
  return PlatformSearcherProtocol().DecodeReply(std::move(reply));
}

Result<ForwardedRequest> DecodeRequest(const std::string& deadline) {
  IngressRequest request;
  request.method = "GET";
  request.target = "/a";
  request.headers = {
      {"Host", "h"}, {"Request-Id", "r1"}, {"Deadline-Ms", deadline}};
  return PlatformCallerProtocol().DecodeRequest(std::move(request),
                                                TimePoint{});
}

TEST(SearcherProtocolTest, DecodesLeavingInRepliesOfAnyStatus) {
  for (int status : {200, 400, 500, 503, 504}) {
    EXPECT_TRUE(Decode(status, {{"Server-Leaving", "1"}}).leaving) << status;
    EXPECT_TRUE(Decode(status, {{"server-leaving", " 1 "}}).leaving) << status;
    EXPECT_FALSE(Decode(status, {{"Server-Leaving", "0"}}).leaving) << status;
    EXPECT_FALSE(Decode(status, {}).leaving) << status;
  }
}

struct RetryAfterCase {
  const char* text;
  std::optional<Duration> wish;
};

// The wish of a searcher is kept, but no value may overflow or turn negative.
TEST(SearcherProtocolTest, DecodesRetryAfterOfRefusal) {
  for (const RetryAfterCase& it : std::vector<RetryAfterCase>{
           {"4", seconds(4)},
           {"0", Duration(0)},
           {"2.5", milliseconds(2500)},
           {" 0.25 ", milliseconds(250)},
           {"100000", seconds(600)},
           {"99999999999999999999999999", seconds(600)},
           {"-1", std::nullopt},
           {"+1", std::nullopt},
           {"1e3", std::nullopt},
           {"nan", std::nullopt},
           {"inf", std::nullopt},
           {"", std::nullopt},
           {"Fri, 31 Dec 1999 23:59:59 GMT", std::nullopt}}) {
    AttemptReply reply =
        Decode(503, {{"Not-Executed", "1"}, {"Retry-After", it.text}});
    EXPECT_EQ(reply.retry_after, it.wish) << it.text;
    EXPECT_EQ(reply.outcome, AttemptResult::kRejected);
  }
  EXPECT_FALSE(Decode(200, {{"Retry-After", "4"}}).retry_after);
}

TEST(SearcherProtocolTest, IgnoresImpossibleLoad) {
  EXPECT_TRUE(Decode(200, {{"Server-Load", "3,0,8"}}).load);
  EXPECT_TRUE(Decode(200, {{"Server-Load", "3, 0, 8, 100"}}).load);
  for (const char* text :
       {"4294967299,0,8", "9223372036854775807,0,8", "99999999999999999999,0,8",
        "-1,0,8", "3,0", "", "a,b,c"})
    EXPECT_FALSE(Decode(200, {{"Server-Load", text}}).load) << text;
}

TEST(SearcherProtocolTest, IdentifiesOwnerOfReply) {
  PlatformSearcherProtocol protocol;
  ForwardedRequest request;
  request.id = "r1";
  auto owner = [&](HeaderFields headers) {
    WireReply reply;
    reply.headers = std::move(headers);
    return protocol.OwnerOf(reply, request);
  };
  EXPECT_EQ(owner({{"Request-Id", "r1"}}), ReplyOwner::kThisRequest);
  EXPECT_EQ(owner({{"Request-Id", "r2"}}), ReplyOwner::kOtherRequest);
  EXPECT_EQ(owner({{"Request-Id", "r1"}, {"Request-Id", "r2"}}),
            ReplyOwner::kOtherRequest);
  EXPECT_EQ(owner({}), ReplyOwner::kUnidentified);
  EXPECT_EQ(owner({{"Request-Id", ""}}), ReplyOwner::kUnidentified);
  EXPECT_EQ(owner({{"Request-Id", "r1"}, {"Request-Id", "r1"}}),
            ReplyOwner::kUnidentified);
}

// A deadline out of range must leave the route's timeout in force, and must not
// become one that has passed.
TEST(CallerProtocolTest, LimitsDeadline) {
  EXPECT_EQ(DecodeRequest("500").value().deadline, Duration(milliseconds(500)));
  EXPECT_EQ(DecodeRequest("0").value().deadline, Duration(0));
  EXPECT_EQ(DecodeRequest("-5").value().deadline, Duration(0));
  EXPECT_EQ(DecodeRequest("-99999999999999999999").value().deadline,
            Duration(0));
  for (const char* text : {"9223372036854775807", "9223372036854775808",
                           "99999999999999999999999", "86400001"})
    EXPECT_EQ(DecodeRequest(text).value().deadline, Duration(hours(24)))
        << text;
  for (const char* text : {"", "soon", "1e3", "5 0", "0x10"})
    EXPECT_FALSE(DecodeRequest(text).value().deadline) << text;
}

}  // namespace
}  // namespace jujubecove::platform

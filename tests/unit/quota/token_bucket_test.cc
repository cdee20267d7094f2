#include "quota/token_bucket.h"

#include <gtest/gtest.h>

#include "quota/peer_quota_transport.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a bucket that forgets its level, or exceeds its capacity, when
// its rate changes.
TEST(TokenBucketTest, FillsUpToItsCapacity) {
  TimePoint now{};
  TokenBucket bucket;
  bucket.Configure(2.0, 5.0, now);
  EXPECT_EQ(bucket.Level(now + seconds(1)), 2.0);
  EXPECT_EQ(bucket.Level(now + seconds(9)), 5.0);
  bucket.Take(4.0, now + seconds(9));
  EXPECT_GE(bucket.TimeUntil(2.0, now + seconds(9)),
            Duration(milliseconds(500)));
  EXPECT_EQ(bucket.TimeUntil(6.0, now), Duration::max());
  bucket.Configure(1.0, 0.5, now + seconds(9));
  EXPECT_EQ(bucket.Level(now + seconds(20)), 0.5);
}

// Guards against a body of another process that is taken for tokens.
TEST(QuotaCodecTest, RefusesMalformedBodies) {
  TokenGrant grant{3, true, milliseconds(20)};
  std::optional<TokenGrant> copy = DecodeTokenGrant(EncodeTokenGrant(grant));
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->granted, 3);
  EXPECT_EQ(copy->next, grant.next);
  for (const char* it :
       {"", "[]", "{}", R"({"granted":-1,"owner":1,"next_us":0})",
        R"({"granted":1e300,"owner":1,"next_us":0})",
        R"({"granted":1,"owner":2,"next_us":0})"})
    EXPECT_FALSE(DecodeTokenGrant(it)) << it;
  EXPECT_FALSE(
      DecodeTokenRequest(R"({"workspace":7,"vm":"a","needed":1,"ahead":0})"));
  EXPECT_FALSE(DecodeAnnouncement(R"({"vm":"a","zone":"b","peers":"x"})"));
}

}  // namespace
}  // namespace jujubecove

#include "platform/registration_codec.h"

#include <gtest/gtest.h>

namespace jujubecove::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kConfig[] = R"({"Version": 7, "Routes": [
  {"Name": "g", "Host": "h", "Prefix": "/g/", "Kind": "idempotent",
   "TimeoutMs": 800, "TargetLatencyMs": 50, "Priority": 2,
   "Gather": ["a", "b"], "MaxAttempts": 2, "TopK": 5, "MinShardShare": 0.75},
  {"Name": "s", "Host": "h", "Prefix": "/s/", "Kind": "non_idempotent",
   "TimeoutMs": 6000, "MaxAttempts": 3,
   "TrafficSplit": [{"Service": "a", "Weight": 3}, {"Service": "b", "Weight": 1}]},
  {"Host": "h", "Prefix": "/p/", "Service": "a", "New": {}}],
  "Services": [{"Name": "a", "MaxConnections": 26, "HealthPath": "/h"}],
  "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 5000}})";

TEST(RegistrationCodecTest, DecodesConfiguration) {
  PlatformRegistrationCodec codec;
  Result<ServingConfig> config = codec.DecodeConfig(kConfig);
  ASSERT_TRUE(config);
  EXPECT_EQ(config.value().version, ConfigVersion(7));
  ASSERT_EQ(config.value().routes.size(), 3U);
  const Route& scatter = config.value().routes[0];
  ASSERT_TRUE(scatter.scatter);
  EXPECT_EQ(scatter.scatter->shards.size(), 2U);
  EXPECT_EQ(scatter.scatter->top_records, 5U);
  EXPECT_EQ(scatter.scatter->min_shard_share, 0.75);
  EXPECT_EQ(scatter.target_latency, Duration(milliseconds(50)));
  EXPECT_EQ(scatter.max_attempts, 2);
  const Route& once = config.value().routes[1];
  EXPECT_FALSE(once.idempotent);
  ASSERT_EQ(once.split.size(), 2U);
  EXPECT_EQ(once.split[0].weight, 3.0);
  EXPECT_EQ(config.value().routes[2].split.size(), 1U);
  EXPECT_EQ(config.value().services[0].max_connections, 26);
  EXPECT_EQ(config.value().limits.max_header_bytes, 100U);
  EXPECT_EQ(config.value().limits.idle_timeout, Duration(milliseconds(5000)));
}

// A request on a route of unknown kind must not run twice.
TEST(RegistrationCodecTest, TreatsUnknownKindAsNonIdempotent) {
  PlatformRegistrationCodec codec;
  Result<ServingConfig> config = codec.DecodeConfig(
      R"({"Version": 1, "Routes": [{"Host": "h", "Prefix": "/", "Kind": "new",
          "Service": "a"}]})");
  ASSERT_TRUE(config);
  EXPECT_FALSE(config.value().routes[0].idempotent);
}

// A configuration must not take effect in part.
TEST(RegistrationCodecTest, RejectsMalformedConfigurations) {
  PlatformRegistrationCodec codec;
  for (const char* text :
       {"", "[]", "{}", R"({"Version": "7", "Routes": []})",
        R"({"Version": 7, "Routes": [{"Host": "h"}]})",
        R"({"Version": 7, "Routes": [{"Host": "h", "Prefix": "/"}]})"})
    EXPECT_FALSE(codec.DecodeConfig(text)) << text;
}

struct RegistrationCase {
  const char* name;
  std::string value;
  bool valid;
};

class SearcherRegistrationTest
    : public testing::TestWithParam<RegistrationCase> {};

// Forged or damaged registrations must not be used.
TEST_P(SearcherRegistrationTest, AcceptsOnlyValidRegistrations) {
  PlatformRegistrationCodec codec;
  Result<SearcherEntry> entry =
      codec.DecodeSearcher(InstanceId("i-1"), GetParam().value);
  EXPECT_EQ(static_cast<bool>(entry), GetParam().valid);
}

std::string Entry(const std::string& state, const std::string& rest) {
  return R"({"Service":"a","Zone":"z","Slots":2,"State":")" + state + "\"," +
         rest + "}";
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    SearcherRegistrationTest,
    testing::Values(
        RegistrationCase{"Ready",
                         Entry("ready",
                               R"("Address":"10.0.0.1:80","Sequence":4,)"
                               R"("born":12,"WarmupLeftMs":100)"),
                         true},
        RegistrationCase{
            "Draining",
            Entry("draining", R"("Address":"10.0.0.1:80","Sequence":4)"), true},
        RegistrationCase{
            "UnknownState",
            Entry("leaving", R"("Address":"10.0.0.1:80","Sequence":4)"), false},
        RegistrationCase{"NoAddress", Entry("ready", R"("Sequence":4)"), false},
        RegistrationCase{"BadAddress",
                         Entry("ready", R"("Address":"host:80","Sequence":4)"),
                         false},
        RegistrationCase{
            "TextForNumber",
            Entry("ready", R"("Address":"10.0.0.1:80","Sequence":"4")"), false},
        RegistrationCase{"NotJson", "\xff\xfe", false},
        RegistrationCase{"Empty", "", false}),
    [](const auto& info) { return info.param.name; });

TEST(SearcherRegistrationFieldsTest, DecodesNumericFields) {
  PlatformRegistrationCodec codec;
  Result<SearcherEntry> entry = codec.DecodeSearcher(
      InstanceId("i-1"),
      Entry("ready", R"("Address":"10.0.0.1:80","Sequence":4,"born":12,)"
                     R"("WarmupLeftMs":100)"));
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry.value().started_ms, 12);
  EXPECT_EQ(entry.value().heartbeat, 4);
  EXPECT_EQ(entry.value().warmup_left, Duration(milliseconds(100)));
  EXPECT_EQ(entry.value().slots, 2);
}

}  // namespace
}  // namespace jujubecove::platform

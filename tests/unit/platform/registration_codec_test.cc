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

TEST(RegistrationCodecTest, DecodesWorkspaces) {
  PlatformRegistrationCodec codec;
  Result<ServingConfig> config = codec.DecodeConfig(R"({"Version": 1,
    "Routes": [{"Host": "h", "Prefix": "/", "Service": "a", "Anonymous": true,
                "AllowedRegions": ["r"]}],
    "Services": [{"Name": "a", "WarmupPerS": 2.5}],
    "Tenants": [{"Name": "w", "ApiKeys": ["k1", "k2"], "Priority": 1,
                 "RatePerS": 40, "Burst": 20.5},
                {"Name": "open", "ApiKeys": []}]})");
  ASSERT_TRUE(config);
  EXPECT_TRUE(config.value().routes[0].anonymous);
  EXPECT_EQ(config.value().routes[0].allowed_regions[0], RegionName("r"));
  EXPECT_EQ(config.value().services[0].warmup_rate, 2.5);
  EXPECT_TRUE(config.value().requires_api_key);
  ASSERT_EQ(config.value().workspaces.size(), 2U);
  const Workspace& workspace = config.value().workspaces[0];
  EXPECT_EQ(workspace.api_keys.size(), 2U);
  EXPECT_EQ(workspace.urgency, 1);
  EXPECT_EQ(workspace.rate_per_second, 40.0);
  EXPECT_EQ(workspace.burst, 20.5);
  EXPECT_FALSE(config.value().workspaces[1].urgency);
  EXPECT_FALSE(codec.DecodeConfig(kConfig).value().requires_api_key);
}

TEST(RegistrationCodecTest, DecodesOwnRegistration) {
  PlatformRegistrationCodec codec;
  DaemonEntry entry{VmId("vm"), ZoneName("z"), IncarnationId(7),
                    SocketAddress{"10.0.0.1", 80}, std::nullopt};
  Result<DaemonEntry> decoded =
      codec.DecodeDaemon(VmId("vm"), codec.EncodeDaemon(entry));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().zone, ZoneName("z"));
  EXPECT_EQ(decoded.value().incarnation, IncarnationId(7));
  EXPECT_EQ(decoded.value().peer_address, entry.peer_address);
  EXPECT_FALSE(decoded.value().query_address);
  EXPECT_FALSE(codec.DecodeDaemon(VmId("vm"), "[]"));
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
        RegistrationCase{
            "PortZero",
            Entry("ready", R"("Address":"10.0.0.1:0","Sequence":4)"), false},
        RegistrationCase{
            "PortOutOfRange",
            Entry("ready", R"("Address":"10.0.0.1:65536","Sequence":4)"),
            false},
        RegistrationCase{"NotJson", "\xff\xfe", false},
        RegistrationCase{"Empty", "", false}),
    [](const auto& info) { return info.param.name; });

// Numbers that the code can't compute with must be refused, by the name of
// their field, on every kind of machine alike.
TEST(SearcherRegistrationFieldsTest, RefusesNumbersOutOfRange) {
  PlatformRegistrationCodec codec;
  for (const char* field : {"Slots", "Sequence", "WarmupLeftMs", "born"}) {
    for (const char* number :
         {"1e300", "-1e300", "1e400", "4294967296000000000", "-1", "1.5",
          "9223372036854775807", "9223372036854775808", "1e19", "\"4\"", "[4]",
          "{}", "true"}) {
      std::string text = R"({"Service":"a","Zone":"z","State":"ready",)"
                         R"("Address":"10.0.0.1:80","Slots":2,"Sequence":4,)"
                         R"("WarmupLeftMs":100,"born":12,")" +
                         std::string(field) + "\":" + number + "}";
      Result<SearcherEntry> entry =
          codec.DecodeSearcher(InstanceId("i-1"), text);
      ASSERT_FALSE(entry) << text;
      // 1e400 is not a number for the JSON parser.
      bool names_field = entry.error().detail.find(field) != std::string::npos;
      EXPECT_TRUE(names_field || number == std::string_view("1e400")) << text;
    }
  }
}

TEST(SearcherRegistrationFieldsTest, RefusesLargeNumberOfSlots) {
  PlatformRegistrationCodec codec;
  for (const char* slots : {"0", "4294967296", "4294967298", "2147483648"}) {
    EXPECT_FALSE(codec.DecodeSearcher(
        InstanceId("i-1"),
        R"({"Service":"a","Zone":"z","State":"ready","Address":"10.0.0.1:80",)"
        R"("Sequence":4,"Slots":)" +
            std::string(slots) + "}"))
        << slots;
  }
}

TEST(SearcherRegistrationFieldsTest, RefusesOddValues) {
  PlatformRegistrationCodec codec;
  std::string good = Entry("ready", R"("Address":"10.0.0.1:80","Sequence":4)");
  EXPECT_TRUE(codec.DecodeSearcher(InstanceId("i-1"), good));
  std::string deep = good.substr(0, good.size() - 1) + R"(,"X":)" +
                     std::string(100'000, '[') + std::string(100'000, ']') +
                     "}";
  EXPECT_FALSE(codec.DecodeSearcher(InstanceId("i-1"), deep));
  std::string large = Entry("ready", R"("Address":"10.0.0.1:80","Sequence":4,)"
                                     R"("Service":")" +
                                         std::string(1U << 20U, 'a') + "\"");
  EXPECT_FALSE(codec.DecodeSearcher(InstanceId("i-1"), large));
  // The id becomes a header field of requests.
  EXPECT_FALSE(codec.DecodeSearcher(InstanceId("i-1\r\nX: y"), good));
  EXPECT_FALSE(codec.DecodeSearcher(InstanceId(""), good));
}

// A configuration with a number that the code can't compute with must not take
// effect, and the refusal must name the field.
TEST(RegistrationCodecTest, RefusesConfigurationsWithNumbersOutOfRange) {
  PlatformRegistrationCodec codec;
  for (const char* field : {"TimeoutMs", "TargetLatencyMs", "MaxAttempts",
                            "TopK", "MinShardShare", "Priority"}) {
    for (const char* number : {"1e300", "-1", "9223372036854775807", "\"4\""}) {
      std::string text =
          R"({"Version": 1, "Routes": [{"Host": "h", "Prefix": "/",)"
          R"("Gather": ["a"], ")" +
          std::string(field) + "\": " + number + "}]}";
      Result<ServingConfig> config = codec.DecodeConfig(text);
      ASSERT_FALSE(config) << text;
      EXPECT_NE(config.error().detail.find(field), std::string::npos) << text;
    }
  }
  for (const char* text :
       {R"({"Version": 1e300, "Routes": []})",
        R"({"Version": -1, "Routes": []})",
        R"({"Version": 1, "Routes": [], "Limits": {"MaxBodyBytes": -1}})",
        R"({"Version": 1, "Routes": [], "Limits": {"IdleTimeoutMs": 1e300}})",
        R"({"Version": 1, "Routes": [],
            "Services": [{"Name": "a", "MaxConnections": 4294967297}]})",
        R"({"Version": 1, "Routes": [{"Host": "h", "Prefix": "/",
            "TrafficSplit": [{"Service": "a", "Weight": 1e300}]}]})"})
    EXPECT_FALSE(codec.DecodeConfig(text)) << text;
}

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

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "platform/registration_codec.h"

namespace jujubecove::platform {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;

ServingConfig Decode(const std::string& workspaces) {
  Result<ServingConfig> config = PlatformRegistrationCodec().DecodeConfig(
      R"({"Version": 3, "Routes": [{"Host": "h", "Prefix": "/",)"
      R"( "Service": "a"}], "Tenants": [)" +
      workspaces + "]}");
  EXPECT_TRUE(config) << workspaces;
  return config ? config.value() : ServingConfig{};
}

constexpr char kGood[] = R"({"Name": "good", "ApiKeys": ["k"], "RatePerS": 5})";

// One malformed workspace must neither end the service of the others nor the
// new version of the routes.
TEST(WorkspaceCodecTest, KeepsRestOfConfigurationBesideMalformedWorkspace) {
  for (const char* bad :
       {"7", "null", "{}", R"({"Name": ""})", R"({"Name": "a\r\nX: y"})",
        R"({"Name": " a"})", R"({"Name": 4, "ApiKeys": ["x"]})",
        R"({"Name": "good", "ApiKeys": ["second"]})"}) {
    ServingConfig config = Decode(std::string(kGood) + "," + bad);
    EXPECT_EQ(config.version, ConfigVersion(3)) << bad;
    EXPECT_EQ(config.routes.size(), 1U) << bad;
    ASSERT_EQ(config.workspaces.size(), 1U) << bad;
    EXPECT_THAT(config.workspaces[0].api_keys, ElementsAre("k")) << bad;
    EXPECT_EQ(config.faults.size(), 1U) << bad;
  }
}

// A limit that can't be computed with must neither refuse every request of its
// workspace nor pass as a number.
TEST(WorkspaceCodecTest, TreatsMalformedLimitAsAbsent) {
  for (const char* rate : {"-1", "1e300", "\"5\"", "[]", "true"}) {
    ServingConfig config =
        Decode(R"({"Name": "w", "ApiKeys": ["k"], "Burst": 3, "RatePerS": )" +
               std::string(rate) + "}");
    ASSERT_EQ(config.workspaces.size(), 1U) << rate;
    EXPECT_EQ(config.workspaces[0].rate_per_second, 0.0) << rate;
    EXPECT_EQ(config.workspaces[0].burst, 3.0) << rate;
    EXPECT_THAT(config.faults, ElementsAre(HasSubstr("RatePerS"))) << rate;
  }
  EXPECT_THAT(Decode(R"({"Name": "w", "RatePerS": 0})").faults, IsEmpty());
}

// One key must not belong to two workspaces, and the report must not show it.
TEST(WorkspaceCodecTest, GivesSharedKeyToFirstWorkspace) {
  ServingConfig config = Decode(R"({"Name": "a", "ApiKeys": ["hush", "hush"]},
                                   {"Name": "b", "ApiKeys": ["hush", "own"]})");
  EXPECT_THAT(config.workspaces[0].api_keys, ElementsAre("hush"));
  EXPECT_THAT(config.workspaces[1].api_keys, ElementsAre("own"));
  EXPECT_THAT(config.faults, ElementsAre(HasSubstr("held by workspace a")));
  EXPECT_THAT(config.faults[0], Not(HasSubstr("hush")));
}

TEST(WorkspaceCodecTest, LeavesOutKeysThatNoCallerCanSend) {
  ServingConfig config = Decode(
      R"({"Name": "a", "ApiKeys": ["", "a b", 7, "x\u0001", "k", ")" +
      std::string(64U << 10U, 's') + R"("]}, {"Name": "b", "ApiKeys": {}})");
  EXPECT_THAT(config.workspaces[0].api_keys, ElementsAre("k"));
  EXPECT_EQ(config.faults.size(), 6U);
}

// Requests must not leave their regions because the list can't be read.
TEST(WorkspaceCodecTest, AllowsNoRegionIfNoneCanBeRead) {
  ServingConfig config = Decode(R"({"Name": "a", "AllowedRegions": "r"},
                {"Name": "b", "AllowedRegions": ["r", 7]},
                {"Name": "c", "AllowedRegions": []})");
  EXPECT_THAT(config.workspaces[0].allowed_regions,
              ElementsAre(RegionName("")));
  EXPECT_THAT(config.workspaces[1].allowed_regions,
              ElementsAre(RegionName("r")));
  EXPECT_THAT(config.workspaces[2].allowed_regions, IsEmpty());
  EXPECT_EQ(config.faults.size(), 2U);
}

}  // namespace
}  // namespace jujubecove::platform

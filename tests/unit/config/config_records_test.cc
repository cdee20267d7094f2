#include "config/config_records.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <string>

namespace jujubecove {
namespace {

// Guards against numbers above 2^53 or text losing precision in JSON.
TEST(ConfigRecordsTest, RecordsReadBackAsWritten) {
  bool ok = rc::check([] {
    ZoneRecord zone;
    zone.version = ConfigVersion(*rc::gen::arbitrary<std::uint64_t>());
    zone.hash = *rc::gen::arbitrary<std::uint64_t>();
    zone.least_active = ConfigVersion(*rc::gen::arbitrary<std::uint64_t>());
    zone.rejection =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    std::optional<ZoneRecord> read = ParseZoneRecord(FormatRecord(zone));
    RC_ASSERT(read == zone);
    ActiveRecord active{{zone.version, zone.hash, "ab"}, {}};
    active.history.push_back({ConfigVersion(7), zone.hash});
    std::optional<ActiveRecord> read_active =
        ParseActiveRecord(FormatRecord(active));
    RC_ASSERT(read_active.has_value());
    RC_ASSERT(read_active->active == active.active);
    RC_ASSERT(read_active->history == active.history);
  });
  EXPECT_TRUE(ok);
}

// Guards against a damaged record in the store ending the daemons that read it.
TEST(ConfigRecordsTest, MalformedRecordsAreRefused) {
  const char* texts[] = {
      "",
      "null",
      "[]",
      "{}",
      R"({"version":1})",
      R"({"version":-1,"hash":1,"sha256":"","history":[]})",
      R"({"version":1,"hash":1,"sha256":"","history":[[1]]})",
      R"({"version":1,"hash":1,"sha256":"","history":7,"base":"x","delta":1})"};
  for (const char* text : texts) {
    EXPECT_FALSE(ParseActiveRecord(text)) << text;
    EXPECT_FALSE(ParseProposalRecord(text)) << text;
    EXPECT_FALSE(ParseZoneRecord(text)) << text;
  }
}

}  // namespace
}  // namespace jujubecove

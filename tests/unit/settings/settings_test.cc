#include "settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdint>

namespace jujubecove {
namespace {

enum class Color : std::uint8_t { kRed, kGreen };

const Setting<bool> kFlag({.section = "general",
                           .key = "flag",
                           .default_value = true,
                           .doc = "A flag."});
const Setting<std::int64_t> kCount({.section = "general",
                                    .key = "count",
                                    .default_value = 3,
                                    .unit = "items",
                                    .accepted = {.min = 1, .max = 10},
                                    .doc = "A count."});
const Setting<Duration> kWait({.section = "general",
                               .key = "wait_ms",
                               .default_value = Duration(250'000),
                               .unit = "ms",
                               .accepted = {.max = std::chrono::seconds(1)},
                               .doc = "A wait."});
const Setting<SocketAddress> kListen(
    {.section = "general",
     .key = "listen",
     .default_value = SocketAddress{"127.0.0.1", 8080},
     .doc = "An address."});
const Setting<Color> kColor({.section = "kind",
                             .key = "color",
                             .default_value = Color::kGreen,
                             .accepted = {{"red", Color::kRed},
                                          {"green", Color::kGreen}},
                             .doc = "A choice."});
const Setting<double> kShare({.section = "kind",
                              .key = "share",
                              .default_value = 1.0,
                              .accepted = {.min = 0.0, .max = 1.0},
                              .doc = "A share."});
const Setting<std::string> kService({.section = "kind",
                                     .key = "service",
                                     .accepted = {.min_size = 1},
                                     .doc = "A required text."});

SettingsSchema Schema() {
  return {{"general", false, {&kFlag, &kCount, &kWait, &kListen}, "General."},
          {"kind", true, {&kColor, &kShare, &kService}, "Kinds."}};
}

struct Loaded {
  Settings settings;
  std::vector<std::string> faults;
};

Loaded Load(const std::string& text,
            const std::vector<std::string>& overrides = {}) {
  std::vector<SettingFault> faults;
  IniFile file = IniFile::Parse("test.ini", text, faults);
  Loaded loaded{Settings::Load(Schema(), file, overrides, faults), {}};
  for (const SettingFault& fault : faults)
    loaded.faults.push_back(fault.ToString());
  return loaded;
}

// Guards against layers that are ignored or applied in the wrong order.
TEST(SettingsTest, LaterLayersOverrideEarlierOnes) {
  Loaded loaded = Load(
      "[general]\ncount = 4\nwait_ms=1.5\n"
      "[kind payout-search]\ncolor = red\nservice = a b\n",
      {"general.count=5", "kind payout-search.share=0.5"});
  EXPECT_THAT(loaded.faults, testing::IsEmpty());
  const Settings& settings = loaded.settings;
  EXPECT_TRUE(settings.Get(kFlag));
  EXPECT_EQ(settings.Get(kCount), 5);
  EXPECT_EQ(settings.Get(kWait), Duration(1'500));
  EXPECT_EQ(settings.Get(kListen).ToString(), "127.0.0.1:8080");
  EXPECT_EQ(settings.NamesOf("kind"),
            std::vector<std::string>{"payout-search"});
  EXPECT_EQ(settings.Get(kColor, "payout-search"), Color::kRed);
  EXPECT_EQ(settings.Get(kShare, "payout-search"), 0.5);
  EXPECT_EQ(settings.Get(kService, "payout-search"), "a b");
  EXPECT_FALSE(settings.IsGiven(kFlag));
  EXPECT_TRUE(settings.IsGiven(kCount));
}

// Guards against stopping at the first fault, and against messages that don't
// say where the fault is or what is accepted.
TEST(SettingsTest, ReportsEveryFaultWithItsLine) {
  Loaded loaded = Load(
      "stray = 1\n[general]\nflag = yes\n; a comment\ncount = 11\n"
      "count = 4\nunknown = 1\nno equals sign\n[general]\nflag = false\n"
      "[other]\nx = 1\n[kind]\n[kind a/b]\n[general x]\n[kind b]\n[broken\n",
      {"general.wait_ms=2000", "nonsense", "general.listen=localhost:80"});
  EXPECT_THAT(
      loaded.faults,
      testing::UnorderedElementsAre(
          "test.ini:1: stray: key outside of a section",
          "test.ini:3: [general] flag: invalid value \"yes\"; accepted: true "
          "or false",
          "test.ini:5: [general] count: invalid value \"11\"; accepted: an "
          "integer from 1 to 10 items",
          "test.ini:6: [general] count: duplicate key; the first is at line 5",
          "test.ini:7: [general] unknown: unknown key; accepted: flag count "
          "wait_ms listen",
          "test.ini:8: [general] malformed line; accepted: key = value",
          "test.ini:9: [general] duplicate section; the first is at line 2",
          "test.ini:11: [other] unknown section; accepted: [general] [kind "
          "NAME]",
          "test.ini:13: [kind] the section needs a name; accepted: [kind NAME]",
          "test.ini:14: [kind a/b] invalid name; accepted: at most 64 letters, "
          "digits, '-', '_' and '.'",
          "test.ini:15: [general x] the section takes no name; accepted: "
          "[general]",
          "test.ini:16: [kind b] service: is required; accepted: text of 1 to "
          "1024 bytes without control characters",
          "test.ini:17: malformed section heading; accepted: [type] or [type "
          "name] alone on a line",
          "command line: [general] wait_ms: invalid value \"2000\"; accepted: "
          "a number from 0 to 1000 with at most 3 decimals ms",
          "command line: malformed override \"nonsense\"; accepted: "
          "section.key=value",
          "command line: [general] listen: invalid value \"localhost:80\"; "
          "accepted: an IP address with a port, such as 127.0.0.1:8080 or "
          "[::1]:8080"));
  EXPECT_EQ(loaded.settings.Get(kCount), 3);
}

// Guards against canonical texts that differ for equal settings, which would
// give equal documents different hashes.
TEST(SettingsTest, EqualSettingsHaveEqualCanonicalText) {
  Loaded first = Load(
      "[kind b]\nservice=x\nshare=0.50\n[kind a]\nservice=y\n"
      "[general]\nwait_ms=0250.0\n");
  Loaded second = Load(
      "# other order\n[general]\n[kind  a]\nservice = y\n[kind b]\n"
      "share = .5\nservice=x\n");
  EXPECT_THAT(first.faults, testing::IsEmpty());
  EXPECT_THAT(second.faults, testing::IsEmpty());
  EXPECT_EQ(first.settings.ToIni(), second.settings.ToIni());
  EXPECT_EQ(Load(first.settings.ToIni()).settings.ToIni(),
            first.settings.ToIni());
  EXPECT_THAT(first.settings.ToIni(),
              testing::HasSubstr("[kind b]\ncolor=green\nshare=0.5\n"));
}

// Guards against a description that can't be parsed or shows other defaults.
TEST(SettingsTest, DescriptionParsesAsDefaults) {
  SettingsSchema schema = {Schema()[0]};
  std::vector<SettingFault> faults;
  IniFile file = IniFile::Parse("doc.ini", DescribeSchema(schema), faults);
  Settings settings = Settings::Load(schema, file, {}, faults);
  EXPECT_THAT(faults, testing::IsEmpty());
  EXPECT_EQ(settings.ToIni(), Load("").settings.ToIni());
}

// Guards against values that overflow, lose digits or are accepted with
// trailing characters.
TEST(SettingsTest, RejectsMalformedNumbersAndAddresses) {
  for (const char* text : {"", "1x", "0x1", "1e3", "inf", "nan", "-1", "+1",
                           "1.0005", "99999999999999999999"})
    EXPECT_FALSE(kWait.Accepts(text)) << text;
  for (const char* text : {"", "1.0", "99999999999999999999", " 1", "0"})
    EXPECT_FALSE(kCount.Accepts(text)) << text;
  for (const char* text :
       {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:-1", "::1:80",
        "[1.2.3.4]:80", "1.2.3:80", "[::1]", "1.2.3.4:80x"})
    EXPECT_FALSE(kListen.Accepts(text)) << text;
  EXPECT_EQ(kListen.Canonicalize("[0:0::1]:80"), "[::1]:80");
}

// Guards against a parser that fails or loops on arbitrary text, and against a
// canonical form that does not parse as the same settings.
RC_GTEST_PROP(SettingsPropertyTest, AcceptedTextHasStableCanonicalForm, ()) {
  const std::vector<std::string> pieces = {
      "[", "]", "=", "\n",      "general", "kind", " ",    "count", "4",
      "#", ";", "x", "service", ".",       "\r",   "flag", "true"};
  std::string text;
  for (const std::string& piece : *rc::gen::container<std::vector<std::string>>(
           rc::gen::elementOf(pieces)))
    text += piece;
  Loaded loaded = Load(text);
  if (loaded.faults.empty())
    RC_ASSERT(Load(loaded.settings.ToIni()).settings.ToIni() ==
              loaded.settings.ToIni());
}

// Guards against durations that change when they are formatted and parsed.
RC_GTEST_PROP(SettingsPropertyTest, DurationsRoundTrip, ()) {
  Duration value(*rc::gen::inRange<std::int64_t>(0, 1'000'001));
  RC_ASSERT(kWait.Parse(kWait.Format(value)) == value);
}

}  // namespace
}  // namespace jujubecove

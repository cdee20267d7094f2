#include "daemon/daemon_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "settings/overrides.h"

namespace jujubecove {
namespace {

DaemonConfig Load(const std::string& text,
                  const std::vector<std::string>& overrides,
                  std::vector<SettingFault>& faults) {
  IniFile file = IniFile::Parse("daemon.ini", text, faults);
  return MakeDaemonConfig(
      Settings::Load(DaemonSchema(), file, overrides, faults));
}

// Guards against settings whose defaults change by accident or differ from
// those of ApiLimits.
TEST(DaemonSettingsTest, UsesDefaultsForEmptyFile) {
  std::vector<SettingFault> faults;
  DaemonConfig config = Load("", {}, faults);
  EXPECT_THAT(faults, testing::IsEmpty());
  EXPECT_EQ(config.frontend.header_bytes, 16U * 1024);
  EXPECT_EQ(config.frontend.body_bytes, 1024U * 1024);
  EXPECT_EQ(config.frontend.idle_timeout, ApiLimits().idle_timeout);
  EXPECT_EQ(config.shutdown_limit, std::chrono::seconds(30));
  EXPECT_EQ(config.listen_operations.port, 0);
  for (LogLevel level : config.log_levels)
    EXPECT_EQ(level, LogLevel::kInfo);
}

// Guards against a setting that is declared but ignored, or read into the wrong
// member.
TEST(DaemonSettingsTest, ReadsFileAndOverrides) {
  std::vector<SettingFault> faults;
  DaemonConfig config = Load(
      "[daemon]\nvm_id = entry-3\nzone = othaya\n"
      "[frontend]\nconnections = 5\nbody_ms = 7\n"
      "[log]\nlevel = warning\nrouting = debug\nformat = json\n",
      {"listen.callers=[::1]:9", "trace.sample_share=0.5"}, faults);
  EXPECT_THAT(faults, testing::IsEmpty());
  EXPECT_EQ(config.vm, VmId("entry-3"));
  EXPECT_EQ(config.zone, ZoneName("othaya"));
  EXPECT_EQ(config.frontend.connections, 5U);
  EXPECT_EQ(config.frontend.body_timeout, Duration(7'000));
  EXPECT_EQ(config.frontend.header_timeout, ApiLimits().header_timeout);
  EXPECT_EQ(config.listen_callers.ToString(), "[::1]:9");
  EXPECT_EQ(config.trace_share, 0.5);
  EXPECT_EQ(config.log_format, LogFormat::kJson);
  EXPECT_EQ(config.log_levels[static_cast<std::size_t>(LogCategory::kRouting)],
            LogLevel::kDebug);
  EXPECT_EQ(config.log_levels[static_cast<std::size_t>(LogCategory::kGather)],
            LogLevel::kWarning);
}

// Guards against settings that are missing from the output of --describe, which
// docs/OPERATIONS.md refers to.
TEST(DaemonSettingsTest, DescriptionParsesToTheDefaults) {
  std::vector<SettingFault> faults;
  IniFile file =
      IniFile::Parse("doc.ini", DescribeSchema(DaemonSchema()), faults);
  Settings described = Settings::Load(DaemonSchema(), file, {}, faults);
  EXPECT_THAT(faults, testing::IsEmpty());
  EXPECT_EQ(described.ToIni(),
            Settings::Load(DaemonSchema(), IniFile(), {}, faults).ToIni());
}

// gflags drops all but the last of a repeated flag.
TEST(CommandLineTest, CollectsRepeatedOverrides) {
  std::vector<std::string> arguments = {"jujubecoved",
                                        "--set",
                                        "a.b=1",
                                        "--config=x",
                                        "--set=c.d=2,e.f=3",
                                        "--check",
                                        R"(--set=g.h={"x":"y","z":"w"},i.j=4)"};
  EXPECT_THAT(TakeOverrides(arguments),
              testing::ElementsAre("a.b=1", "c.d=2", "e.f=3",
                                   R"(g.h={"x":"y","z":"w"})", "i.j=4"));
  EXPECT_THAT(arguments,
              testing::ElementsAre("jujubecoved", "--config=x", "--check"));
}

}  // namespace
}  // namespace jujubecove

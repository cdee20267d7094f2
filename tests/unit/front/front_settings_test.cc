#include "front/front_settings.h"

#include <gtest/gtest.h>

#include <fstream>

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr char kValid[] =
    "[vm]\nid = front-1\nzone = nyeri\nmax_descriptors = 8200\n"
    "[listen]\ncallers = 10.1.0.1:80\nreadiness = 10.1.0.1:81\n"
    "[store]\naddress = 10.200.1.7:8229\n"
    "[repeats]\nratio = 0.2\nslack = 58\nwindow_s = 10\n"
    "[drain]\ngrace_s = 6\n";

FrontConfig Load(const std::string& text, std::vector<SettingFault>& faults) {
  std::string path = testing::TempDir() + "front_settings_test.ini";
  std::ofstream(path) << text;
  return LoadFrontConfig(path, faults);
}

TEST(FrontSettingsTest, ReadsValidSettings) {
  std::vector<SettingFault> faults;
  FrontConfig config = Load(kValid, faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(config.vm, VmId("front-1"));
  EXPECT_EQ(config.store.port, 8229);
  EXPECT_EQ(config.dispatch.retry_budget.slack, 58.0);
  EXPECT_EQ(config.drain_grace, Duration(std::chrono::seconds(6)));
  EXPECT_EQ(config.max_connections, 4100U);
  // 4 s to detect a silent connection, less the call timeout of 1 s and a
  // margin of 200 ms.
  EXPECT_EQ(config.store_watch_wait, Duration(milliseconds(2800)));
}

// Guards against a start or a reload with a faulty file.
TEST(FrontSettingsTest, ReportsEveryFaultWithItsLine) {
  std::vector<SettingFault> faults;
  Load(
      "[vm]\nid = front-1\nzone = nyeri\n[listen]\ncallers = nowhere\n"
      "[repeats]\nratio = 7\nunknown = 1\n",
      faults);
  std::string text;
  for (const SettingFault& it : faults)
    text += it.ToString() + "\n";
  EXPECT_NE(text.find("5: [listen] callers"), std::string::npos) << text;
  EXPECT_NE(text.find("7: [repeats] ratio"), std::string::npos) << text;
  EXPECT_NE(text.find("8: [repeats] unknown"), std::string::npos) << text;
  EXPECT_NE(text.find("[store] address"), std::string::npos) << text;
}

TEST(FrontSettingsTest, ReadsRegionsOfZones) {
  std::vector<SettingFault> faults;
  std::string path = testing::TempDir() + "front_settings_test.ini";
  std::ofstream(path) << kValid;
  FrontConfig config = LoadFrontConfig(
      {path,
       {"vm.region=r1", R"(vm.zone_regions={"karatina":"r1","far":"r2"})"}},
      faults);
  EXPECT_TRUE(faults.empty());
  std::map<ZoneName, RegionName> expected = {
      {ZoneName("karatina"), RegionName("r1")},
      {ZoneName("far"), RegionName("r2")},
      {ZoneName("nyeri"), RegionName("r1")}};
  EXPECT_EQ(config.dispatch.zone_regions, expected);
  EXPECT_TRUE(Load(kValid, faults).dispatch.zone_regions.empty());
  LoadFrontConfig({path, {"vm.zone_regions=[1]"}}, faults);
  EXPECT_EQ(faults.size(), 1U);
}

TEST(FrontSettingsTest, ReportsMissingFile) {
  std::vector<SettingFault> faults;
  LoadFrontConfig("/nonexistent/front.ini", faults);
  EXPECT_FALSE(faults.empty());
}

// Guards against a deployed template that the daemon does not accept.
TEST(FrontSettingsTest, AcceptsDeployedTemplate) {
  std::ifstream stream(JUJUBECOVE_SOURCE_DIR "/deploy/front.ini");
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  for (const auto& [name, value] :
       {std::pair<std::string, std::string>{"{{NodeName}}", "front-1"},
        {"{{Zone}}", "nyeri"},
        {"{{Limits.MaxFds}}", "8200"},
        {"{{Limits.MemoryMb}}", "410.5"},
        {"{{Listen.Front}}", "10.1.0.1:80"},
        {"{{Listen.Ready}}", "10.1.0.1:81"},
        {"{{Ip}}", "10.1.0.1"},
        {"{{platform.Address}}", "10.200.1.7:8229"},
        {"{{Bounds.RetryBudgetRatio}}", "0.2"},
        {"{{Bounds.RetryBudgetSlack}}", "58"},
        {"{{Bounds.BudgetWindowS}}", "10"},
        {"{{Bounds.ContactMs}}", "4000"},
        {"{{Bounds.GraceS}}", "6"}}) {
    std::size_t at = text.find(name);
    ASSERT_NE(at, std::string::npos) << name;
    text.replace(at, name.size(), value);
  }
  EXPECT_EQ(text.find("{{"), std::string::npos);
  std::vector<SettingFault> faults;
  Load(text, faults);
  EXPECT_TRUE(faults.empty());
}

// Guards against replies that take the whole memory of a VM.
TEST(FrontSettingsTest, LimitsReplyMemoryToPartOfMemory) {
  std::vector<SettingFault> faults;
  std::string text = kValid;
  text.insert(text.find("[listen]"), "memory_mb = 400\n");
  FrontConfig config = Load(text, faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(config.max_reply_memory, std::size_t{50} << 20U);
}

}  // namespace
}  // namespace jujubecove

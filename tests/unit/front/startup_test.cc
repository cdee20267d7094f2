#include <gtest/gtest.h>
#include <sys/stat.h>

#include <csignal>
#include <fstream>
#include <string>

#include "tests/standin/child_process.h"

namespace jujubecove {
namespace {

// Guards against a process that ends because the settings change while it
// starts: until its handler is installed, SIGHUP ends a process. The settings
// are read from a pipe, so that the signal surely comes before the handler.
TEST(StartupTest, SurvivesReloadSignalBeforeItsHandler) {
  std::string path = testing::TempDir() + "startup_test.pipe";
  std::remove(path.c_str());
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  standin::ChildProcess process({JUJUBECOVE_FRONT, "--check_settings=" + path},
                                testing::TempDir() + "startup_test.log");
  // Opens once the process reads the settings.
  std::ofstream settings(path);
  process.Signal(SIGHUP);
  settings << "[vm]\nid = front-1\nzone = z\n"
              "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
              "[store]\naddress = 127.0.0.1:3\n";
  settings.close();
  EXPECT_EQ(process.Wait(std::chrono::seconds(20)), 0);
}

}  // namespace
}  // namespace jujubecove

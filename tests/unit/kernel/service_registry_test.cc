#include "kernel/service_registry.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubecove {
namespace {

struct Recorder {
  Recorder(std::string recorder_name, std::vector<std::string>& log)
      : name(std::move(recorder_name)), destroyed(log) {}
  ~Recorder() { destroyed.push_back(name); }
  std::string name;
  std::vector<std::string>& destroyed;
};

// Guards against destroying a service before one that depends on it.
TEST(ServiceRegistryTest, DestroysServicesInReverseOrder) {
  std::vector<std::string> destroyed;
  {
    ServiceRegistry registry;
    for (const char* name : {"b", "c", "a"})
      registry.Publish(name, std::make_shared<Recorder>(name, destroyed));
    EXPECT_EQ(registry.Find<Recorder>("c").name, "c");
    EXPECT_TRUE(registry.Has("a"));
    EXPECT_FALSE(registry.Has("d"));
  }
  EXPECT_EQ(destroyed, (std::vector<std::string>{"a", "c", "b"}));
}

}  // namespace
}  // namespace jujubecove

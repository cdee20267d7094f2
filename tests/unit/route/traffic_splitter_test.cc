#include "route/traffic_splitter.h"

#include <gtest/gtest.h>

#include <map>

namespace jujubecove {
namespace {

TEST(TrafficSplitterTest, ShortSequencesHaveConfiguredProportions) {
  Route route;
  route.name = "split";
  route.split = {{ServiceName("a"), 7.0},
                 {ServiceName("b"), 2.0},
                 {ServiceName("c"), 1.0}};
  TrafficSplitter splitter;
  for (int run = 0; run < 20; ++run) {
    std::map<std::string, int> counts;
    for (int n = 0; n < 10; ++n)
      ++counts[splitter.Next(route).value()];
    EXPECT_EQ(counts["a"], 7);
    EXPECT_EQ(counts["b"], 2);
    EXPECT_EQ(counts["c"], 1);
  }
}

// Guards against credits of an old split that distort the new one.
TEST(TrafficSplitterTest, ResetsCreditsWhenSplitChanges) {
  Route route;
  route.name = "split";
  route.split = {{ServiceName("a"), 1.0}, {ServiceName("b"), 1.0}};
  TrafficSplitter splitter;
  splitter.Next(route);
  route.split = {{ServiceName("b"), 1.0}, {ServiceName("c"), 1.0}};
  std::map<std::string, int> counts;
  for (int n = 0; n < 10; ++n)
    ++counts[splitter.Next(route).value()];
  EXPECT_EQ(counts["a"], 0);
  EXPECT_EQ(counts["b"], 5);
  EXPECT_EQ(counts["c"], 5);
}

}  // namespace
}  // namespace jujubecove

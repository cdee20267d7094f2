#include "route/route_table.h"

#include <gtest/gtest.h>

namespace jujubecove {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.split = {{ServiceName("service"), 1.0}};
  return route;
}

RouteTable MakeTable() {
  ServingConfig config;
  config.version = ConfigVersion(3);
  config.routes = {MakeRoute("a.example", "/x/"),
                   MakeRoute("a.example", "/x/y/"),
                   MakeRoute("b.example", "/")};
  config.services = {{ServiceName("service"), 26}};
  return RouteTable(std::move(config));
}

std::string NameOfRoute(const Route* route) {
  return route == nullptr ? "none" : route->name;
}

TEST(RouteTableTest, FindsRouteWithLongestPrefix) {
  RouteTable table = MakeTable();
  EXPECT_EQ(NameOfRoute(table.Find("a.example", "/x/y/z")), "a.example/x/y/");
  EXPECT_EQ(NameOfRoute(table.Find("a.example", "/x/yy/z")), "a.example/x/");
  EXPECT_EQ(NameOfRoute(table.Find("a.example", "/x/y")), "a.example/x/");
  EXPECT_EQ(NameOfRoute(table.Find("b.example", "/anything")), "b.example/");
}

TEST(RouteTableTest, IgnoresPortCaseAndQuery) {
  RouteTable table = MakeTable();
  EXPECT_EQ(NameOfRoute(table.Find("A.Example:8080", "/x/1")), "a.example/x/");
  EXPECT_EQ(NameOfRoute(table.Find("a.example", "/x/?p=/x/y/")),
            "a.example/x/");
}

TEST(RouteTableTest, FindsNothingWithoutMatchingRoute) {
  RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("a.example", "/z/"), nullptr);
  EXPECT_EQ(table.Find("c.example", "/x/"), nullptr);
  EXPECT_EQ(table.Find("a.example", "x/y/"), nullptr);
  EXPECT_EQ(table.Find("a.example", ""), nullptr);
}

TEST(RouteTableTest, FindsServices) {
  RouteTable table = MakeTable();
  ASSERT_NE(table.FindService(ServiceName("service")), nullptr);
  EXPECT_EQ(table.FindService(ServiceName("service"))->max_connections, 26);
  EXPECT_EQ(table.FindService(ServiceName("other")), nullptr);
}

// Deployments whose workspaces have no urgency are served by deadline alone.
TEST(RouteTableTest, RanksRequestsOnlyIfWorkspacesHaveUrgencies) {
  ServingConfig config;
  config.workspaces = {{WorkspaceName("a")}, {WorkspaceName("b")}};
  Route route;
  route.urgency = 3;
  EXPECT_EQ(RouteTable(config).UrgencyOf(route, WorkspaceName("a")), 0);
  config.workspaces[0].urgency = 1;
  RouteTable table(config);
  EXPECT_EQ(table.UrgencyOf(route, WorkspaceName("a")), 1);
  EXPECT_EQ(table.UrgencyOf(route, WorkspaceName("b")), 3);
  EXPECT_EQ(table.UrgencyOf(route, std::nullopt), 3);
}

}  // namespace
}  // namespace jujubecove

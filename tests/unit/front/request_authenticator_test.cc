#include "dispatch/request_authenticator.h"

#include <gtest/gtest.h>

#include <cstdio>

#include "kernel/fake_timer_service.h"
#include "platform/credential_protocol.h"
#include "platform/http_protocol.h"

namespace jujubecove {
namespace {

class RequestAuthenticatorTest : public testing::Test {
 protected:
  RequestAuthenticatorTest()
      : log_file_(std::tmpfile(), &std::fclose),
        sink_(fileno(log_file_.get()), 1U << 20U),
        log_(sink_, "vm", 1000),
        authenticator_(protocol_, timers_, log_, registry_) {
    // Tests of the daemon switch the log off.
    SetLogLevel(LogCategory::kGather, LogLevel::kInfo);
  }

  static RouteTablePtr MakeTable(const std::string& key,
                                 bool requires_key = true) {
    ServingConfig config;
    config.version = ConfigVersion(1);
    for (bool anonymous : {false, true}) {
      Route route;
      route.host = "host";
      route.prefix = anonymous ? "/open/" : "/a/";
      route.anonymous = anonymous;
      config.routes.push_back(route);
    }
    config.requires_api_key = requires_key;
    config.workspaces.push_back({WorkspaceName("w"), {key}});
    return std::make_shared<const RouteTable>(config);
  }
  // Returns the status of the refusal, or 0. Leaves the request in `request_`.
  int Send(const RouteTablePtr& table,
           const std::string& target,
           HeaderFields headers) {
    ForwardedRequest request;
    request.method = "GET";
    request.host = "host";
    request.target = target;
    request.headers = std::move(headers);
    request_ = std::make_shared<const ForwardedRequest>(std::move(request));
    std::optional<CallerAnswer> refusal =
        authenticator_.Authenticate(table, request_);
    return refusal ? AnswerOf(*refusal->error).http_status : 0;
  }
  // What a searcher is sent.
  std::string Head() const {
    return platform::PlatformSearcherProtocol().EncodeHead(
        *request_, InstanceId("i"), std::chrono::milliseconds(1));
  }
  std::string LogText() {
    sink_.Flush();
    std::rewind(log_file_.get());
    std::string text;
    for (int c = std::fgetc(log_file_.get()); c != EOF;
         c = std::fgetc(log_file_.get()))
      text += static_cast<char>(c);
    return text;
  }
  static HeaderFields Key(const std::string& key) {
    return {{"Authorization", "Token " + key}, {"X", "1"}};
  }

  FakeTimerService timers_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file_;
  LineSink sink_;
  DecisionLog log_;
  MetricsRegistry registry_;
  platform::PlatformCredentialProtocol protocol_;
  RequestAuthenticator authenticator_;
  ForwardedRequestPtr request_;
};

// Load: callers that claim another workspace. The searcher must be told the one
// that holds the key, and must not see the key.
TEST_F(RequestAuthenticatorTest, TellsSearcherWorkspaceOfKeyOnly) {
  HeaderFields headers = Key("secret");
  headers.push_back({"tenant", "forged"});
  ASSERT_EQ(Send(MakeTable("secret"), "/a/1", headers), 0);
  EXPECT_NE(Head().find("Tenant: w\r\n"), std::string::npos) << Head();
  EXPECT_EQ(Head().find("secret"), std::string::npos);
  EXPECT_EQ(Head().find("forged"), std::string::npos);
  EXPECT_NE(Head().find("X: 1\r\n"), std::string::npos);
}

TEST_F(RequestAuthenticatorTest, RefusesRequestsWithoutValidKey) {
  RouteTablePtr table = MakeTable("secret");
  EXPECT_EQ(Send(table, "/a/1", {}), 401);
  EXPECT_EQ(Send(table, "/a/1", Key("guess")), 401);
  EXPECT_EQ(Send(table, "/a/1", {{"Authorization", "Basic guess"}}), 401);
  EXPECT_EQ(Send(table, "/a/1", HeaderFields(10, Key("secret")[0])), 401);
  std::string log = LogText();
  EXPECT_NE(log.find("\"reason\":\"the API key is unknown\""),
            std::string::npos);
  EXPECT_EQ(log.find("guess"), std::string::npos);
  EXPECT_EQ(log.find("secret"), std::string::npos);
  EXPECT_NE(registry_.ToPrometheus().find("{reason=\"malformed_key\"} 2"),
            std::string::npos);
}

// An anonymous route serves every caller, but never under a claimed workspace.
TEST_F(RequestAuthenticatorTest, ServesAnonymousRouteWithAnyKey) {
  RouteTablePtr table = MakeTable("secret");
  for (const HeaderFields& it :
       {HeaderFields{{"Tenant", "w"}}, Key("guess"),
        HeaderFields{{"Authorization", "Basic guess"}}}) {
    EXPECT_EQ(Send(table, "/open/1", it), 0);
    EXPECT_FALSE(request_->workspace);
    EXPECT_EQ(Head().find("guess"), std::string::npos);
    EXPECT_EQ(Head().find("Tenant"), std::string::npos);
  }
  EXPECT_EQ(Send(table, "/open/1", Key("secret")), 0);
  EXPECT_EQ(request_->workspace, WorkspaceName("w"));
}

// A revoked key must be refused by the next request on a kept connection.
TEST_F(RequestAuthenticatorTest, UsesNewestTableForEachRequest) {
  EXPECT_EQ(Send(MakeTable("old"), "/a/1", Key("old")), 0);
  EXPECT_EQ(Send(MakeTable("new"), "/a/1", Key("old")), 401);
  EXPECT_EQ(Send(MakeTable("new"), "/a/1", Key("new")), 0);
}

// 503 and 404 go before 401, and deployments without workspaces are served as
// before.
TEST_F(RequestAuthenticatorTest, LeavesOtherRequestsUnchanged) {
  EXPECT_EQ(Send(nullptr, "/a/1", {}), 0);
  EXPECT_EQ(Send(MakeTable("k"), "/none/1", {}), 0);
  EXPECT_EQ(Send(MakeTable("k", false), "/a/1",
                 {{"Authorization", "Basic x"}, {"Tenant", "t"}}),
            0);
  EXPECT_NE(Head().find("Authorization: Basic x\r\nTenant: t\r\n"),
            std::string::npos);
}

}  // namespace
}  // namespace jujubecove

#include "ctl/console_handler.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace jujubecove {
namespace {

namespace http = boost::beast::http;
using testing::HasSubstr;
using testing::Not;

constexpr char kDocument[] =
    "[service a]\nshards = 2\nreplicas = 1\n[kind k]\nservice = a\n";
constexpr char kHost[] = "127.0.0.1:7480";

class ConsoleHandlerTest : public testing::Test {
 protected:
  ConsoleRequest Make(http::verb verb, const std::string& target) {
    ConsoleRequest request(verb, target, 11);
    request.set(http::field::host, kHost);
    request.set(http::field::cookie, "a=b; jujubecove_console=cookie-1");
    return request;
  }
  ConsoleRequest MakePost(const std::string& target, FormFields fields) {
    fields.emplace_back("token", "token-1");
    ConsoleRequest request = Make(http::verb::post, target);
    request.body() = EncodeForm(fields);
    return request;
  }
  ConsoleHandler handler_{kDocument, 7480, {"visit-1", "cookie-1", "token-1"}};
};

struct RefusalCase {
  std::string name;
  std::string header;
  // The header is omitted if there is no value.
  std::optional<std::string> value;
  int status;
};

class ConsoleRefusalTest : public ConsoleHandlerTest,
                           public testing::WithParamInterface<RefusalCase> {};

// Guards against cross-site requests, DNS rebinding and requests by other users
// of the machine.
TEST_P(ConsoleRefusalTest, RejectsForeignRequests) {
  ConsoleRequest request =
      MakePost("/submit", {{"do", "download"}, {"document", kDocument}});
  const RefusalCase& refusal = GetParam();
  if (refusal.header == "body")
    request.body() = *refusal.value;
  else if (refusal.value)
    request.set(refusal.header, *refusal.value);
  else
    request.erase(refusal.header);
  ConsoleResponse response = handler_.Handle(request);
  EXPECT_EQ(response.result_int(), refusal.status);
  EXPECT_EQ(response.count(http::field::content_disposition),
            refusal.status == 200 ? 1U : 0U);
  EXPECT_THAT(response.body(), Not(HasSubstr("token-1")));
}

const std::string kValid =
    "do=download&document=" + EncodeForm({{"", kDocument}}).substr(1);

INSTANTIATE_TEST_SUITE_P(
    Requests,
    ConsoleRefusalTest,
    testing::Values(
        RefusalCase{"OtherHost", "Host", "example.com", 421},
        RefusalCase{"OtherHostSamePort", "Host", "example.com:7480", 421},
        RefusalCase{"NoPort", "Host", "127.0.0.1", 421},
        RefusalCase{"OtherPort", "Host", "127.0.0.1:7481", 421},
        RefusalCase{"LongerHost", "Host", "127.0.0.1:7480.example.com", 421},
        RefusalCase{"NoHost", "Host", std::nullopt, 421},
        RefusalCase{"NoCookie", "Cookie", std::nullopt, 403},
        RefusalCase{"WrongCookie", "Cookie", "jujubecove_console=x", 403},
        RefusalCase{"LongerCookie", "Cookie", "jujubecove_console=cookie-12",
                    403},
        RefusalCase{"OtherCookie", "Cookie", "x=cookie-1", 403},
        RefusalCase{"OtherOrigin", "Origin", "http://example.com", 403},
        RefusalCase{"OtherScheme", "Origin", "https://127.0.0.1:7480", 403},
        RefusalCase{"OtherOriginPort", "Origin", "http://127.0.0.1:80", 403},
        RefusalCase{"NullOrigin", "Origin", "null", 403},
        RefusalCase{"EmptyOrigin", "Origin", "", 403},
        RefusalCase{"NoToken", "body", kValid, 403},
        RefusalCase{"WrongToken", "body", kValid + "&token=token-2", 403},
        RefusalCase{"Malformed", "body", kValid + "&token=token-1&x=%g", 400},
        RefusalCase{"SameOrigin", "Origin", "http://127.0.0.1:7480", 200}),
    [](const testing::TestParamInfo<RefusalCase>& it) {
      return it.param.name;
    });

// Guards against a page that others can read, embed in a frame or inject
// scripts into.
TEST_F(ConsoleHandlerTest, PageRequiresCookieAndSetsContentSecurityPolicy) {
  ConsoleRequest request = Make(http::verb::get, "/");
  ConsoleResponse page = handler_.Handle(request);
  EXPECT_EQ(page.result_int(), 200U);
  EXPECT_THAT(std::string(page["Content-Security-Policy"]),
              HasSubstr("default-src 'none'; style-src 'self'; form-action "
                        "'self'; frame-ancestors 'none'"));
  EXPECT_THAT(page.body(), HasSubstr("token-1"));
  request.erase(http::field::cookie);
  EXPECT_EQ(handler_.Handle(request).result_int(), 403U);
}

// Guards against giving the cookie to anyone who finds the port.
TEST_F(ConsoleHandlerTest, SetsCookieOnlyForCorrectSecret) {
  ConsoleRequest request = Make(http::verb::get, "/?secret=visit-1");
  request.erase(http::field::cookie);
  ConsoleResponse response = handler_.Handle(request);
  EXPECT_EQ(response.result_int(), 303U);
  EXPECT_EQ(std::string(response[http::field::set_cookie]),
            "jujubecove_console=cookie-1; HttpOnly; SameSite=Strict; Path=/");
  for (const char* target : {"/?secret=", "/?secret=visit-2", "/?secret=v"}) {
    request.target(target);
    response = handler_.Handle(request);
    EXPECT_EQ(response.result_int(), 403U) << target;
    EXPECT_EQ(response.count(http::field::set_cookie), 0U);
  }
}

// Guards against offering a document for download without its difference from
// the file.
TEST_F(ConsoleHandlerTest, ShowsTheDifferenceFromTheFile) {
  FormFields fields = {{"do", "review"},     {"s0.:type", "service"},
                       {"s0.:name", "a"},    {"s0.shards", "2"},
                       {"s0.replicas", "4"}, {"s1.:type", "kind"},
                       {"s1.:name", "k"},    {"s1.service", "a"}};
  std::string html = handler_.Handle(MakePost("/edit", fields)).body();
  EXPECT_THAT(html, HasSubstr("Difference from the file"));
  EXPECT_THAT(html, HasSubstr("replicas: "));
  EXPECT_THAT(html, HasSubstr("value=\"download\""));
}

// Guards against edits that lose entries or remove the wrong section.
TEST_F(ConsoleHandlerTest, AddsAndRemovesSections) {
  FormFields fields = {{"s0.:type", "service"}, {"s0.:name", "a"},
                       {"s0.shards", "77"},     {"s1.:type", "kind"},
                       {"s1.:name", "k"},       {"s1.service", "a"}};
  auto press = [&](const std::string& action) {
    FormFields all = fields;
    all.emplace_back("do", action);
    return handler_.Handle(MakePost("/edit", all)).body();
  };
  EXPECT_THAT(press("add-kind"), HasSubstr("<legend>kind (new)</legend>"));
  EXPECT_THAT(press("add-service"),
              HasSubstr("<legend>service (new)</legend>"));
  EXPECT_THAT(press("add-kind"), HasSubstr("value=\"77\""));
  std::string html = press("remove:1");
  EXPECT_THAT(html, Not(HasSubstr("<legend>kind k</legend>")));
  EXPECT_THAT(html, HasSubstr("<legend>service a</legend>"));
  EXPECT_THAT(press("remove:9"), HasSubstr("<legend>kind k</legend>"));
}

// Guards against downloads other than the validated canonical document, and
// against unknown actions.
TEST_F(ConsoleHandlerTest, OffersOnlyCanonicalDocument) {
  FormFields fields = {{"do", "download"}, {"document", kDocument}};
  ConsoleResponse response = handler_.Handle(MakePost("/submit", fields));
  EXPECT_THAT(std::string(response[http::field::content_disposition]),
              HasSubstr("attachment"));
  ConsoleRequest apply =
      MakePost("/submit", {{"do", "apply"}, {"document", kDocument}});
  EXPECT_EQ(handler_.Handle(apply).result_int(), 400U);
  fields[1].second = "[kind k]\nservice = none\n";
  EXPECT_EQ(handler_.Handle(MakePost("/submit", fields)).result_int(), 400U);
  // Browsers send line breaks as CR LF.
  fields[1].second =
      "[service a]\r\nshards = 2\r\nreplicas = 1\r\n"
      "[kind k]\r\nservice = a\r\n";
  EXPECT_EQ(handler_.Handle(MakePost("/submit", fields)).body(),
            response.body());
}

}  // namespace
}  // namespace jujubecove

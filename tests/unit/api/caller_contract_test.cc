#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "tests/unit/api/api_server_fixture.h"

namespace jujubecove {
namespace {

struct ContractCase {
  std::string name;
  std::string sent;
  int status;
  // Substrings of the body.
  std::vector<std::string> contains;
  bool keeps_connection;
};

std::vector<ContractCase> ContractCases() {
  const std::string query = "/v1/query/payout-search";
  const std::string large(1024 * 1024 + 1, 'x');
  return {
      {"Query", Post(query, "", "{\"a\":1}"), 200, {"{\"a\":1}"}, true},
      {"EmptyBody", Post(query, "", ""), 200, {}, true},
      {"MaximalBody", Post(query, "", large.substr(1)), 200, {"xxx"}, true},
      {"LeadingEmptyLines",
       "\r\n\r\n" + Post(query, "", "b"),
       200,
       {"b"},
       true},
      {"ChunkedBody",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
           "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
       200,
       {"abcde"},
       true},
      {"ConnectionClose",
       Post(query, "Connection: close\r\n", "b"),
       200,
       {"b"},
       false},
      {"Http10",
       "POST " + query + " HTTP/1.0\r\nContent-Length: 1\r\n\r\nb",
       200,
       {"b"},
       false},
      {"Http10KeepAlive",
       "POST " + query +
           " HTTP/1.0\r\nConnection: keep-alive\r\n"
           "Content-Length: 1\r\n\r\nb",
       200,
       {"b"},
       true},
      {"Tickets",
       Post("/v1/tickets?count=3", "", ""),
       200,
       {"{\"status\":\"ok\",\"tickets\":[\"ticket\",\"ticket\",\"ticket\"]}"},
       true},
      {"OneTicket", Post("/v1/tickets", "", ""), 200, {"[\"ticket\"]"}, true},
      {"Health", Get("/healthz"), 200, {"ok"}, true},
      {"Ready", Get("/readyz"), 200, {"ready"}, true},
      {"Metrics",
       Get("/metrics"),
       200,
       {"# TYPE jujubecove_frontend_requests_total counter"},
       true},
      {"Status",
       Get("/v1/status"),
       200,
       {"\"version\":\"1.2.3\"", "\"config_version\":7", "\"zone\":\"nyeri\"",
        "\"in_flight\":0"},
       true},

      {"MalformedStartLine",
       "nonsense\r\n\r\n",
       400,
       {"bad_request", "unknown"},
       false},
      {"UnknownVersion",
       "GET /healthz HTTP/3.0\r\nHost: x\r\n\r\n",
       400,
       {"bad_request"},
       false},
      {"ControlCharacterInField",
       "GET /healthz HTTP/1.1\r\nHost: a\001b\r\n\r\n",
       400,
       {"bad_request"},
       false},
      {"FieldWithoutColon",
       "GET /healthz HTTP/1.1\r\nHost x\r\n\r\n",
       400,
       {"bad_request"},
       false},
      {"NoHost",
       "GET /healthz HTTP/1.1\r\n\r\n",
       400,
       {"bad_request", "Host"},
       false},
      {"TwoHosts",
       "GET /healthz HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
       400,
       {"bad_request", "Host"},
       false},
      {"OversizedHeader",
       "GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + std::string(17'000, 'a') +
           "\r\n\r\n",
       431,
       {"header_too_large", "\"execution\":\"unknown\""},
       false},
      {"OversizedStartLine",
       "GET /" + std::string(17'000, 'a'),
       431,
       {"header_too_large"},
       false},
      {"OversizedBody",
       Post(query, "", large),
       413,
       {"payload_too_large", "\"execution\":\"not_run\""},
       false},
      {"OversizedBodyWithTicket",
       Post(query, "Idempotency-Key: t\r\n", large),
       413,
       {"payload_too_large", "\"execution\":\"unknown\""},
       false},
      {"OversizedChunk",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
           "chunked\r\n\r\n100001\r\n",
       413,
       {"payload_too_large"},
       false},
      {"OversizedChunkExtension",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
           "chunked\r\n\r\n1;x=" +
           std::string(40'000, 'a'),
       400,
       {"bad_request"},
       false},
      {"BadChunk",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
           "chunked\r\n\r\nzz\r\n",
       400,
       {"bad_request"},
       false},
      {"HugeContentLength",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\n"
           "Content-Length: 9223372036854775807\r\n\r\n",
       413,
       {"payload_too_large"},
       false},
      {"OverflowingContentLength",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\n"
           "Content-Length: 99999999999999999999999\r\n\r\n",
       400,
       {"bad_request"},
       false},
      {"NegativeContentLength",
       "POST " + query + " HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
       400,
       {"bad_request"},
       false},
      {"TwoContentLengths",
       Post(query, "Content-Length: 5\r\n", "b"),
       400,
       {"bad_request"},
       false},
      {"ContentLengthAndChunked",
       Post(query, "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
       400,
       {"bad_request"},
       false},
      {"OtherTransferEncoding",
       "POST " + query +
           " HTTP/1.1\r\nHost: x\r\n"
           "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       400,
       {"bad_request", "Transfer-Encoding"},
       false},
      {"OtherExpect",
       Post(query, "Expect: cake\r\n", ""),
       400,
       {"bad_request", "Expect"},
       false},
      {"WrongMethod", Get(query), 405, {"method_not_allowed", "POST"}, false},
      {"WrongMethodOnGet",
       Post("/healthz", "", ""),
       405,
       {"method_not_allowed", "GET"},
       false},
      {"UnknownPath",
       Get("/v2/query/x"),
       404,
       {"not_found", "\"execution\":\"not_run\""},
       false},
      {"EmptyKind", Post("/v1/query/", "", ""), 404, {"unknown_kind"}, false},
      {"MalformedKind",
       Post("/v1/query/a%2fb", "", ""),
       404,
       {"unknown_kind"},
       false},
      {"DeadlineOfZero",
       Post(query, "Jujubecove-Deadline-Ms: 0\r\n", ""),
       400,
       {"bad_request", "Jujubecove-Deadline-Ms"},
       false},
      {"DeadlineNotANumber",
       Post(query, "Jujubecove-Deadline-Ms: 1.5\r\n", ""),
       400,
       {"bad_request"},
       false},
      {"DeadlineTooLong",
       Post(query, "Jujubecove-Deadline-Ms: 600001\r\n", ""),
       400,
       {"bad_request"},
       false},
      {"TwoDeadlines",
       Post(query, "Jujubecove-Deadline-Ms: 1\r\nJujubecove-Deadline-Ms: 2\r\n",
            ""),
       400,
       {"bad_request", "more than once"},
       false},
      {"TwoTickets",
       Post(query, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", ""),
       400,
       {"bad_request", "\"execution\":\"unknown\""},
       false},
      {"EmptyTicket",
       Post(query, "Idempotency-Key:\r\n", ""),
       400,
       {"bad_request", "\"execution\":\"unknown\""},
       false},
      {"LongKey",
       Post(query, "Jujubecove-Key: " + std::string(1'025, 'k') + "\r\n", ""),
       400,
       {"bad_request", "longer"},
       false},
      {"NoTickets",
       Post("/v1/tickets?count=0", "", ""),
       400,
       {"bad_request"},
       false},
      {"TooManyTickets",
       Post("/v1/tickets?count=101", "", ""),
       400,
       {"bad_request"},
       false},
      {"OtherParameter",
       Post("/v1/tickets?number=1", "", ""),
       400,
       {"bad_request"},
       false},
  };
}

class CallerContractTest : public ApiServerFixture,
                           public testing::WithParamInterface<ContractCase> {};

// Every request must be answered as docs/interfaces.md says, and a connection
// that stays open must read the next request correctly.
TEST_P(CallerContractTest, AnswersAsDocumented) {
  const ContractCase& contract = GetParam();
  StartServer();
  std::unique_ptr<tcp::socket> caller = Connect();
  Send(*caller, contract.sent);
  std::optional<CallerReply> reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, contract.status) << reply->body;
  for (const std::string& part : contract.contains)
    EXPECT_THAT(reply->body, testing::HasSubstr(part));
  EXPECT_EQ(reply->keep_alive, contract.keeps_connection);
  if (!contract.keeps_connection) {
    EXPECT_TRUE(IsClosed(*caller));
    return;
  }
  Send(*caller, Post("/v1/query/next", "", "second"));
  reply = Receive(*caller);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->body, "second");
}

INSTANTIATE_TEST_SUITE_P(Contract,
                         CallerContractTest,
                         testing::ValuesIn(ContractCases()),
                         [](const testing::TestParamInfo<ContractCase>& info) {
                           return info.param.name;
                         });

}  // namespace
}  // namespace jujubecove

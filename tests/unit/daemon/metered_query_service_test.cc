#include "daemon/metered_query_service.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "kernel/fake_timer_service.h"

namespace jujubecove {
namespace {

class AnsweringService : public QueryService {
 public:
  void Submit(QueryRequest, AnswerHandler handler) override {
    handler(RenderedAnswer{200, "{\"status\":\"partial\",\"results\":[]}"});
  }
  void Abandon(RequestId) override {}
  void IssueTickets(std::size_t, TicketHandler) override {}
  std::size_t in_flight() const override { return 0; }
};

// Guards against labels with text from callers, with which callers could grow
// the metrics without bound.
TEST(MeteredQueryServiceTest, UsesOtherLabelForUndeclaredKinds) {
  AnsweringService service;
  FakeTimerService timers;
  MetricsRegistry metrics;
  MeteredQueryService metered(service, timers, metrics);
  Document document;
  document.kinds[KindName("known")] = KindSpec();
  metered.SetDocument(document);
  for (const char* kind : {"known", "guessed-1", "guessed-2"}) {
    QueryRequest request;
    request.kind = KindName(kind);
    metered.Submit(std::move(request), [](const RenderedAnswer&) {});
  }
  std::string text = metrics.ToPrometheus();
  EXPECT_THAT(
      text, testing::HasSubstr("jujubecove_query_answers_total{kind=\"known\","
                               "status=\"partial\"} 1\n"));
  EXPECT_THAT(
      text, testing::HasSubstr("jujubecove_query_answers_total{kind=\"other\","
                               "status=\"partial\"} 2\n"));
  EXPECT_THAT(text, testing::Not(testing::HasSubstr("guessed")));
}

// Guards against labels from a body that is not an answer.
TEST(MeteredQueryServiceTest, ReadsStatusFromAnswerBody) {
  EXPECT_EQ(StatusOfAnswer("{\"status\":\"complete\",\"x\":1}"), "complete");
  EXPECT_EQ(StatusOfAnswer("{\"status\":\"unterminated"), "other");
  EXPECT_EQ(StatusOfAnswer(""), "other");
  EXPECT_EQ(StatusOfAnswer("{\"status\":\"" + std::string(100, 'a') + "\"}"),
            "other");
}

}  // namespace
}  // namespace jujubecove

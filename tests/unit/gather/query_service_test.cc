#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gather/query_service_impl.h"
#include "once/ticket_options.h"
#include "tests/unit/gather/gather_fixture.h"

namespace jujubecove {
namespace {

// Holds what is forwarded until the test answers.
class ScriptedForwarder : public TicketForwarder {
 public:
  void Forward(const TicketOwner& owner,
               QueryRequest request,
               Handler handler) override {
    owners.push_back(owner);
    requests.push_back(std::move(request));
    handlers.push_back(std::move(handler));
  }

  std::vector<TicketOwner> owners;
  std::vector<QueryRequest> requests;
  std::vector<Handler> handlers;
};

std::unique_ptr<TicketTable> MakeTable(TimerService& timers,
                                       std::uint64_t incarnation) {
  TicketOptions options;
  options.peer_address = "127.0.0.1:9001";
  options.incarnation = IncarnationId(incarnation);
  return MakeTicketTable(timers, options);
}

class QueryServiceTest : public GatherTest {
 protected:
  QueryServiceTest()
      : tickets_(MakeTable(timers_, 1)),
        foreign_(MakeTable(timers_, 2)),
        service_(timers_,
                 engine_,
                 *tickets_,
                 forwarder_,
                 QueryServiceOptions()) {}

  QueryRequest Request(const std::string& ticket,
                       const std::string& kind = "record") {
    QueryRequest request;
    request.id = RequestId(++last_request_);
    request.kind = KindName(kind);
    request.key = "a";
    request.idempotency_key = ticket;
    request.body = "{}";
    return request;
  }
  void Ask(QueryRequest request) {
    service_.Submit(std::move(request), [this](RenderedAnswer answer) {
      bodies_.push_back(std::move(answer.body));
    });
  }
  std::string Own() { return tickets_->Issue(1).value().front(); }
  std::string Foreign() { return foreign_->Issue(1).value().front(); }
  bool Says(std::size_t n,
            const std::string& status,
            const std::string& execution) {
    return bodies_.at(n).find("{\"status\":\"" + status +
                              "\",\"execution\":\"" + execution + "\"") == 0;
  }

  ScriptedForwarder forwarder_;
  std::unique_ptr<TicketTable> tickets_;
  std::unique_ptr<TicketTable> foreign_;
  QueryServiceImpl service_;
  std::vector<std::string> bodies_;
};

// Guards against a request that reaches the searchers in spite of a fault.
TEST_F(QueryServiceTest, ChecksRequests) {
  Ask(Request("", "nothing"));
  EXPECT_TRUE(Says(0, "unknown_kind", "not_run"));
  Ask(Request(""));
  EXPECT_TRUE(Says(1, "ticket_required", "not_run"));
  Ask(Request("not-a-ticket"));
  EXPECT_TRUE(Says(2, "ticket_invalid", "not_run"));
  QueryRequest request = Request("", "read");
  request.body.assign((1U << 20U) + 1, 'x');
  Ask(request);
  EXPECT_TRUE(Says(3, "payload_too_large", "not_run"));
  EXPECT_TRUE(transport_.sent.empty());
  EXPECT_EQ(service_.in_flight(), 0U);
}

// Guards against a second run: repeats join or get the recorded answer, also
// those that another daemon forwards.
TEST_F(QueryServiceTest, RepeatsShareOneRun) {
  std::string ticket = Own();
  Ask(Request(ticket));
  Ask(Request(ticket));
  service_.ExecuteForwarded(Request(ticket), [this](RenderedAnswer answer) {
    bodies_.push_back(std::move(answer.body));
  });
  EXPECT_EQ(service_.in_flight(), 3U);
  ASSERT_EQ(transport_.sent.size(), 1U);
  Answer(0);
  Ask(Request(ticket));
  ASSERT_EQ(bodies_.size(), 4U);
  EXPECT_TRUE(Says(0, "complete", "ran"));
  for (const std::string& body : bodies_)
    EXPECT_EQ(body, bodies_[0]);
  EXPECT_EQ(transport_.sent.size(), 1U);
  QueryRequest other = Request(ticket);
  other.body = "{\"x\":1}";
  Ask(other);
  EXPECT_TRUE(Says(4, "ticket_mismatch", "not_run"));
}

// Guards against a refusal that a later copy makes false.
TEST_F(QueryServiceTest, NotRunIsFinal) {
  admission_.refusal = ErrorKind::kOverloaded;
  std::string ticket = Own();
  Ask(Request(ticket));
  admission_.refusal.reset();
  Ask(Request(ticket));
  EXPECT_TRUE(Says(0, "overloaded", "not_run"));
  EXPECT_TRUE(Says(1, "overloaded", "not_run"));
  // The kind may be declared between two copies of a request.
  ticket = Own();
  Ask(Request(ticket, "new"));
  EXPECT_TRUE(Says(2, "unknown_kind", "not_run"));
  Kind("new") = Kind("record");
  Ask(Request(ticket, "new"));
  EXPECT_TRUE(Says(3, "unknown_kind", "not_run"));
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against a caller's disconnection that stops a record under way.
TEST_F(QueryServiceTest, AbandonedRecordRunsOn) {
  std::string ticket = Own();
  QueryRequest request = Request(ticket);
  RequestId id = request.id;
  admission_.holds = true;
  Ask(request);
  service_.Abandon(id);
  EXPECT_TRUE(bodies_.empty());
  EXPECT_EQ(service_.in_flight(), 1U);
}

// Guards against "not run" by a daemon that does not own the ticket, whatever
// it finds wrong, and against running it here.
TEST_F(QueryServiceTest, ForeignTicketsAreForwarded) {
  std::string ticket = Foreign();
  Ask(Request(ticket));
  Ask(Request(ticket, "nothing"));
  QueryRequest request = Request(ticket);
  request.body.assign((1U << 20U) + 1, 'x');
  Ask(request);
  ASSERT_EQ(forwarder_.handlers.size(), 3U);
  EXPECT_EQ(forwarder_.owners[0].incarnation, IncarnationId(2));
  EXPECT_LT(*forwarder_.requests[0].deadline, Kind("record").deadline);
  forwarder_.handlers[0](RenderedAnswer{200, "theirs"});
  forwarder_.handlers[1](std::nullopt);
  EXPECT_EQ(bodies_[0], "theirs");
  EXPECT_TRUE(Says(1, "outcome_unknown", "unknown"));
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_TRUE(Says(2, "outcome_unknown", "unknown"));
  forwarder_.handlers[2](RenderedAnswer{200, "late"});
  EXPECT_EQ(bodies_.size(), 3U);
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against a successor at the same address that answers for the tickets
// of its predecessor, and against forwarding in a circle.
TEST_F(QueryServiceTest, SuccessorDoesNotKnowTheOutcome) {
  service_.ExecuteForwarded(Request(Foreign()), [this](RenderedAnswer answer) {
    bodies_.push_back(std::move(answer.body));
  });
  EXPECT_TRUE(Says(0, "outcome_unknown", "unknown"));
  EXPECT_TRUE(forwarder_.handlers.empty());
}

// Guards against a repeat that waits past its own deadline.
TEST_F(QueryServiceTest, JoinedRepeatKeepsItsDeadline) {
  std::string ticket = Own();
  Ask(Request(ticket));
  QueryRequest repeat = Request(ticket);
  repeat.deadline = Duration(50'000);
  Ask(repeat);
  timers_.AdvanceBy(Duration(50'000));
  ASSERT_EQ(bodies_.size(), 1U);
  EXPECT_TRUE(Says(0, "outcome_unknown", "unknown"));
  Answer(0);
  EXPECT_EQ(bodies_.size(), 2U);
}

}  // namespace
}  // namespace jujubecove

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gather/query_service_impl.h"
#include "tests/unit/gather/gather_fixture.h"
#include "tickets/ticket_options.h"

namespace jujubecove {
namespace {

// Stores forwarded requests until the test answers them.
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
        foreign_tickets_(MakeTable(timers_, 2)),
        service_(timers_,
                 engine_,
                 *tickets_,
                 forwarder_,
                 QueryServiceOptions()) {}

  QueryRequest MakeRequest(const std::string& ticket,
                           const std::string& kind = "record") {
    QueryRequest request;
    request.id = RequestId(++last_request_);
    request.kind = KindName(kind);
    request.key = "a";
    request.idempotency_key = ticket;
    request.body = "{}";
    return request;
  }
  void SubmitRequest(QueryRequest request) {
    service_.Submit(std::move(request), [this](RenderedAnswer answer) {
      bodies_.push_back(std::move(answer.body));
    });
  }
  std::string OwnTicket() { return tickets_->Issue(1).value().front(); }
  std::string ForeignTicket() {
    return foreign_tickets_->Issue(1).value().front();
  }
  bool HasStatus(std::size_t n,
                 const std::string& status,
                 const std::string& execution) {
    return bodies_.at(n).find("{\"status\":\"" + status +
                              "\",\"execution\":\"" + execution + "\"") == 0;
  }

  ScriptedForwarder forwarder_;
  std::unique_ptr<TicketTable> tickets_;
  std::unique_ptr<TicketTable> foreign_tickets_;
  QueryServiceImpl service_;
  std::vector<std::string> bodies_;
};

// Guards against sending an invalid request to the searchers.
TEST_F(QueryServiceTest, RejectsInvalidRequests) {
  SubmitRequest(MakeRequest("", "nothing"));
  EXPECT_TRUE(HasStatus(0, "unknown_kind", "not_run"));
  SubmitRequest(MakeRequest(""));
  EXPECT_TRUE(HasStatus(1, "ticket_required", "not_run"));
  SubmitRequest(MakeRequest("not-a-ticket"));
  EXPECT_TRUE(HasStatus(2, "ticket_invalid", "not_run"));
  QueryRequest request = MakeRequest("", "read");
  request.body.assign((1U << 20U) + 1, 'x');
  SubmitRequest(request);
  EXPECT_TRUE(HasStatus(3, "payload_too_large", "not_run"));
  EXPECT_TRUE(transport_.sent.empty());
  EXPECT_EQ(service_.in_flight(), 0U);
}

// Guards against running a ticket twice: duplicates, including those forwarded
// by another daemon, wait for the first run or get the recorded answer.
TEST_F(QueryServiceTest, RunsDuplicateRequestsOnce) {
  std::string ticket = OwnTicket();
  SubmitRequest(MakeRequest(ticket));
  SubmitRequest(MakeRequest(ticket));
  service_.ExecuteForwarded(MakeRequest(ticket), [this](RenderedAnswer answer) {
    bodies_.push_back(std::move(answer.body));
  });
  EXPECT_EQ(service_.in_flight(), 3U);
  ASSERT_EQ(transport_.sent.size(), 1U);
  ReplyTo(0);
  SubmitRequest(MakeRequest(ticket));
  ASSERT_EQ(bodies_.size(), 4U);
  EXPECT_TRUE(HasStatus(0, "complete", "ran"));
  for (const std::string& body : bodies_)
    EXPECT_EQ(body, bodies_[0]);
  EXPECT_EQ(transport_.sent.size(), 1U);
  QueryRequest other = MakeRequest(ticket);
  other.body = "{\"x\":1}";
  SubmitRequest(other);
  EXPECT_TRUE(HasStatus(4, "ticket_mismatch", "not_run"));
}

// Guards against a request that is reported as not run and runs later because a
// duplicate arrives.
TEST_F(QueryServiceTest, KeepsNotRunOutcomeForLaterDuplicates) {
  admission_.refusal = ErrorKind::kOverloaded;
  std::string ticket = OwnTicket();
  SubmitRequest(MakeRequest(ticket));
  admission_.refusal.reset();
  SubmitRequest(MakeRequest(ticket));
  EXPECT_TRUE(HasStatus(0, "overloaded", "not_run"));
  EXPECT_TRUE(HasStatus(1, "overloaded", "not_run"));
  // The kind may be added between two duplicates of a request.
  ticket = OwnTicket();
  SubmitRequest(MakeRequest(ticket, "new"));
  EXPECT_TRUE(HasStatus(2, "unknown_kind", "not_run"));
  Kind("new") = Kind("record");
  SubmitRequest(MakeRequest(ticket, "new"));
  EXPECT_TRUE(HasStatus(3, "unknown_kind", "not_run"));
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against cancelling a request with a ticket when its client
// disconnects.
TEST_F(QueryServiceTest, KeepsTicketRequestRunningAfterDisconnect) {
  std::string ticket = OwnTicket();
  QueryRequest request = MakeRequest(ticket);
  RequestId id = request.id;
  admission_.holds_queries = true;
  SubmitRequest(request);
  service_.Abandon(id);
  EXPECT_TRUE(bodies_.empty());
  EXPECT_EQ(service_.in_flight(), 1U);
}

// Guards against "not run" from a daemon that does not own the ticket, even for
// an invalid request, and against running the request there.
TEST_F(QueryServiceTest, ForwardsForeignTickets) {
  std::string ticket = ForeignTicket();
  SubmitRequest(MakeRequest(ticket));
  SubmitRequest(MakeRequest(ticket, "nothing"));
  QueryRequest request = MakeRequest(ticket);
  request.body.assign((1U << 20U) + 1, 'x');
  SubmitRequest(request);
  ASSERT_EQ(forwarder_.handlers.size(), 3U);
  EXPECT_EQ(forwarder_.owners[0].incarnation, IncarnationId(2));
  EXPECT_LT(*forwarder_.requests[0].deadline, Kind("record").deadline);
  forwarder_.handlers[0](RenderedAnswer{200, "theirs"});
  forwarder_.handlers[1](std::nullopt);
  EXPECT_EQ(bodies_[0], "theirs");
  EXPECT_TRUE(HasStatus(1, "outcome_unknown", "unknown"));
  timers_.AdvanceBy(Duration(250'000));
  EXPECT_TRUE(HasStatus(2, "outcome_unknown", "unknown"));
  forwarder_.handlers[2](RenderedAnswer{200, "late"});
  EXPECT_EQ(bodies_.size(), 3U);
  EXPECT_TRUE(transport_.sent.empty());
}

// Guards against a restarted daemon that answers for tickets of the previous
// incarnation at its address, and against forwarding loops.
TEST_F(QueryServiceTest, AnswersUnknownForTicketOfPredecessor) {
  service_.ExecuteForwarded(MakeRequest(ForeignTicket()),
                            [this](RenderedAnswer answer) {
                              bodies_.push_back(std::move(answer.body));
                            });
  EXPECT_TRUE(HasStatus(0, "outcome_unknown", "unknown"));
  EXPECT_TRUE(forwarder_.handlers.empty());
}

// Guards against a duplicate that waits past its own deadline.
TEST_F(QueryServiceTest, AnswersDuplicateAtItsOwnDeadline) {
  std::string ticket = OwnTicket();
  SubmitRequest(MakeRequest(ticket));
  QueryRequest repeat = MakeRequest(ticket);
  repeat.deadline = Duration(50'000);
  SubmitRequest(repeat);
  timers_.AdvanceBy(Duration(50'000));
  ASSERT_EQ(bodies_.size(), 1U);
  EXPECT_TRUE(HasStatus(0, "outcome_unknown", "unknown"));
  ReplyTo(0);
  EXPECT_EQ(bodies_.size(), 2U);
}

}  // namespace
}  // namespace jujubecove

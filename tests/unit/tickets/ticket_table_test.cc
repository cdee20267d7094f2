#include "tickets/ticket_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "tickets/ticket_codec.h"
#include "tickets/ticket_options.h"

namespace jujubecove {
namespace {

TicketOptions MakeOptions(std::uint64_t incarnation) {
  TicketOptions options;
  options.peer_address = "127.0.0.1:9001";
  options.incarnation = IncarnationId(incarnation);
  options.secret.fill(static_cast<std::uint8_t>(incarnation));
  options.capacity = 3;
  options.refused_capacity = 1;
  return options;
}

class TicketTableTest : public testing::Test {
 protected:
  std::string Issue() { return table_->Issue(1).value().front(); }
  Result<TicketBeginResult> Begin(const std::string& ticket,
                                  std::uint64_t fingerprint = 1) {
    return table_->Begin(ticket, fingerprint, [this](const TicketOutcome& it) {
      notified_answers_.push_back(it.answer);
    });
  }
  TicketState StateOf(const std::string& ticket) {
    return Begin(ticket).value().state;
  }
  ErrorKind ErrorOf(const std::string& ticket, std::uint64_t fingerprint = 1) {
    return Begin(ticket, fingerprint).error().kind;
  }

  FakeTimerService timers_;
  std::unique_ptr<TicketTable> table_ =
      MakeTicketTable(timers_, MakeOptions(7));
  std::vector<std::string> notified_answers_;
};

// Guards against running a ticket twice, and against a duplicate request that
// gets another outcome or none.
TEST_F(TicketTableTest, RunsOnceAndNotifiesDuplicates) {
  std::string ticket = Issue();
  EXPECT_EQ(StateOf(ticket), TicketState::kRun);
  EXPECT_EQ(StateOf(ticket), TicketState::kJoined);
  EXPECT_EQ(StateOf(ticket), TicketState::kJoined);
  table_->Finish(ticket, TicketOutcome{Execution::kNotRun, "first", 429});
  EXPECT_EQ(notified_answers_, (std::vector<std::string>{"first", "first"}));
  table_->Finish(ticket, TicketOutcome{Execution::kRan, "second", 200});
  TicketBeginResult duplicate = Begin(ticket).value();
  EXPECT_EQ(duplicate.state, TicketState::kFinished);
  EXPECT_EQ(duplicate.outcome->answer, "first");
  EXPECT_EQ(duplicate.outcome->http_status, 429);
}

// Guards against returning the answer of one request to a different one.
TEST_F(TicketTableTest, RejectsTicketOfAnotherRequest) {
  std::string ticket = Issue();
  EXPECT_EQ(StateOf(ticket), TicketState::kRun);
  EXPECT_EQ(ErrorOf(ticket, 2), ErrorKind::kTicketMismatch);
  table_->Finish(ticket, TicketOutcome{Execution::kRan, "mine", 200});
  EXPECT_EQ(ErrorOf(ticket, 2), ErrorKind::kTicketMismatch);
}

// Guards against forged tickets.
TEST_F(TicketTableTest, RejectsTicketWithAnyChangedCharacter) {
  std::string ticket = Issue();
  for (std::size_t n = 0; n < ticket.size(); ++n) {
    std::string forged = ticket;
    forged[n] = forged[n] == 'A' ? 'B' : 'A';
    EXPECT_EQ(ErrorOf(forged), ErrorKind::kTicketInvalid) << n;
  }
  EXPECT_EQ(ErrorOf(ticket + "A"), ErrorKind::kTicketInvalid);
  EXPECT_EQ(ErrorOf(""), ErrorKind::kTicketInvalid);
  EXPECT_EQ(table_->size(), 0U);
}

// Guards against forwarding to the wrong owner, or forwarding text that is not
// a ticket.
TEST_F(TicketTableTest, DecodesOwnerOfTicket) {
  TicketOwner owner = table_->OwnerOf(Issue()).value();
  EXPECT_EQ(owner.peer_address, "127.0.0.1:9001");
  EXPECT_EQ(owner.incarnation, IncarnationId(7));
  EXPECT_TRUE(table_->Owns(owner));
  EXPECT_FALSE(table_->OwnerOf("payment-17"));
  EXPECT_FALSE(table_->OwnerOf(std::string(1'000, 'A')));
}

// Guards against a restarted daemon that runs its predecessor's tickets.
TEST_F(TicketTableTest, RejectsTicketOfAnotherIncarnation) {
  std::string ticket = Issue();
  std::unique_ptr<TicketTable> next = MakeTicketTable(timers_, MakeOptions(8));
  EXPECT_FALSE(next->Owns(next->OwnerOf(ticket).value()));
  EXPECT_EQ(next->Begin(ticket, 1, nullptr).error().kind,
            ErrorKind::kTicketInvalid);
}

// Guards against running a ticket again after its record was dropped, and
// against keeping records for ever.
TEST_F(TicketTableTest, TicketExpiresAfterItsLifetime) {
  std::string used = Issue();
  std::string unused = Issue();
  EXPECT_EQ(StateOf(used), TicketState::kRun);
  table_->Finish(used, TicketOutcome{Execution::kRan, "done", 200});
  timers_.AdvanceBy(std::chrono::minutes(10) - Duration(1));
  EXPECT_EQ(StateOf(used), TicketState::kFinished);
  timers_.AdvanceBy(Duration(1));
  EXPECT_EQ(ErrorOf(used), ErrorKind::kTicketExpired);
  EXPECT_EQ(ErrorOf(unused), ErrorKind::kTicketExpired);
  EXPECT_EQ(table_->size(), 0U);
  EXPECT_EQ(StateOf(Issue()), TicketState::kRun);
}

// Guards against unbounded memory, and against answering "not run" when there
// is no room to remember the refusal.
TEST_F(TicketTableTest, RefusesNewTicketWhenFull) {
  for (int n = 0; n < 3; ++n)
    EXPECT_EQ(StateOf(Issue()), TicketState::kRun);
  timers_.AdvanceBy(std::chrono::minutes(9));
  std::string refused = Issue();
  EXPECT_EQ(ErrorOf(refused), ErrorKind::kOverloaded);
  std::string unknown = Issue();
  EXPECT_EQ(ErrorOf(unknown), ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(table_->size(), 3U);
}

// Guards against answering "not run" and then running a delayed copy of the
// request once there is room, and against dropping the record of a running
// request.
TEST_F(TicketTableTest, RefusedTicketStaysRefusedWhenTableEmpties) {
  std::vector<std::string> used;
  for (int n = 0; n < 3; ++n) {
    used.push_back(Issue());
    EXPECT_EQ(StateOf(used.back()), TicketState::kRun);
  }
  timers_.AdvanceBy(std::chrono::minutes(9));
  std::string refused = Issue();
  EXPECT_EQ(ErrorOf(refused), ErrorKind::kOverloaded);
  timers_.AdvanceBy(std::chrono::minutes(2));
  EXPECT_EQ(ErrorOf(refused), ErrorKind::kOverloaded);
  EXPECT_EQ(table_->size(), 3U);
  for (const std::string& ticket : used)
    table_->Finish(ticket, TicketOutcome{Execution::kRan, "", 200});
  EXPECT_EQ(ErrorOf(refused), ErrorKind::kOverloaded);
  EXPECT_EQ(table_->size(), 0U);
}

// Guards against duplicate tickets in a batch.
TEST_F(TicketTableTest, IssuesDistinctTicketsUpToLimit) {
  std::vector<std::string> batch = table_->Issue(1'000).value();
  EXPECT_EQ(std::set<std::string>(batch.begin(), batch.end()).size(), 1'000U);
  EXPECT_EQ(table_->size(), 0U);
  EXPECT_EQ(table_->Issue(0).error().kind, ErrorKind::kBadRequest);
  EXPECT_EQ(table_->Issue(1'001).error().kind, ErrorKind::kBadRequest);
}

}  // namespace
}  // namespace jujubecove

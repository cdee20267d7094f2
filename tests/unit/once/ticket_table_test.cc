#include "once/ticket_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/fake_timer_service.h"
#include "once/ticket_codec.h"
#include "once/ticket_options.h"

namespace jujubecove {
namespace {

TicketOptions Options(std::uint64_t incarnation) {
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
      told_.push_back(it.answer);
    });
  }
  TicketState StateOf(const std::string& ticket) {
    return Begin(ticket).value().state;
  }
  ErrorKind ErrorOf(const std::string& ticket, std::uint64_t fingerprint = 1) {
    return Begin(ticket, fingerprint).error().kind;
  }

  FakeTimerService timers_;
  std::unique_ptr<TicketTable> table_ = MakeTicketTable(timers_, Options(7));
  std::vector<std::string> told_;
};

// Guards against a second run, and against a repeat that gets another outcome
// or none.
TEST_F(TicketTableTest, RunsOnceAndTellsRepeats) {
  std::string ticket = Issue();
  EXPECT_EQ(StateOf(ticket), TicketState::kRun);
  EXPECT_EQ(StateOf(ticket), TicketState::kJoined);
  EXPECT_EQ(StateOf(ticket), TicketState::kJoined);
  table_->Finish(ticket, TicketOutcome{Execution::kNotRun, "first", 429});
  EXPECT_EQ(told_, (std::vector<std::string>{"first", "first"}));
  table_->Finish(ticket, TicketOutcome{Execution::kRan, "second", 200});
  TicketBeginResult repeat = Begin(ticket).value();
  EXPECT_EQ(repeat.state, TicketState::kFinished);
  EXPECT_EQ(repeat.outcome->answer, "first");
  EXPECT_EQ(repeat.outcome->http_status, 429);
}

// Guards against an answer that reaches a caller with another request.
TEST_F(TicketTableTest, RejectsAnotherRequest) {
  std::string ticket = Issue();
  EXPECT_EQ(StateOf(ticket), TicketState::kRun);
  EXPECT_EQ(ErrorOf(ticket, 2), ErrorKind::kTicketMismatch);
  table_->Finish(ticket, TicketOutcome{Execution::kRan, "mine", 200});
  EXPECT_EQ(ErrorOf(ticket, 2), ErrorKind::kTicketMismatch);
}

// Guards against a forged ticket: any changed letter must invalidate it.
TEST_F(TicketTableTest, RejectsEveryChangedLetter) {
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

// Guards against text that is no ticket being forwarded somewhere.
TEST_F(TicketTableTest, NamesItsOwner) {
  TicketOwner owner = table_->OwnerOf(Issue()).value();
  EXPECT_EQ(owner.peer_address, "127.0.0.1:9001");
  EXPECT_EQ(owner.incarnation, IncarnationId(7));
  EXPECT_TRUE(table_->Owns(owner));
  EXPECT_FALSE(table_->OwnerOf("payment-17"));
  EXPECT_FALSE(table_->OwnerOf(std::string(1'000, 'A')));
}

// Guards against a replacement process that runs its predecessor's tickets.
TEST_F(TicketTableTest, RejectsTicketsOfAnotherIncarnation) {
  std::string ticket = Issue();
  std::unique_ptr<TicketTable> next = MakeTicketTable(timers_, Options(8));
  EXPECT_FALSE(next->Owns(next->OwnerOf(ticket).value()));
  EXPECT_EQ(next->Begin(ticket, 1, nullptr).error().kind,
            ErrorKind::kTicketInvalid);
}

// Guards against a ticket that runs again after its record was dropped, and
// against records that are kept for ever.
TEST_F(TicketTableTest, ExpiresByTheOwnersClock) {
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

// Guards against unbounded memory: with no room to remember a refusal, "not
// run" must not be said.
TEST_F(TicketTableTest, FullTableRefuses) {
  for (int n = 0; n < 3; ++n)
    EXPECT_EQ(StateOf(Issue()), TicketState::kRun);
  timers_.AdvanceBy(std::chrono::minutes(9));
  std::string refused = Issue();
  EXPECT_EQ(ErrorOf(refused), ErrorKind::kOverloaded);
  std::string unknown = Issue();
  EXPECT_EQ(ErrorOf(unknown), ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(table_->size(), 3U);
}

// Guards against a refusal "not run" that a delayed copy makes false once there
// is room again, and against dropping the record of a request that still runs.
TEST_F(TicketTableTest, RefusedStaysRefusedWhenThereIsRoom) {
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

// Guards against a batch of tickets in which one occurs twice.
TEST_F(TicketTableTest, IssuesDistinctTicketsWithinBounds) {
  std::vector<std::string> batch = table_->Issue(1'000).value();
  EXPECT_EQ(std::set<std::string>(batch.begin(), batch.end()).size(), 1'000U);
  EXPECT_EQ(table_->size(), 0U);
  EXPECT_EQ(table_->Issue(0).error().kind, ErrorKind::kBadRequest);
  EXPECT_EQ(table_->Issue(1'001).error().kind, ErrorKind::kBadRequest);
}

}  // namespace
}  // namespace jujubecove

#include "membership/member_table.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace jujubecove {
namespace {

wire::Member MakeMember(std::int64_t incarnation,
                        std::int64_t sequence,
                        wire::MemberState::type state) {
  wire::Member member;
  member.incarnation = incarnation;
  member.address = "10.0.0." + std::to_string(incarnation) + ":1";
  member.sequence = sequence;
  member.state = state;
  return member;
}

std::vector<wire::Member> ArbitraryClaims() {
  std::vector<wire::Member> claims;
  int count = *rc::gen::inRange(0, 12);
  for (int n = 0; n < count; ++n)
    claims.push_back(MakeMember(
        *rc::gen::inRange(2, 5), *rc::gen::inRange(0, 3),
        static_cast<wire::MemberState::type>(*rc::gen::inRange(0, 4))));
  return claims;
}

// Guards against daemons that heard the same claims in different orders, or
// more than once, disagreeing for ever.
TEST(MemberTableTest, OrderAndRepetitionOfClaimsDoNotMatter) {
  bool ok = rc::check([] {
    std::vector<wire::Member> claims = ArbitraryClaims();
    MemberTable left(MakeMember(1, 0, wire::MemberState::LIVE));
    MemberTable right(MakeMember(1, 0, wire::MemberState::LIVE));
    for (const wire::Member& claim : claims)
      left.Merge(claim, TimePoint());
    std::reverse(claims.begin(), claims.end());
    claims.insert(claims.end(), claims.begin(), claims.end());
    for (const wire::Member& claim : claims)
      right.Merge(claim, TimePoint());
    RC_ASSERT(left.digest() == right.digest());
  });
  EXPECT_TRUE(ok);
}

// Guards against a daemon that accepts its own death.
TEST(MemberTableTest, RefutesClaimsAgainstItself) {
  MemberTable table(MakeMember(1, 0, wire::MemberState::LIVE));
  EXPECT_TRUE(
      table.Merge(MakeMember(1, 4, wire::MemberState::GONE), TimePoint()));
  EXPECT_EQ(table.self().state, wire::MemberState::LIVE);
  EXPECT_EQ(table.self().sequence, 5);
}

// Guards against a message growing with the number of changes, and against a
// change that is repeated for ever.
TEST(MemberTableTest, ChangesAreSentInBoundedPartsAndFinallyStop) {
  MemberTable table(MakeMember(1, 0, wire::MemberState::LIVE));
  for (int n = 2; n < 100; ++n)
    table.Merge(MakeMember(n, 0, wire::MemberState::LIVE), TimePoint());
  int messages = 0;
  while (table.has_changes()) {
    EXPECT_LE(table.TakeChanges(16).size(), 16U);
    ASSERT_LT(++messages, 1'000);
  }
}

// Guards against malformed claims, which a peer may send in any field.
TEST(MemberTableTest, IgnoresMalformedClaims) {
  MemberTable table(MakeMember(1, 0, wire::MemberState::LIVE));
  wire::Member bad = MakeMember(2, 0, static_cast<wire::MemberState::type>(9));
  EXPECT_FALSE(table.Merge(bad, TimePoint()));
  bad = MakeMember(2, -1, wire::MemberState::LIVE);
  EXPECT_FALSE(table.Merge(bad, TimePoint()));
  bad = MakeMember(2, 0, wire::MemberState::LIVE);
  bad.zone = std::string(100'000, 'z');
  EXPECT_FALSE(table.Merge(bad, TimePoint()));
}

}  // namespace
}  // namespace jujubecove

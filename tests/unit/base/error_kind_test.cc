#include "base/error_kind.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace jujubecove {
namespace {

// Guards against error kinds that callers can't tell apart by name.
TEST(ErrorKindTest, NamesAreDistinct) {
  std::set<std::string> names;
  for (int n = 0; n < kErrorKindCount; ++n)
    names.insert(std::string(NameOf(static_cast<ErrorKind>(n))));
  EXPECT_EQ(names.size(), static_cast<std::size_t>(kErrorKindCount));
}

// Guards against answering an unknown outcome with the HTTP status of a request
// that did not run.
TEST(ErrorKindTest, UnknownOutcomeHasUniqueHttpStatus) {
  int unknown = AnswerOf(ErrorKind::kOutcomeUnknown).http_status;
  for (int n = 0; n < kErrorKindCount; ++n) {
    const ErrorAnswer& answer = AnswerOf(static_cast<ErrorKind>(n));
    if (answer.kind != ErrorKind::kOutcomeUnknown) {
      EXPECT_NE(answer.http_status, unknown) << answer.name;
    }
  }
}

}  // namespace
}  // namespace jujubecove

#pragma once

#include <boost/outcome/result.hpp>
// Needs the declarations of the header above.
#include <boost/outcome/policy/terminate.hpp>
#include <string>

#include "base/error_kind.h"

namespace jujubecove {

// An error of the closed list with a detail for people.
struct Error {
  ErrorKind kind;
  std::string detail;
};

// The value of an operation or its error. Reading the absent side is a
// programming error and terminates.
template <typename T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace jujubecove

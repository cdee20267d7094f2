#pragma once

#include <boost/outcome/result.hpp>
// Needs the declarations of the header above.
#include <boost/outcome/policy/terminate.hpp>
#include <string>

#include "base/error_kind.h"

namespace jujubecove {

// An error kind with a human-readable detail.
struct Error {
  ErrorKind kind;
  std::string detail;
};

// The value of an operation or its error. Reading the absent one is a
// programming error and terminates the process.
template <typename T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace jujubecove

#pragma once

#include <boost/json/object.hpp>
#include <istream>
#include <string>
#include <vector>

namespace jujubecove {

// The lines of a decision log that concern one request, in their order. Text
// before the JSON object of a line, such as the name of a VM, is skipped.
std::vector<boost::json::object> FindDecisions(std::istream& log,
                                               const std::string& request);

// One decision in words.
std::string DescribeDecision(const boost::json::object& decision);

// What explains the outcome of the request, in one sentence; says so when the
// log does not contain its answer.
std::string ExplainOutcome(const std::vector<boost::json::object>& decisions);

}  // namespace jujubecove

#pragma once

#include <boost/json/object.hpp>
#include <istream>
#include <string>
#include <vector>

namespace jujubecove {

// Returns the decisions about one request from a decision log, in log order.
// Text before the JSON object of a line, such as a VM name, is skipped.
std::vector<boost::json::object> FindDecisions(std::istream& log,
                                               const std::string& request);

// Describes a decision in words.
std::string DescribeDecision(const boost::json::object& decision);

// Explains the outcome of the request in one sentence, or says that the log
// does not contain its answer.
std::string ExplainOutcome(const std::vector<boost::json::object>& decisions);

}  // namespace jujubecove

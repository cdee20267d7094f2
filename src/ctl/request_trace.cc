#include "ctl/request_trace.h"

#include <boost/json.hpp>
#include <sstream>

namespace jujubecove {
namespace {

namespace json = boost::json;

std::string FieldText(const json::object& decision, std::string_view name) {
  const json::value* value = decision.if_contains(name);
  if (value == nullptr)
    return "";
  if (value->is_string())
    return std::string(value->get_string());
  if (value->is_double()) {
    std::ostringstream out;
    out << value->get_double();
    return out.str();
  }
  return json::serialize(*value);
}

double FieldNumber(const json::object& decision, std::string_view name) {
  const json::value* value = decision.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : 0.0;
}

// Formats the fields other than those that every line has.
std::string OtherFields(const json::object& decision) {
  std::string text;
  for (const json::key_value_pair& it : decision) {
    std::string name(it.key());
    if (name == "time_ms" || name == "vm" || name == "category" ||
        name == "event" || name == "request")
      continue;
    text += (text.empty() ? "" : ", ") + name + " " + FieldText(decision, name);
  }
  return text;
}

std::string DescribeMissingParts(const std::vector<json::object>& decisions) {
  std::string text;
  for (const json::object& it : decisions) {
    if (FieldText(it, "event") != "part_missing")
      continue;
    text += "; " + FieldText(it, "service") + " is missing after " +
            FieldText(it, "attempts") + " attempts: " + FieldText(it, "cause");
    std::string last = FieldText(it, "last_failure");
    if (!last.empty())
      text += " (" + last + ")";
  }
  return text;
}

std::string DescribeFailedAttempts(const std::vector<json::object>& decisions) {
  std::string text;
  for (const json::object& it : decisions) {
    std::string event = FieldText(it, "event");
    if (event == "attempt_failed" || event == "part_failed") {
      text += "; the attempt at " + FieldText(it, "searcher") +
              " failed: " + FieldText(it, "cause");
    }
  }
  return text;
}

}  // namespace

std::vector<json::object> FindDecisions(std::istream& log,
                                        const std::string& request) {
  std::vector<json::object> found;
  for (std::string line; std::getline(log, line);) {
    // Parsing is slow, and most lines concern other requests.
    std::size_t begin = line.find('{');
    if (begin == std::string::npos || line.find(request) == std::string::npos)
      continue;
    boost::system::error_code ec;
    json::value value = json::parse(line.substr(begin), ec);
    if (!ec && value.is_object() &&
        FieldText(value.get_object(), "request") == request)
      found.push_back(value.get_object());
  }
  return found;
}

std::string DescribeDecision(const json::object& decision) {
  return FieldText(decision, "vm") + " " + FieldText(decision, "event") + ": " +
         OtherFields(decision);
}

std::string ExplainOutcome(const std::vector<json::object>& decisions) {
  for (const json::object& it : decisions) {
    std::string event = FieldText(it, "event");
    if (event == "refused")
      return "refused: " + FieldText(it, "reason");
    if (event == "caller_left") {
      return "the caller left after " + FieldText(it, "after_ms") + " ms" +
             DescribeFailedAttempts(decisions);
    }
    if (event != "answered")
      continue;
    std::string text;
    if (!FieldText(it, "error").empty()) {
      text = FieldText(it, "error") + " after " + FieldText(it, "took_ms") +
             " ms: " + FieldText(it, "reason");
    } else {
      text = "answered with status " + FieldText(it, "status") + " after " +
             FieldText(it, "took_ms") + " ms";
      if (FieldNumber(it, "took_ms") > FieldNumber(it, "target_ms")) {
        text +=
            ", later than its target of " + FieldText(it, "target_ms") + " ms";
        if (!FieldText(it, "last_part_searcher").empty()) {
          text += "; the last part came from " +
                  FieldText(it, "last_part_searcher") + " after " +
                  FieldText(it, "last_part_ms") + " ms";
        } else {
          text += "; searcher " + FieldText(it, "searcher");
        }
      }
    }
    return text + DescribeMissingParts(decisions) +
           DescribeFailedAttempts(decisions);
  }
  return "no answer is in the log: the process ended before it, the line was "
         "left out (see lines_left_out), or the request came to another VM";
}

}  // namespace jujubecove

#include "ctl/request_trace.h"

#include <boost/json.hpp>
#include <sstream>

namespace jujubecove {
namespace {

namespace json = boost::json;

std::string Text(const json::object& decision, std::string_view name) {
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

double Number(const json::object& decision, std::string_view name) {
  const json::value* value = decision.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : 0.0;
}

// Everything but the fields that each line has.
std::string OtherFields(const json::object& decision) {
  std::string text;
  for (const json::key_value_pair& it : decision) {
    std::string name(it.key());
    if (name == "time_ms" || name == "vm" || name == "category" ||
        name == "event" || name == "request")
      continue;
    text += (text.empty() ? "" : ", ") + name + " " + Text(decision, name);
  }
  return text;
}

std::string ExplainMissing(const std::vector<json::object>& decisions) {
  std::string text;
  for (const json::object& it : decisions) {
    if (Text(it, "event") != "part_missing")
      continue;
    text += "; " + Text(it, "service") + " is missing after " +
            Text(it, "attempts") + " attempts: " + Text(it, "cause");
    std::string last = Text(it, "last_failure");
    if (!last.empty())
      text += " (" + last + ")";
  }
  return text;
}

std::string ExplainFailures(const std::vector<json::object>& decisions) {
  std::string text;
  for (const json::object& it : decisions) {
    std::string event = Text(it, "event");
    if (event == "attempt_failed" || event == "part_failed") {
      text += "; the attempt at " + Text(it, "searcher") +
              " failed: " + Text(it, "cause");
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
        Text(value.get_object(), "request") == request)
      found.push_back(value.get_object());
  }
  return found;
}

std::string DescribeDecision(const json::object& decision) {
  return Text(decision, "vm") + " " + Text(decision, "event") + ": " +
         OtherFields(decision);
}

std::string ExplainOutcome(const std::vector<json::object>& decisions) {
  for (const json::object& it : decisions) {
    std::string event = Text(it, "event");
    if (event == "refused")
      return "refused: " + Text(it, "reason");
    if (event == "caller_left") {
      return "the caller left after " + Text(it, "after_ms") + " ms" +
             ExplainFailures(decisions);
    }
    if (event != "answered")
      continue;
    std::string text;
    if (!Text(it, "error").empty()) {
      text = Text(it, "error") + " after " + Text(it, "took_ms") +
             " ms: " + Text(it, "reason");
    } else {
      text = "answered with status " + Text(it, "status") + " after " +
             Text(it, "took_ms") + " ms";
      if (Number(it, "took_ms") > Number(it, "target_ms")) {
        text += ", later than its target of " + Text(it, "target_ms") + " ms";
        if (!Text(it, "last_part_searcher").empty()) {
          text += "; the last part came from " +
                  Text(it, "last_part_searcher") + " after " +
                  Text(it, "last_part_ms") + " ms";
        } else {
          text += "; searcher " + Text(it, "searcher");
        }
      }
    }
    return text + ExplainMissing(decisions) + ExplainFailures(decisions);
  }
  return "no answer is in the log: the process ended before it, the line was "
         "left out (see lines_left_out), or the request came to another VM";
}

}  // namespace jujubecove

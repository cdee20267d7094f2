#include "ctl/query_commands.h"

#include <boost/json.hpp>
#include <sstream>

#include "ctl/http_fetch.h"

namespace jujubecove {
namespace {

namespace json = boost::json;

// A ticket is always sent, because kinds that need none ignore it.
std::string FetchTicket(const CommandContext& context) {
  HttpCall call;
  call.method = "POST";
  call.target = "/v1/tickets?count=1";
  HttpReply reply = Fetch(context.daemon, call);
  boost::system::error_code ec;
  json::value value = json::parse(reply.body, ec);
  if (ec || !value.is_object() || !value.as_object().contains("tickets"))
    return {};
  return json::value_to<std::string>(
      value.as_object().at("tickets").as_array().at(0));
}

std::string MemberText(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr)
    return "unknown";
  if (value->is_string())
    return std::string(value->as_string());
  if (value->is_double()) {
    std::ostringstream text;
    text << value->as_double();
    return text.str();
  }
  return json::serialize(*value);
}

void PrintCoverage(const json::object& coverage, std::ostream& out) {
  out << "coverage:       " << MemberText(coverage, "covered_share")
      << " of the addressed shards, shard map "
      << MemberText(coverage, "shard_map") << "\n";
  const json::value* gaps = coverage.if_contains("gaps");
  if (gaps == nullptr || !gaps->is_array())
    return;
  for (const json::value& gap : gaps->as_array()) {
    const json::object& row = gap.as_object();
    if (MemberText(row, "cause") == "not_addressed")
      continue;
    out << "  gap " << MemberText(row, "shard") << " ["
        << MemberText(row, "from") << ", " << MemberText(row, "to")
        << "): " << MemberText(row, "cause") << "\n";
  }
}

void PrintAnswer(const json::object& answer, std::ostream& out) {
  out << "status:         " << MemberText(answer, "status") << "\n"
      << "execution:      " << MemberText(answer, "execution") << "\n";
  const json::value* coverage = answer.if_contains("coverage");
  if (coverage != nullptr && coverage->is_object())
    PrintCoverage(coverage->as_object(), out);
  out << "index version:  " << MemberText(answer, "index_version") << "\n"
      << "config version: " << MemberText(answer, "config_version") << "\n"
      << "trace:          " << MemberText(answer, "trace_id") << "\n";
  const json::value* results = answer.if_contains("results");
  if (results == nullptr || !results->is_array())
    return;
  out << "records:        " << results->as_array().size() << "\n";
  for (const json::value& record : results->as_array())
    out << "  " << json::serialize(record) << "\n";
}

}  // namespace

std::string QueryCommand::help() const {
  return "BODY is JSON, {} by default. KEY is needed for kinds that address "
         "one key. A ticket is fetched first, so non-idempotent kinds work; "
         "running the command again sends a new request. Exit code 0 for a "
         "complete "
         "or partial answer, 1 for a refusal, 4 when the outcome is unknown.";
}

ExitCode QueryCommand::Run(const std::vector<std::string>& arguments,
                           const CommandContext& context) {
  if (arguments.empty() || arguments.size() > 3)
    return context.Fail(ExitCode::kUsage, "query takes KIND [BODY] [KEY]");
  HttpCall call;
  call.method = "POST";
  call.target = "/v1/query/" + arguments[0];
  call.body = arguments.size() > 1 ? arguments[1] : "{}";
  call.headers.emplace_back("Jujubecove-Caller", "jujubecovectl");
  std::string ticket = FetchTicket(context);
  if (!ticket.empty())
    call.headers.emplace_back("Idempotency-Key", ticket);
  if (arguments.size() > 2)
    call.headers.emplace_back("Jujubecove-Key", arguments[2]);
  HttpReply reply = Fetch(context.daemon, call);
  if (reply.status == 0)
    return context.Fail(ExitCode::kUnreachable,
                        context.daemon + ": " + reply.error);
  boost::system::error_code ec;
  json::value answer = json::parse(reply.body, ec);
  if (ec || !answer.is_object())
    return context.Fail(ExitCode::kRefused, "not an answer: " + reply.body);
  if (context.json)
    context.PrintJson(answer);
  else
    PrintAnswer(answer.as_object(), context.out);
  if (reply.status == 200)
    return ExitCode::kOk;
  return MemberText(answer.as_object(), "execution") == "unknown"
             ? ExitCode::kUnknown
             : ExitCode::kRefused;
}

std::string StatusCommand::help() const {
  return "Queries the entry daemon at --daemon.";
}

ExitCode StatusCommand::Run(const std::vector<std::string>& arguments,
                            const CommandContext& context) {
  if (!arguments.empty())
    return context.Fail(ExitCode::kUsage, "status takes no arguments");
  HttpReply reply = Get(context.daemon, "/v1/status");
  if (reply.status != 200)
    return context.Fail(ExitCode::kUnreachable,
                        context.daemon + ": " + reply.error);
  if (context.json) {
    context.out << reply.body << "\n";
    return ExitCode::kOk;
  }
  boost::system::error_code ec;
  json::value status = json::parse(reply.body, ec);
  if (ec || !status.is_object())
    return context.Fail(ExitCode::kRefused, "not a status: " + reply.body);
  for (const json::key_value_pair& it : status.as_object()) {
    std::string name(it.key());
    context.out << name << ": " << MemberText(status.as_object(), name.c_str())
                << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace jujubecove

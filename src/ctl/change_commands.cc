#include "ctl/change_commands.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "ctl/document_file.h"
#include "ctl/store_session.h"
#include "document/document_text.h"

namespace jujubecove {
namespace {

namespace json = boost::json;

std::optional<ConfigVersion> ParseVersion(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size())
    return std::nullopt;
  return ConfigVersion(value);
}

std::string_view NameOf(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kInForce:
      return "in_force";
    case ApplyOutcome::kNowhere:
      return "nowhere";
    case ApplyOutcome::kUnknown:
      break;
  }
  return "unknown";
}

ExitCode CodeOf(const ApplyReport& report) {
  if (report.outcome == ApplyOutcome::kInForce)
    return ExitCode::kOk;
  if (report.outcome == ApplyOutcome::kUnknown)
    return ExitCode::kUnknown;
  return report.conflict ? ExitCode::kConflict : ExitCode::kRefused;
}

json::object ToJson(const ZoneReport& zone) {
  return json::object{{"zone", zone.zone},
                      {"reached", zone.reached},
                      {"live", zone.live},
                      {"staged", zone.staged},
                      {"active", zone.active},
                      {"in_force", zone.in_force},
                      {"waiting", json::value_from(zone.waiting)},
                      {"rejection", zone.rejection}};
}

void PrintJsonReport(const ApplyReport& report, const CommandContext& context) {
  json::array zones;
  for (const ZoneReport& it : report.zones)
    zones.push_back(ToJson(it));
  context.PrintJson(
      json::object{{"outcome", json::string(NameOf(report.outcome))},
                   {"version", report.version.value()},
                   {"base", report.base.value()},
                   {"everywhere", report.everywhere},
                   {"superseded", report.superseded},
                   {"conflict", report.conflict},
                   {"reason", report.reason},
                   {"zones", std::move(zones)}});
}

void PrintZone(const ZoneReport& zone, std::ostream& out) {
  out << "  zone " << zone.zone << ": ";
  if (!zone.reached) {
    out << "not heard of; it goes on serving the version it has\n";
    return;
  }
  out << zone.active << " of " << zone.live << " daemons serve it, "
      << zone.staged << " hold it";
  if (!zone.rejection.empty())
    out << "; rejected: " << zone.rejection;
  out << "\n";
}

ExitCode ApplyText(StoreSession& session,
                   ApplyRequest request,
                   const CommandContext& context) {
  Result<ApplyReport> result = ApplyDocument(session, std::move(request));
  if (!result)
    return context.Fail(ExitCode::kUnreachable, result.error().detail);
  const ApplyReport& report = result.value();
  if (context.json)
    PrintJsonReport(report, context);
  else
    PrintReport(report, context.out);
  return CodeOf(report);
}

bool IsListed(const ActiveRecord& record, ConfigVersion version) {
  return record.active.version == version ||
         std::any_of(record.history.begin(), record.history.end(),
                     [version](const PastVersion& it) {
                       return it.version == version;
                     });
}

// The text of a version that was in force; `code` says why there is none.
std::optional<std::string> LoadVersion(StoreSession& session,
                                       const std::string& text,
                                       const CommandContext& context,
                                       ExitCode& code) {
  std::optional<ConfigVersion> version = ParseVersion(text);
  if (!version) {
    code = context.Fail(ExitCode::kUsage, "not a version: " + text);
    return std::nullopt;
  }
  Result<std::optional<ActiveRecord>> active = session.ReadActive();
  if (!active) {
    code = context.Fail(ExitCode::kUnreachable, active.error().detail);
    return std::nullopt;
  }
  if (!active.value() || !IsListed(*active.value(), *version)) {
    code = context.Fail(ExitCode::kRefused,
                        "version " + text + " is not in the history");
    return std::nullopt;
  }
  Result<std::string> document = session.ReadDocument(*version);
  if (!document) {
    code = context.Fail(ExitCode::kUnreachable, document.error().detail);
    return std::nullopt;
  }
  return std::move(document.value());
}

void PrintHistory(StoreSession& session,
                  const ActiveRecord& record,
                  const std::vector<std::string>& zones,
                  const CommandContext& context) {
  json::array versions;
  json::array zone_rows;
  std::vector<ConfigVersion> listed = {record.active.version};
  for (const PastVersion& it : record.history)
    listed.push_back(it.version);
  for (ConfigVersion version : listed) {
    bool in_force = version == record.active.version;
    versions.push_back(
        json::object{{"version", version.value()}, {"in_force", in_force}});
    if (!context.json)
      context.out << "version " << version.value()
                  << (in_force ? "  in force, sha256 " + record.active.sha256
                               : "")
                  << "\n";
  }
  for (const std::string& zone : zones) {
    ZoneRecord state = session.ReadZone(zone).value_or(ZoneRecord());
    zone_rows.push_back(
        json::object{{"zone", zone},
                     {"live", state.live},
                     {"least_active", state.least_active.value()},
                     {"active", state.active}});
    if (!context.json)
      context.out << "zone " << zone << ": " << state.live
                  << " daemons, oldest version in force "
                  << state.least_active.value() << "\n";
  }
  if (context.json)
    context.PrintJson(json::object{{"versions", std::move(versions)},
                                   {"zones", std::move(zone_rows)}});
}

}  // namespace

Result<ApplyReport> ApplyDocument(StoreSession& session, ApplyRequest request) {
  Result<std::vector<std::string>> zones = session.ReadZones();
  if (!zones)
    return zones.error();
  return session.Apply(std::move(zones.value()), std::move(request));
}

void PrintReport(const ApplyReport& report, std::ostream& out) {
  bool proposed = report.version != ConfigVersion();
  if (proposed)
    out << "version " << report.version.value() << " (after "
        << report.base.value() << "): ";
  else
    out << "the change ";
  if (report.outcome == ApplyOutcome::kUnknown)
    out << "is unknown to be in force; run \"jujubecovectl history\"";
  else if (report.outcome == ApplyOutcome::kNowhere)
    out << "is in force nowhere";
  else if (report.superseded)
    out << "was in force and has been superseded";
  else
    out << (report.everywhere ? "is in force everywhere"
                              : "is in force, not yet confirmed everywhere");
  if (!report.reason.empty())
    out << ": " << report.reason;
  out << "\n";
  if (!proposed)
    return;
  for (const ZoneReport& it : report.zones)
    PrintZone(it, out);
}

std::string ApplyCommand::help() const {
  return "Validates FILE, stages it at the live daemons of each zone, "
         "activates "
         "it by one write and waits until it is in force everywhere. With "
         "BASE_VERSION the change is refused when another version is in force. "
         "\"incomplete\" activates although daemons don't hold the document, "
         "as "
         "for the first one. Exit code 0: in force; 1: nowhere; 4: not known, "
         "ask history; 5: another change came first.";
}

ExitCode ApplyCommand::Run(const std::vector<std::string>& arguments,
                           const CommandContext& context) {
  if (arguments.empty() || arguments.size() > 3)
    return context.Fail(ExitCode::kUsage, "apply takes " + this->arguments());
  ApplyRequest request;
  for (std::size_t n = 1; n < arguments.size(); ++n) {
    if (arguments[n] == "incomplete") {
      request.incomplete = true;
      continue;
    }
    request.expected_base = ParseVersion(arguments[n]);
    if (!request.expected_base)
      return context.Fail(ExitCode::kUsage, "not a version: " + arguments[n]);
  }
  ExitCode code = ExitCode::kOk;
  std::optional<Document> document = LoadDocument(arguments[0], context, code);
  if (!document)
    return code;
  request.text = CanonicalText(*document);
  Result<std::unique_ptr<StoreSession>> session =
      StoreSession::Open(context.platform);
  if (!session)
    return context.Fail(ExitCode::kUsage, session.error().detail);
  return ApplyText(*session.value(), std::move(request), context);
}

std::string RevertCommand::help() const {
  return "Versions only go up, so the old content gets a new number. VERSION "
         "is "
         "one that history lists.";
}

ExitCode RevertCommand::Run(const std::vector<std::string>& arguments,
                            const CommandContext& context) {
  if (arguments.size() != 1)
    return context.Fail(ExitCode::kUsage, "revert takes one VERSION");
  Result<std::unique_ptr<StoreSession>> session =
      StoreSession::Open(context.platform);
  if (!session)
    return context.Fail(ExitCode::kUsage, session.error().detail);
  ExitCode code = ExitCode::kOk;
  std::optional<std::string> document =
      LoadVersion(*session.value(), arguments[0], context, code);
  if (!document)
    return code;
  ApplyRequest request;
  request.text = std::move(*document);
  return ApplyText(*session.value(), std::move(request), context);
}

std::string HistoryCommand::help() const {
  return "With VERSION, prints that version's document.";
}

ExitCode HistoryCommand::Run(const std::vector<std::string>& arguments,
                             const CommandContext& context) {
  if (arguments.size() > 1)
    return context.Fail(ExitCode::kUsage, "history takes at most one VERSION");
  Result<std::unique_ptr<StoreSession>> session =
      StoreSession::Open(context.platform);
  if (!session)
    return context.Fail(ExitCode::kUsage, session.error().detail);
  if (!arguments.empty()) {
    ExitCode code = ExitCode::kOk;
    std::optional<std::string> document =
        LoadVersion(*session.value(), arguments[0], context, code);
    if (document)
      context.out << *document;
    return code;
  }
  Result<std::optional<ActiveRecord>> active = session.value()->ReadActive();
  if (!active)
    return context.Fail(ExitCode::kUnreachable, active.error().detail);
  Result<std::vector<std::string>> zones = session.value()->ReadZones();
  if (!zones)
    return context.Fail(ExitCode::kUnreachable, zones.error().detail);
  if (!active.value())
    return context.Fail(ExitCode::kRefused, "no document is in force");
  PrintHistory(*session.value(), *active.value(), zones.value(), context);
  return ExitCode::kOk;
}

}  // namespace jujubecove

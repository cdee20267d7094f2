#include "ctl/platform_commands.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <optional>

#include "ctl/request_trace.h"
#include "http/http_client.h"
#include "kernel/asio_timer_service.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "route/route_table.h"

namespace jujubecove {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);
// Where entry daemons describe the part of a rate limit that they grant.
constexpr char kQuotaStatePath[] = "/quota/state";
constexpr std::size_t kMaxStateBytes = 65536;

// Reads all keys of the store; std::nullopt if a page could not be read.
std::optional<std::vector<KvItem>> ReadStore(const SocketAddress& address) {
  boost::asio::io_context context;
  AsioTimerService timers(context);
  platform::PlatformKvClient store(context, timers, address, kCallTimeout);
  std::vector<KvItem> items;
  bool failed = false;
  bool done = false;
  std::function<void(const std::string&)> read = [&](const std::string& after) {
    store.Range("", after, [&](KvPage page) {
      failed = page.status != KvStatus::kOk;
      items.insert(items.end(), page.items.begin(), page.items.end());
      done = failed || !page.has_more || page.items.empty();
      if (!done)
        read(page.items.back().key);
    });
  };
  read("");
  while (!done)
    context.run_one();
  if (failed)
    return std::nullopt;
  return items;
}

// Asks every entry daemon for its part of the workspace's rate limit. By VM;
// null for a daemon that did not answer.
std::map<VmId, boost::json::value> ReadQuotaStates(
    const std::vector<DaemonEntry>& daemons,
    const WorkspaceName& workspace) {
  boost::asio::io_context context;
  AsioTimerService timers(context);
  std::string body = boost::json::serialize(
      boost::json::object{{"workspace", workspace.value()},
                          {"vm", ""},
                          {"needed", 0},
                          {"ahead", 0}});
  std::map<VmId, boost::json::value> states;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::size_t answered = 0;
  for (const DaemonEntry& it : daemons) {
    clients.push_back(std::make_unique<HttpClient>(
        context, timers, *it.peer_address, kMaxStateBytes));
    clients.back()->Call("POST", kQuotaStatePath, body, kCallTimeout,
                         [&, vm = it.vm](const HttpExchange& exchange) {
                           ++answered;
                           boost::system::error_code ec;
                           states[vm] = exchange.reply
                                            ? boost::json::parse(
                                                  exchange.reply->body, ec)
                                            : boost::json::value();
                         });
  }
  while (answered < daemons.size())
    context.run_one();
  return states;
}

double NumberOf(const boost::json::object& object, const char* name) {
  const boost::json::value* value = object.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : 0.0;
}

// Prints the parts that the daemons grant, and their sum.
void PrintQuotaStates(const std::map<VmId, boost::json::value>& states,
                      const CommandContext& context) {
  double rate = 0.0;
  double tokens = 0.0;
  for (const auto& [vm, state] : states) {
    if (!state.is_object()) {
      context.out << vm << ": no answer\n";
      continue;
    }
    const boost::json::object& part = state.as_object();
    const boost::json::value* owner = part.if_contains("owner");
    if (owner == nullptr || *owner != true)
      continue;
    const boost::json::value* confirmed = part.if_contains("confirmed");
    rate += NumberOf(part, "rate_per_second");
    tokens += NumberOf(part, "tokens");
    context.out << vm << ": grants " << NumberOf(part, "rate_per_second")
                << " a second, holds " << NumberOf(part, "tokens") << " of "
                << NumberOf(part, "capacity") << " tokens, granted "
                << NumberOf(part, "granted") << " since it is the owner"
                << (confirmed != nullptr && *confirmed == true
                        ? ""
                        : "; not sure to be the only owner")
                << "\n";
  }
  context.out << "together: " << rate << " a second, " << tokens << " tokens\n";
}

void PrintRoute(const Route& route, const CommandContext& context) {
  context.out << "route " << route.name << ": "
              << (route.idempotent ? "may be retried and hedged"
                                   : "runs at most once")
              << ", urgency " << route.urgency << ", target "
              << ToMilliseconds(route.target_latency) << " ms, timeout "
              << ToMilliseconds(route.timeout) << " ms, at most "
              << route.max_attempts << " searchers";
  if (route.scatter) {
    context.out << " of each of " << route.scatter->shards.size()
                << " shards, minimum share " << route.scatter->min_shard_share
                << ", top " << route.scatter->top_records << " records\n";
    return;
  }
  context.out << ";";
  for (const WeightedService& it : route.split)
    context.out << " " << it.service << " (weight " << it.weight << ")";
  context.out << "\n";
}

}  // namespace

std::string TraceCommand::help() const {
  return "Reads the log of one or more entry daemons from standard input. The "
         "last line names\nthe cause of a refusal, a failure, a late answer or "
         "a missing part.";
}

ExitCode TraceCommand::Run(const std::vector<std::string>& arguments,
                           const CommandContext& context) {
  if (arguments.size() != 1)
    return context.Fail(ExitCode::kUsage, "trace takes one REQUEST-ID");
  std::vector<boost::json::object> decisions =
      FindDecisions(std::cin, arguments[0]);
  for (const boost::json::object& it : decisions)
    context.out << DescribeDecision(it) << "\n";
  context.out << "cause: " << ExplainOutcome(decisions) << "\n";
  return decisions.empty() ? ExitCode::kRefused : ExitCode::kOk;
}

std::string InForceCommand::help() const {
  return "Reads the store at --platform. Without arguments it prints the "
         "version, the routes, the\nready searchers of each service and the "
         "entry daemons. With a host and a path it prints\nthe route that a "
         "request takes.";
}

ExitCode InForceCommand::Run(const std::vector<std::string>& arguments,
                             const CommandContext& context) {
  std::optional<SocketAddress> address = SocketAddress::Parse(context.platform);
  if (!address || (!arguments.empty() && arguments.size() != 2))
    return context.Fail(ExitCode::kUsage,
                        "in-force takes no arguments, or HOST and PATH");
  std::optional<std::vector<KvItem>> items = ReadStore(*address);
  if (!items)
    return context.Fail(ExitCode::kUnreachable, "the store can't be read");
  platform::PlatformRegistrationCodec codec;
  std::optional<RouteTable> table;
  std::map<std::string, int> ready;
  int daemons = 0;
  for (const KvItem& it : *items) {
    if (it.key == codec.config_key()) {
      Result<ServingConfig> config = codec.DecodeConfig(it.value);
      if (!config)
        return context.Fail(ExitCode::kRefused, config.error().detail);
      table.emplace(std::move(config.value()));
    } else if (it.key.starts_with(codec.searcher_prefix())) {
      Result<SearcherEntry> entry =
          codec.DecodeSearcher(InstanceId(it.key), it.value);
      if (entry && entry.value().state == SearcherState::kReady)
        ++ready[entry.value().service.value()];
    } else if (it.key.starts_with(codec.daemon_prefix())) {
      ++daemons;
    }
  }
  if (!table)
    return context.Fail(ExitCode::kRefused, "the store has no configuration");
  if (!arguments.empty()) {
    const Route* route = table->Find(arguments[0], arguments[1]);
    if (route == nullptr)
      return context.Fail(ExitCode::kRefused, "no route: the answer is 404");
    PrintRoute(*route, context);
    return ExitCode::kOk;
  }
  context.out << "version " << table->version() << ", " << daemons
              << " entry daemons\n";
  for (const std::string& it : table->config().faults)
    context.out << "fault: " << it << "\n";
  for (const Workspace& it : table->config().workspaces) {
    context.out << "workspace " << it.name << ": " << it.api_keys.size()
                << " API keys\n";
  }
  for (const Route& it : table->config().routes) {
    context.out << it.host << it.prefix << " ";
    PrintRoute(it, context);
  }
  for (const ServiceConfig& it : table->config().services) {
    context.out << "service " << it.name << ": " << ready[it.name.value()]
                << " ready searchers, " << it.max_connections
                << " connections each\n";
  }
  return ExitCode::kOk;
}

std::string QuotaCommand::help() const {
  return "Reads the limit in the store at --platform, then asks the entry "
         "daemons for the parts that they\ngrant. Only addresses that this "
         "machine can reach answer.";
}

ExitCode QuotaCommand::Run(const std::vector<std::string>& arguments,
                           const CommandContext& context) {
  std::optional<SocketAddress> address = SocketAddress::Parse(context.platform);
  if (!address || arguments.size() != 1)
    return context.Fail(ExitCode::kUsage, "quota takes one WORKSPACE");
  std::optional<std::vector<KvItem>> items = ReadStore(*address);
  if (!items)
    return context.Fail(ExitCode::kUnreachable, "the store can't be read");
  platform::PlatformRegistrationCodec codec;
  WorkspaceName name(arguments[0]);
  std::optional<Workspace> workspace;
  std::vector<DaemonEntry> daemons;
  for (const KvItem& it : *items) {
    if (it.key == codec.config_key()) {
      Result<ServingConfig> config = codec.DecodeConfig(it.value);
      if (!config)
        return context.Fail(ExitCode::kRefused, config.error().detail);
      for (const Workspace& candidate : config.value().workspaces) {
        if (candidate.name == name)
          workspace = candidate;
      }
    } else if (it.key.starts_with(codec.daemon_prefix())) {
      VmId vm(it.key.substr(codec.daemon_prefix().size()));
      Result<DaemonEntry> entry = codec.DecodeDaemon(vm, it.value);
      if (entry && entry.value().peer_address)
        daemons.push_back(entry.value());
    }
  }
  if (!workspace)
    return context.Fail(ExitCode::kRefused, "no such workspace");
  if (workspace->rate_per_second <= 0.0) {
    context.out << "workspace " << name << ": no rate limit\n";
    return ExitCode::kOk;
  }
  context.out << "workspace " << name << ": " << workspace->rate_per_second
              << " requests a second, burst " << workspace->burst << "\n";
  PrintQuotaStates(ReadQuotaStates(daemons, name), context);
  return ExitCode::kOk;
}

}  // namespace jujubecove

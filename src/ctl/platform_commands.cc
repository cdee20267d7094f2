#include "ctl/platform_commands.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <optional>

#include "ctl/request_trace.h"
#include "kernel/asio_timer_service.h"
#include "platform/kv_client.h"
#include "platform/registration_codec.h"
#include "route/route_table.h"

namespace jujubecove {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);

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

}  // namespace jujubecove

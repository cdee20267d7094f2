#include "tests/standin/searcher_fleet_server.h"

#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <mutex>
#include <sstream>
#include <utility>

namespace jujubecove::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Whether a selector field of a fault row matches; an absent field matches all.
bool Matches(const json::object& row,
             const char* field,
             const json::value& actual) {
  const json::value* wanted = row.if_contains(field);
  return wanted == nullptr || *wanted == actual;
}

double NumberOr(const json::object& row, const char* field, double fallback) {
  const json::value* value = row.if_contains(field);
  return value == nullptr ? fallback : value->to_number<double>();
}

bool FlagOr(const json::object& row, const char* field, bool fallback) {
  const json::value* value = row.if_contains(field);
  return value == nullptr ? fallback : value->as_bool();
}

void ChangeHoldings(const json::object& row, SearcherModel& model) {
  if (const json::value* hold = row.if_contains("hold"))
    model.Hold(ShardMapVersion(hold->at(0).to_number<std::uint64_t>()),
               IndexVersion(hold->at(1).to_number<std::uint64_t>()));
  if (const json::value* drop = row.if_contains("drop"))
    model.Drop(ShardMapVersion(drop->at(0).to_number<std::uint64_t>()),
               IndexVersion(drop->at(1).to_number<std::uint64_t>()));
}

void ApplyFaultRow(const json::object& row, SearcherServer& server) {
  SearcherFaults faults = server.model().faults();
  faults.slow_factor = NumberOr(row, "slow", faults.slow_factor);
  faults.cold_share = NumberOr(row, "cold", faults.cold_share);
  faults.fail_share = NumberOr(row, "fail", faults.fail_share);
  faults.lost_reply_share =
      NumberOr(row, "lost_reply", faults.lost_reply_share);
  faults.down = FlagOr(row, "down", faults.down);
  faults.draining = FlagOr(row, "draining", faults.draining);
  faults.ignores_pin = FlagOr(row, "ignore_pin", faults.ignores_pin);
  if (const json::value* load = row.if_contains("in_flight"))
    faults.reported_in_flight = load->to_number<std::uint32_t>();
  if (const json::value* healthy = row.if_contains("healthy"))
    faults.reported_healthy = healthy->as_bool();
  server.SetFaults(faults);
  ChangeHoldings(row, server.model());
  if (FlagOr(row, "silence", false))
    server.SilenceOpenConnections();
}

json::object ToJson(const SearcherCounters& counters) {
  json::object result;
  result["arrived"] = counters.arrived;
  result["executed"] = counters.executed;
  result["refused"] = counters.refused;
  result["accepted"] = counters.accepted;
  result["connections"] = counters.connections;
  result["max_connections"] = counters.max_connections;
  result["over_limit"] = counters.over_limit;
  result["arrived_draining"] = counters.arrived_draining;
  result["last_arrival_after_drain_us"] =
      counters.last_arrival_after_drain.count();
  return result;
}

}  // namespace

Result<FleetServiceSpec> ParseFleetServiceSpec(const std::string& text) {
  std::istringstream stream(text);
  FleetServiceSpec spec;
  std::getline(stream, spec.name, ':');
  std::vector<std::uint64_t> numbers;
  for (std::string part; std::getline(stream, part, ':');) {
    if (part.empty() || part.find_first_not_of("0123456789") != part.npos)
      return Error{ErrorKind::kBadRequest, "not a number: " + part};
    numbers.push_back(std::stoull(part));
  }
  if (numbers.size() < 6)
    return Error{ErrorKind::kBadRequest, "too few fields: " + text};
  spec.shards = numbers[0];
  spec.replicas = numbers[1];
  spec.parameters.slots = static_cast<std::uint32_t>(numbers[2]);
  spec.parameters.connections = static_cast<std::uint32_t>(numbers[3]);
  spec.parameters.connect_cost =
      Duration(static_cast<std::int64_t>(numbers[4]));
  spec.parameters.service_time =
      Duration(static_cast<std::int64_t>(numbers[5]));
  spec.buckets = numbers.size() > 6 ? numbers[6] : spec.shards * 4;
  if (numbers.size() > 7)
    spec.parameters.spread = static_cast<double>(numbers[7]) / 100.0;
  return spec;
}

SearcherFleetServer::SearcherFleetServer(std::size_t threads,
                                         std::uint16_t first_port,
                                         std::vector<std::string> zones,
                                         std::uint64_t seed)
    : next_port_(first_port),
      zones_(std::move(zones)),
      random_(seed),
      effect_counter_(std::make_shared<EffectCounter>()) {
  for (std::size_t n = 0; n < threads; ++n) {
    std::unique_ptr<Thread> thread = std::make_unique<Thread>();
    thread->context = std::make_unique<asio::io_context>(1);
    thread->timers = std::make_unique<AsioTimerService>(*thread->context);
    work_guards_.push_back(asio::make_work_guard(*thread->context));
    threads_.push_back(std::move(thread));
  }
}

SearcherFleetServer::~SearcherFleetServer() {
  Stop();
}

void SearcherFleetServer::AddService(const FleetServiceSpec& spec) {
  // ServiceTopology caches maps without a lock, so each thread has its own.
  std::vector<std::shared_ptr<ServiceTopology>> topologies;
  for (std::size_t n = 0; n < threads_.size(); ++n)
    topologies.push_back(std::make_shared<ServiceTopology>(
        ServiceName(spec.name), spec.shards, spec.buckets));
  for (std::size_t n = 0; n < spec.shards * spec.replicas; ++n) {
    std::unique_ptr<Entry> entry = std::make_unique<Entry>();
    entry->service = spec.name;
    entry->shard = n / spec.replicas;
    entry->replica = n % spec.replicas;
    entry->zone = zones_[entry->replica % zones_.size()];
    entry->thread = searchers_.size() % threads_.size();
    SearcherParameters parameters = spec.parameters;
    parameters.shard = entry->shard;
    parameters.id = SearcherId("127.0.0.1:" + std::to_string(next_port_));
    Thread& thread = *threads_[entry->thread];
    std::unique_ptr<SearcherModel> model = std::make_unique<SearcherModel>(
        *thread.timers, parameters, topologies[entry->thread], effect_counter_,
        random_());
    model->Hold(ShardMapVersion(1), IndexVersion(1));
    entry->server = std::make_unique<SearcherServer>(
        *thread.context, *thread.timers,
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), next_port_),
        std::move(model));
    ++next_port_;
    searchers_.push_back(std::move(entry));
  }
}

void SearcherFleetServer::Start() {
  for (std::unique_ptr<Thread>& it : threads_)
    it->thread = std::thread([context = it->context.get()] { context->run(); });
}

void SearcherFleetServer::Stop() {
  work_guards_.clear();
  for (std::unique_ptr<Thread>& it : threads_) {
    it->context->stop();
    if (it->thread.joinable())
      it->thread.join();
  }
  searchers_.clear();
}

std::string SearcherFleetServer::VmListJson() const {
  json::array vms;
  for (const std::unique_ptr<Entry>& it : searchers_) {
    json::object vm;
    const std::string& address = it->server->model().parameters().id.value();
    vm["id"] = "vm-" + address;
    vm["zone"] = it->zone;
    vm["service"] = it->service;
    vm["address"] = address;
    vm["role"] = "searcher";
    vm["leaving"] = false;
    vms.push_back(std::move(vm));
  }
  return json::serialize(json::object{{"vms", std::move(vms)}});
}

void SearcherFleetServer::ForEach(std::function<bool(const Entry&)> matches,
                                  std::function<void(Entry&)> visit,
                                  std::function<void()> done) {
  std::vector<Entry*> matching;
  for (std::unique_ptr<Entry>& it : searchers_) {
    if (matches(*it))
      matching.push_back(it.get());
  }
  if (matching.empty()) {
    asio::post(first_context(), std::move(done));
    return;
  }
  std::shared_ptr<std::atomic<std::size_t>> remaining =
      std::make_shared<std::atomic<std::size_t>>(matching.size());
  for (Entry* entry : matching) {
    asio::post(*threads_[entry->thread]->context,
               [this, entry, visit, done, remaining] {
                 visit(*entry);
                 if (--*remaining == 0)
                   asio::post(first_context(), done);
               });
  }
}

void SearcherFleetServer::ApplyFaults(std::string_view row,
                                      std::function<void(bool)> done) {
  boost::system::error_code ec;
  json::value value =
      json::parse(json::string_view(row.data(), row.size()), ec);
  if (ec || !value.is_object()) {
    done(false);
    return;
  }
  std::shared_ptr<json::object> object =
      std::make_shared<json::object>(value.as_object());
  ForEach(
      [object](const Entry& entry) {
        return Matches(*object, "service", json::value(entry.service)) &&
               Matches(*object, "shard", json::value(entry.shard)) &&
               Matches(*object, "replica", json::value(entry.replica)) &&
               Matches(
                   *object, "searcher",
                   json::value(entry.server->model().parameters().id.value()));
      },
      [object](Entry& entry) { ApplyFaultRow(*object, *entry.server); },
      [done] { done(true); });
}

void SearcherFleetServer::Stats(std::function<void(std::string)> done) {
  std::shared_ptr<json::array> rows = std::make_shared<json::array>();
  std::shared_ptr<std::mutex> mutex = std::make_shared<std::mutex>();
  std::shared_ptr<EffectCounter> effect_counter = effect_counter_;
  ForEach([](const Entry&) { return true; },
          [rows, mutex](Entry& entry) {
            json::object row = ToJson(entry.server->counters());
            row["searcher"] = entry.server->model().parameters().id.value();
            row["service"] = entry.service;
            row["shard"] = entry.shard;
            row["replica"] = entry.replica;
            std::lock_guard<std::mutex> lock(*mutex);
            rows->push_back(std::move(row));
          },
          [rows, effect_counter, done] {
            json::object result;
            result["effects"] = effect_counter->size();
            result["duplicate_effects"] = effect_counter->duplicates();
            result["searchers"] = std::move(*rows);
            done(json::serialize(result));
          });
}

}  // namespace jujubecove::standin

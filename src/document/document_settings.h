#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "document/document.h"
#include "settings/setting.h"

namespace jujubecove {

enum class MergeOrder : std::uint8_t { kAscending, kDescending };

// Maximum size of a section's name.
inline constexpr std::size_t kMaxNameBytes = 64;

// The declarations of all keys of [kind NAME] sections.
struct KindSettings {
  Setting<std::string> service = {
      {"kind",
       "service",
       std::nullopt,
       "",
       {1, kMaxNameBytes},
       "Service that requests of this kind are sent to."}};
  Setting<Urgency> urgency = {
      {"kind",
       "urgency",
       Urgency::kNormal,
       "",
       {{"critical", Urgency::kCritical},
        {"high", Urgency::kHigh},
        {"normal", Urgency::kNormal},
        {"background", Urgency::kBackground}},
       "Scheduling priority; less urgent requests are refused first."}};
  Setting<Duration> deadline = {
      {"kind",
       "deadline",
       std::chrono::milliseconds(250),
       "ms",
       {std::chrono::milliseconds(1), std::chrono::minutes(1)},
       "Longest time that a caller waits for an answer."}};
  Setting<double> least_coverage = {
      {"kind",
       "least_coverage",
       1.0,
       "",
       {0.0, 1.0},
       "Minimum share of the addressed shards that an answer "
       "must cover."}};
  Setting<bool> partial = {{"kind",
                            "partial",
                            false,
                            "",
                            {},
                            "Whether an incomplete answer may be sent."}};
  Setting<bool> snapshot = {
      {"kind",
       "snapshot",
       false,
       "",
       {},
       "Whether all shards are read at one index version."}};
  Setting<bool> idempotent = {{"kind",
                               "idempotent",
                               true,
                               "",
                               {},
                               "Whether a request may run more than once."}};
  // If not given, it is the value of `idempotent`.
  Setting<bool> hedge = {
      {"kind",
       "hedge",
       true,
       "",
       {},
       "Whether a hedge is sent when a shard is slow; must be false "
       "for a kind that is not idempotent."}};
  Setting<Addressing> addressing = {{"kind",
                                     "addressing",
                                     Addressing::kAllShards,
                                     "",
                                     {{"all_shards", Addressing::kAllShards},
                                      {"one_key", Addressing::kOneKey}},
                                     "Which shards a request is sent to."}};
  Setting<MergeRule> merge = {
      {"kind",
       "merge",
       MergeRule::kConcatenate,
       "",
       {{"concatenate", MergeRule::kConcatenate},
        {"first_k", MergeRule::kFirstK}},
       "How the replies of the shards are merged into one result."}};
  Setting<std::string> merge_key = {
      {"kind",
       "merge_key",
       std::string(),
       "",
       {0, 256},
       "Field of each record that first_k sorts by."}};
  Setting<MergeOrder> merge_order = {{"kind",
                                      "merge_order",
                                      MergeOrder::kAscending,
                                      "",
                                      {{"ascending", MergeOrder::kAscending},
                                       {"descending", MergeOrder::kDescending}},
                                      "Order in which first_k sorts."}};
  Setting<std::uint32_t> merge_limit = {
      {"kind",
       "merge_limit",
       0U,
       "",
       {0U, 100'000U},
       "Number of records that first_k keeps."}};
};

// The declarations of all keys of [service NAME] sections.
struct ServiceSettings {
  Setting<std::uint32_t> shards = {{"service",
                                    "shards",
                                    std::nullopt,
                                    "",
                                    {1U, 10'000U},
                                    "Number of shards of the service."}};
  Setting<std::uint32_t> replicas = {{"service",
                                      "replicas",
                                      std::nullopt,
                                      "",
                                      {1U, 100U},
                                      "Searchers that hold each shard."}};
  Setting<std::uint32_t> slots = {
      {"service",
       "slots",
       1U,
       "",
       {1U, 1'000U},
       "Requests that a searcher runs concurrently."}};
  Setting<std::uint32_t> connections = {
      {"service",
       "connections",
       25U,
       "",
       {1U, 10'000U},
       "Connections that a searcher accepts from all entry "
       "daemons together."}};
  Setting<Duration> connect_cost = {{"service",
                                     "connect_cost",
                                     std::chrono::milliseconds(6),
                                     "ms",
                                     {Duration(0), std::chrono::seconds(10)},
                                     "Time that a new connection takes."}};
  Setting<Duration> expected_latency = {
      {"service",
       "expected_latency",
       std::chrono::milliseconds(10),
       "ms",
       {Duration(1), std::chrono::minutes(1)},
       "Latency estimate until a searcher's latency has been "
       "observed."}};
};

const KindSettings& DeclaredKindSettings();
const ServiceSettings& DeclaredServiceSettings();

}  // namespace jujubecove

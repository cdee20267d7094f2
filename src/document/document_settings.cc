#include <chrono>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxNameBytes = 64;

KindSettings MakeKindSettings() {
  return KindSettings{
      .service = {{"kind",
                   "service",
                   std::nullopt,
                   "",
                   {1, kMaxNameBytes},
                   "Service that requests of this kind are sent to."}},
      .urgency = {{"kind",
                   "urgency",
                   Urgency::kNormal,
                   "",
                   {{"critical", Urgency::kCritical},
                    {"high", Urgency::kHigh},
                    {"normal", Urgency::kNormal},
                    {"background", Urgency::kBackground}},
                   "Scheduling priority; less urgent work is refused first."}},
      .deadline = {{"kind",
                    "deadline",
                    milliseconds(250),
                    "ms",
                    {milliseconds(1), std::chrono::minutes(1)},
                    "Longest time that a caller waits for an answer."}},
      .least_coverage = {{"kind",
                          "least_coverage",
                          1.0,
                          "",
                          {0.0, 1.0},
                          "Least share of the addressed shards that an answer "
                          "must cover."}},
      .partial = {{"kind",
                   "partial",
                   false,
                   "",
                   {},
                   "Whether an incomplete answer may be given."}},
      .snapshot = {{"kind",
                    "snapshot",
                    false,
                    "",
                    {},
                    "Whether all shards are read at one index version."}},
      .idempotent = {{"kind",
                      "idempotent",
                      true,
                      "",
                      {},
                      "Whether a request may run more than once."}},
      // Its value follows `idempotent` when it is not given.
      .hedge = {{"kind",
                 "hedge",
                 true,
                 "",
                 {},
                 "Whether a slow shard is asked a second time; never for a "
                 "kind that is not idempotent."}},
      .addressing = {{"kind",
                      "addressing",
                      Addressing::kAllShards,
                      "",
                      {{"all_shards", Addressing::kAllShards},
                       {"one_key", Addressing::kOneKey}},
                      "Which shards a request is sent to."}},
      .merge = {{"kind",
                 "merge",
                 MergeRule::kConcatenate,
                 "",
                 {{"concatenate", MergeRule::kConcatenate},
                  {"first_k", MergeRule::kFirstK}},
                 "How the replies of the shards become one result."}},
      .merge_key = {{"kind",
                     "merge_key",
                     std::string(),
                     "",
                     {0, 256},
                     "Field of each record that first_k sorts by."}},
      .merge_order = {{"kind",
                       "merge_order",
                       MergeOrder::kAscending,
                       "",
                       {{"ascending", MergeOrder::kAscending},
                        {"descending", MergeOrder::kDescending}},
                       "Order in which first_k sorts."}},
      .merge_limit = {{"kind",
                       "merge_limit",
                       0U,
                       "",
                       {0U, 100'000U},
                       "Number of records that first_k keeps."}},
  };
}

ServiceSettings MakeServiceSettings() {
  return ServiceSettings{
      .shards = {{"service",
                  "shards",
                  std::nullopt,
                  "",
                  {1U, 10'000U},
                  "Number of shards of the service."}},
      .replicas = {{"service",
                    "replicas",
                    std::nullopt,
                    "",
                    {1U, 100U},
                    "Searchers that hold each shard."}},
      .slots = {{"service",
                 "slots",
                 1U,
                 "",
                 {1U, 1'000U},
                 "Requests that a searcher runs at once."}},
      .connections = {{"service",
                       "connections",
                       25U,
                       "",
                       {1U, 10'000U},
                       "Connections that a searcher accepts from all entry "
                       "daemons together."}},
      .connect_cost = {{"service",
                        "connect_cost",
                        milliseconds(6),
                        "ms",
                        {Duration(0), std::chrono::seconds(10)},
                        "Time that a new connection takes."}},
      .expected_latency = {{"service",
                            "expected_latency",
                            milliseconds(10),
                            "ms",
                            {Duration(1), std::chrono::minutes(1)},
                            "Time that a searcher usually takes, until it is "
                            "observed."}},
  };
}

}  // namespace

const KindSettings& DeclaredKindSettings() {
  static const KindSettings kSettings = MakeKindSettings();
  return kSettings;
}

const ServiceSettings& DeclaredServiceSettings() {
  static const ServiceSettings kSettings = MakeServiceSettings();
  return kSettings;
}

}  // namespace jujubecove

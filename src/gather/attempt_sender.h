#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "gather/gather_context.h"
#include "gather/query_run.h"

namespace jujubecove {

// An attempt that has been sent and has not ended.
struct InFlightAttempt {
  QueryRunPtr run;
  std::size_t shard = 0;
  // Value of QueryRun::restarts when the attempt was sent.
  std::uint32_t epoch = 0;
  // The shard's wait group when the attempt was sent. Its waiting shards are
  // retried once the attempt ends.
  WaitGroup group;
  SearcherId searcher;
  SpanId span{};
  TimePoint sent_at;
  bool is_hedge = false;

  // False once the query has finished or restarted, or the shard is settled.
  bool IsCurrent() const;
};

// Sends attempts and matches replies to them. A reply to an attempt that is
// unknown or has already ended is dropped.
class AttemptSender {
 public:
  explicit AttemptSender(GatherContext& context);

  void Send(const QueryRunPtr& run,
            std::size_t shard,
            const SearcherId& searcher,
            bool is_hedge);
  // Returns nothing when the attempt is not in flight.
  std::optional<InFlightAttempt> Remove(AttemptId attempt);
  // Emits the attempt's span if the query is traced.
  void EmitSpan(const InFlightAttempt& attempt, const UpstreamReply& reply);
  // Cancels the shard's in-flight attempts and detaches them from the shard.
  void CancelAttempts(QueryRun& run, std::size_t shard);
  const SearcherId& SearcherOf(AttemptId attempt) const;

 private:
  UpstreamRequest MakeRequest(const QueryRun& run,
                              std::size_t shard,
                              const SearcherId& searcher,
                              const SpanId& span);

  GatherContext& context_;
  std::uint64_t last_attempt_ = 0;
  std::unordered_map<AttemptId, InFlightAttempt> attempts_;
};

}  // namespace jujubecove

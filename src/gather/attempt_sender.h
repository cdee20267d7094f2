#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "gather/gather_context.h"
#include "gather/query_run.h"

namespace jujubecove {

// An attempt that was sent and has not ended.
struct OpenAttempt {
  QueryRunPtr run;
  std::size_t shard = 0;
  // Value of QueryRun::restarts at the time of sending.
  std::uint32_t epoch = 0;
  // The map at the time of sending, for the wait list.
  WaitGroup group;
  SearcherId searcher;
  SpanId span{};
  TimePoint sent_at;
  bool is_hedge = false;

  // Whether the reply still matters to its shard.
  bool IsCurrent() const;
};

// Sends attempts and matches replies with them. Each attempt ends once; a reply
// to an unknown attempt is dropped.
class AttemptSender {
 public:
  explicit AttemptSender(GatherContext& context);

  void Send(const QueryRunPtr& run,
            std::size_t shard,
            const SearcherId& searcher,
            bool is_hedge);
  std::optional<OpenAttempt> Close(AttemptId attempt);
  // Emits the attempt's span when the trace is wanted.
  void Trace(const OpenAttempt& attempt, const UpstreamReply& reply);
  // Asks for an early end of the shard's attempts and forgets them.
  void CancelOpen(QueryRun& run, std::size_t shard);
  const SearcherId& SearcherOf(AttemptId attempt) const;

 private:
  UpstreamRequest MakeRequest(const QueryRun& run,
                              std::size_t shard,
                              const SearcherId& searcher,
                              const SpanId& span);

  GatherContext& context_;
  std::uint64_t last_attempt_ = 0;
  std::unordered_map<AttemptId, OpenAttempt> attempts_;
};

}  // namespace jujubecove

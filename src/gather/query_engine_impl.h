#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "admission/admission_queue.h"
#include "base/ids.h"
#include "gather/fan_out.h"
#include "gather/gather_context.h"
#include "gather/query.h"
#include "gather/query_run.h"

namespace jujubecove {

// What the query engine works with. All of it lives on the query thread and
// outlives the engine.
struct EngineDependencies {
  TimerService& timers;
  Router& router;
  AdmissionQueue& admission;
  UpstreamTransport& transport;
  // Null when no spans are wanted.
  TraceSink* trace = nullptr;
};

// The scatter-gather engine. It takes over the handlers of the admission queue
// and of the transport.
class QueryEngineImpl : public QueryEngine {
 public:
  QueryEngineImpl(const EngineDependencies& parts,
                  const EngineOptions& options,
                  std::uint64_t seed);

  // Queries that are under way keep the document they started with.
  void SetDocument(std::shared_ptr<const Document> document);
  const std::shared_ptr<const Document>& document() const { return document_; }

  void Submit(QueryRequest request, AnswerHandler handler) override;
  void Abandon(RequestId request) override;
  std::size_t in_flight() const override { return queries_.size(); }

 private:
  QueryRunPtr MakeRun(QueryRequest request, AnswerHandler handler);
  void SetTimes(QueryRun& run);
  void OfferOncePinnable(const QueryRunPtr& run);
  void Offer(const QueryRunPtr& run);
  void Refuse(const QueryRunPtr& run,
              ErrorKind error,
              GapCause cause = GapCause::kRefused);
  void OnAdmitted(RequestId request);
  void OnRefused(RequestId request, ErrorKind error);
  void OnCutoff(const QueryRunPtr& run);
  void StartAdmitted();
  void Finish(const QueryRunPtr& run);
  void SetTrace(QueryRun& run);
  void TraceQueue(const QueryRun& run);
  void TraceAnswer(const QueryRun& run, const QueryAnswer& answer);
  void Emit(const QueryRun& run, SpanRecord record, std::string_view status);

  AdmissionQueue& admission_;
  GatherContext context_;
  std::shared_ptr<const Document> document_;
  FanOut fan_out_;
  std::unordered_map<RequestId, QueryRunPtr> queries_;
  // Admitted queries that have not started. Starting one can end others and so
  // admit more; they start one after the other instead of within each other.
  std::deque<QueryRunPtr> ready_;
  bool is_starting_ = false;
};

}  // namespace jujubecove

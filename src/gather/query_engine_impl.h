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

// References to objects that live on the query thread and must outlive the
// engine.
struct EngineDependencies {
  TimerService& timers;
  Router& router;
  AdmissionQueue& admission;
  UpstreamTransport& transport;
  // Null when tracing is off.
  TraceSink* trace = nullptr;
};

// The scatter-gather engine. It sets the handlers of the admission queue and of
// the transport.
class QueryEngineImpl : public QueryEngine {
 public:
  QueryEngineImpl(const EngineDependencies& dependencies,
                  const EngineOptions& options,
                  std::uint64_t seed);

  // Queries in flight keep the document they were submitted under.
  void SetDocument(std::shared_ptr<const Document> document);
  const std::shared_ptr<const Document>& document() const { return document_; }

  void Submit(QueryRequest request, AnswerHandler handler) override;
  void Abandon(RequestId request) override;
  std::size_t in_flight() const override { return queries_.size(); }

 private:
  QueryRunPtr MakeRun(QueryRequest request, AnswerHandler handler);
  void SetCutoff(QueryRun& run);
  void OfferWhenSnapshotAvailable(const QueryRunPtr& run);
  void Offer(const QueryRunPtr& run);
  void Refuse(const QueryRunPtr& run,
              ErrorKind error,
              GapCause cause = GapCause::kRefused);
  void OnAdmitted(RequestId request);
  void OnRefused(RequestId request, ErrorKind error);
  void OnCutoff(const QueryRunPtr& run);
  void StartAdmitted();
  void Finish(const QueryRunPtr& run);
  void InitTrace(QueryRun& run);
  void EmitQueueSpan(const QueryRun& run);
  void EmitQuerySpan(const QueryRun& run, const QueryAnswer& answer);
  void Emit(const QueryRun& run, SpanRecord record, std::string_view status);

  AdmissionQueue& admission_;
  GatherContext context_;
  std::shared_ptr<const Document> document_;
  FanOut fan_out_;
  std::unordered_map<RequestId, QueryRunPtr> queries_;
  // Admitted queries that have not started. Starting a query can finish others
  // and thereby admit more, so queries are started from a queue, not
  // recursively.
  std::deque<QueryRunPtr> admitted_;
  bool is_starting_ = false;
};

}  // namespace jujubecove

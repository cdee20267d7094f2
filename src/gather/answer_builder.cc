#include "gather/answer_builder.h"

#include <cstddef>
#include <utility>

namespace jujubecove {
namespace {

bool HasGapOf(const QueryRun& run, GapCause cause) {
  for (std::size_t n = 0; n < run.shards.size(); ++n) {
    std::size_t index = run.MapIndex(n);
    if (!run.coverage.IsCovered(index) && run.coverage.CauseOf(index) == cause)
      return true;
  }
  return false;
}

bool HasOnlyGapsOf(const QueryRun& run, GapCause cause) {
  for (std::size_t n = 0; n < run.shards.size(); ++n) {
    std::size_t index = run.MapIndex(n);
    if (run.coverage.IsCovered(index) || run.coverage.CauseOf(index) != cause)
      return false;
  }
  return true;
}

bool MeetsCoverageRequirement(const QueryRun& run) {
  if (run.covered == run.shards.size())
    return true;
  return run.spec->partial && run.covered > 0 &&
         run.coverage.covered_share() >= run.spec->least_coverage;
}

ErrorKind ErrorOf(const QueryRun& run) {
  if (!run.spec->idempotent && run.may_have_run)
    return ErrorKind::kOutcomeUnknown;
  if (run.error)
    return *run.error;
  if (HasOnlyGapsOf(run, GapCause::kNoReplica))
    return ErrorKind::kNoUpstream;
  if (HasOnlyGapsOf(run, GapCause::kRefused))
    return ErrorKind::kOverloaded;
  if (run.spec->snapshot && HasGapOf(run, GapCause::kVersionUnavailable))
    return ErrorKind::kSnapshotUnavailable;
  if (run.cutoff_passed && !run.spec->partial)
    return ErrorKind::kDeadlineExceeded;
  return ErrorKind::kCoverageTooLow;
}

}  // namespace

QueryAnswer BuildAnswer(QueryRun& run) {
  QueryAnswer answer;
  answer.id = run.request.id;
  if (run.document)
    answer.config_version = run.document->version;
  answer.trace_id = run.trace.TraceIdText();
  answer.detail = run.detail;
  bool was_sent = run.map != nullptr && !run.shards.empty() && !run.error;
  if (was_sent && MeetsCoverageRequirement(run)) {
    answer.execution = Execution::kRan;
    answer.index_version = run.CommonVersion();
    answer.results = run.merger->Finish();
    answer.coverage = std::move(run.coverage);
    return answer;
  }
  answer.error = run.spec == nullptr ? run.error : ErrorOf(run);
  answer.execution =
      run.may_have_run ? Execution::kUnknown : Execution::kNotRun;
  if (run.covered > 0)
    answer.index_version = run.CommonVersion();
  answer.coverage = std::move(run.coverage);
  return answer;
}

}  // namespace jujubecove

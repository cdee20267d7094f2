#include "gather/fan_out.h"

#include <utility>

namespace jujubecove {

FanOut::FanOut(GatherContext& context, SettledHandler settled)
    : context_(context),
      settled_(std::move(settled)),
      sender_(context),
      snapshots_(context),
      hedger_(context, sender_, snapshots_) {}

FanOut::~FanOut() {
  context_.timers.Cancel(sweep_timer_);
}

ServiceQueryState& FanOut::StateOfService(const ServiceName& service) {
  std::unique_ptr<ServiceQueryState>& entry = services_[service];
  if (!entry) {
    entry = std::make_unique<ServiceQueryState>();
    entry->name = service;
  }
  return *entry;
}

void FanOut::Start(QueryRunPtr run) {
  switch (snapshots_.Pin(*run)) {
    case PinStatus::kNoMap:
      run->error = ErrorKind::kNoUpstream;
      run->detail = "no shard map is known";
      settled_(run);
      return;
    case PinStatus::kNoCommonVersion:
      RetryPin(run);
      return;
    case PinStatus::kPinned:
      break;
  }
  if (context_.transport.HasCapacityFor(run->shards.size()))
    DispatchAll(run);
  else
    Refuse(run, ErrorKind::kOverloaded, GapCause::kRefused);
}

// During a rollout the shards may briefly have no version in common.
void FanOut::RetryPin(const QueryRunPtr& run) {
  for (ShardRun& shard : run->shards)
    shard.cause = GapCause::kVersionUnavailable;
  Duration delay = JitteredBackoff(context_.options, run->pin_backoff_count,
                                   context_.random);
  if (run->pin_backoff_count >= context_.options.max_backoff_count ||
      context_.timers.Now() + delay >= run->cutoff) {
    Refuse(run, ErrorKind::kSnapshotUnavailable, GapCause::kVersionUnavailable);
    return;
  }
  ++run->pin_backoff_count;
  std::weak_ptr<QueryRun> weak = run;
  run->pin_timer = context_.timers.ScheduleAfter(delay, [this, weak] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      Start(locked);
  });
}

void FanOut::Refuse(const QueryRunPtr& run, ErrorKind error, GapCause cause) {
  run->error = error;
  for (std::size_t n = 0; n < run->shards.size(); ++n)
    run->SetGap(n, cause);
  SettleIfDone(run);
}

void FanOut::DispatchAll(const QueryRunPtr& run) {
  std::size_t n = 0;
  while (n < run->shards.size()) {
    if (run->shards[n].phase == ShardPhase::kPending && !TryDispatch(run, n)) {
      if (TryRestart(run)) {
        n = 0;
        continue;
      }
      RetrySameVersion(run, n);
    }
    ++n;
  }
  hedger_.OnProgress(run);
  SettleIfDone(run);
}

void FanOut::RetryShard(const QueryRunPtr& run, std::size_t shard) {
  run->shards[shard].phase = ShardPhase::kPending;
  if (!TryDispatch(run, shard)) {
    if (TryRestart(run)) {
      DispatchAll(run);
      return;
    }
    RetrySameVersion(run, shard);
  }
  hedger_.OnProgress(run);
  SettleIfDone(run);
}

// Returns false when no replica can serve the query's map or version.
bool FanOut::TryDispatch(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  if (context_.timers.Now() >= run->cutoff) {
    run->SetGap(shard, state.cause);
    return true;
  }
  bool can_send = context_.transport.HasCapacityFor(1) &&
                  (!state.needs_retry_token ||
                   context_.router.TryTakeRetryToken(run->service->name));
  if (!can_send) {
    BackOffOrSetGap(run, shard);
    return true;
  }
  state.needs_retry_token = false;
  replica_request_.service = run->service->name;
  replica_request_.map_version = run->map->version();
  replica_request_.shard = run->IdOfShard(shard);
  replica_request_.index_version = run->pinned_version;
  replica_request_.idempotent = run->spec->idempotent;
  replica_request_.tried.swap(state.tried);
  ReplicaChoice choice = context_.router.ChooseReplica(replica_request_);
  replica_request_.tried.swap(state.tried);
  return ApplyChoice(run, shard, choice);
}

bool FanOut::ApplyChoice(const QueryRunPtr& run,
                         std::size_t shard,
                         const ReplicaChoice& choice) {
  ShardRun& state = run->shards[shard];
  bool any_tried = !state.tried.empty();
  // No reachable replica is left that holds this version, but another version
  // may still be available.
  bool version_exhausted = any_tried && state.replica_unusable;
  switch (choice.status) {
    case ReplicaChoiceStatus::kChosen:
      state.probing = choice.probe;
      sender_.Send(run, shard, choice.searcher, false);
      return true;
    case ReplicaChoiceStatus::kAllAtLimit:
      AddToWaitList(run, shard);
      return true;
    case ReplicaChoiceStatus::kVersionUnavailable:
      if (version_exhausted || !any_tried)
        return false;
      break;
    case ReplicaChoiceStatus::kNoReplica:
      if (version_exhausted)
        return false;
      if (!any_tried) {
        run->SetGap(shard, GapCause::kNoReplica);
        return true;
      }
      break;
  }
  // A replica that has failed may answer a later attempt.
  state.tried.clear();
  BackOffOrSetGap(run, shard);
  return true;
}

void FanOut::AddToWaitList(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  state.phase = ShardPhase::kWaiting;
  if (!state.has_waited)
    ++run->refused;
  state.has_waited = true;
  WaitGroup group{run->map->version(), run->MapIndex(shard)};
  state.wait_key = run->service->wait_list.Add(
      group, run->spec->urgency, run->cutoff, WaitList::Entry{run, shard});
  ScheduleSweep();
}

void FanOut::BackOffOrSetGap(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  Duration delay =
      JitteredBackoff(context_.options, state.backoff_count, context_.random);
  if (state.backoff_count >= context_.options.max_backoff_count ||
      context_.timers.Now() + delay >= run->cutoff) {
    run->SetGap(shard, state.cause);
    return;
  }
  ++state.backoff_count;
  state.phase = ShardPhase::kBackingOff;
  std::weak_ptr<QueryRun> weak = run;
  state.backoff_timer =
      context_.timers.ScheduleAfter(delay, [this, weak, shard] {
        QueryRunPtr locked = weak.lock();
        if (locked && !locked->finished)
          RetryShard(locked, shard);
      });
}

bool FanOut::TryRestart(const QueryRunPtr& run) {
  snapshots_.SuspectVersion(*run);
  std::optional<SnapshotPin> pin = snapshots_.FindAlternative(*run);
  if (!pin)
    return false;
  CancelOutstanding(*run);
  snapshots_.Restart(*run, *pin);
  return true;
}

void FanOut::RetrySameVersion(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  if (state.tried.empty())
    state.cause = GapCause::kVersionUnavailable;
  state.tried.clear();
  BackOffOrSetGap(run, shard);
}

void FanOut::CancelOutstanding(QueryRun& run) {
  context_.timers.Cancel(std::exchange(run.hedge_timer, TimerId()));
  context_.timers.Cancel(std::exchange(run.pin_timer, TimerId()));
  for (std::size_t n = 0; n < run.shards.size(); ++n) {
    ShardRun& shard = run.shards[n];
    RemoveFromWaitList(run, n);
    if (shard.backoff_timer != TimerId())
      context_.timers.Cancel(shard.backoff_timer);
    // A non-idempotent request is not cancelled once it has been sent.
    if (run.spec->idempotent)
      sender_.CancelAttempts(run, n);
  }
}

void FanOut::RemoveFromWaitList(QueryRun& run, std::size_t shard) {
  ShardRun& state = run.shards[shard];
  if (state.wait_key.sequence == 0)
    return;
  WaitGroup group{run.map->version(), run.MapIndex(shard)};
  run.service->wait_list.Remove(group,
                                std::exchange(state.wait_key, WaitKey()));
}

void FanOut::Stop(QueryRunPtr run) {
  run->cutoff_passed = true;
  for (std::size_t n = 0; n < run->shards.size(); ++n) {
    ShardRun& shard = run->shards[n];
    if (shard.settled())
      continue;
    bool is_in_flight = shard.in_flight_count() != 0;
    run->may_have_run = run->may_have_run || is_in_flight;
    RemoveFromWaitList(*run, n);
    run->SetGap(n, is_in_flight ? GapCause::kTimeout : shard.cause);
  }
  settled_(run);
}

void FanOut::SettleIfDone(const QueryRunPtr& run) {
  if (!run->finished && run->unsettled == 0)
    settled_(run);
}

void FanOut::RetryWaiting(ServiceQueryState& service, const WaitGroup& group) {
  while (true) {
    std::optional<WaitList::Entry> entry = service.wait_list.TakeFirst(group);
    if (!entry)
      return;
    ShardRun& state = entry->run->shards[entry->shard];
    std::uint32_t epoch = entry->run->restarts;
    state.wait_key = WaitKey();
    RetryShard(entry->run, entry->shard);
    bool waits_again =
        !entry->run->finished && entry->run->restarts == epoch &&
        entry->run->shards[entry->shard].phase == ShardPhase::kWaiting;
    if (waits_again)
      return;
  }
}

void FanOut::ScheduleSweep() {
  if (sweep_timer_ != TimerId())
    return;
  sweep_timer_ = context_.timers.ScheduleAfter(
      context_.options.wait_sweep_interval, [this] { SweepWaitLists(); });
}

void FanOut::SweepWaitLists() {
  sweep_timer_ = TimerId();
  for (auto& [name, service] : services_) {
    for (const WaitGroup& group : service->wait_list.groups())
      RetryWaiting(*service, group);
    if (!service->wait_list.empty())
      ScheduleSweep();
  }
}

}  // namespace jujubecove

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

ServiceWaits& FanOut::WaitsOf(const ServiceName& service) {
  std::unique_ptr<ServiceWaits>& entry = services_[service];
  if (!entry) {
    entry = std::make_unique<ServiceWaits>();
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
    case PinStatus::kNoVersion:
      RetryPin(run);
      return;
    case PinStatus::kPinned:
      break;
  }
  if (context_.transport.HasRoomFor(run->shards.size()))
    RunAll(run);
  else
    FailStart(run, ErrorKind::kOverloaded, GapCause::kRefused);
}

// During a roll-out the shards may have no version in common for a moment.
void FanOut::RetryPin(const QueryRunPtr& run) {
  for (ShardRun& shard : run->shards)
    shard.cause = GapCause::kVersionUnavailable;
  Duration delay = BackOff(context_.options, run->pin_delays, context_.random);
  if (run->pin_delays >= context_.options.max_delays ||
      context_.timers.Now() + delay >= run->cutoff) {
    FailStart(run, ErrorKind::kSnapshotUnavailable,
              GapCause::kVersionUnavailable);
    return;
  }
  ++run->pin_delays;
  std::weak_ptr<QueryRun> weak = run;
  run->pin_timer = context_.timers.ScheduleAfter(delay, [this, weak] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      Start(locked);
  });
}

void FanOut::FailStart(const QueryRunPtr& run,
                       ErrorKind error,
                       GapCause cause) {
  run->error = error;
  for (std::size_t n = 0; n < run->shards.size(); ++n)
    run->SetGap(n, cause);
  SettleIfDone(run);
}

void FanOut::RunAll(const QueryRunPtr& run) {
  std::size_t n = 0;
  while (n < run->shards.size()) {
    if (run->shards[n].phase == ShardPhase::kIdle && !Dispatch(run, n)) {
      if (TryRestart(run)) {
        n = 0;
        continue;
      }
      LoseVersion(run, n);
    }
    ++n;
  }
  hedger_.OnProgress(run);
  SettleIfDone(run);
}

void FanOut::Advance(const QueryRunPtr& run, std::size_t shard) {
  run->shards[shard].phase = ShardPhase::kIdle;
  if (!Dispatch(run, shard)) {
    if (TryRestart(run)) {
      RunAll(run);
      return;
    }
    LoseVersion(run, shard);
  }
  hedger_.OnProgress(run);
  SettleIfDone(run);
}

// False when no replica can serve the query's map or version.
bool FanOut::Dispatch(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  if (context_.timers.Now() >= run->cutoff) {
    run->SetGap(shard, state.cause);
    return true;
  }
  bool can_send = context_.transport.HasRoomFor(1) &&
                  (!state.owes_token ||
                   context_.router.TryTakeRetryToken(run->service->name));
  if (!can_send) {
    DelayOrGap(run, shard);
    return true;
  }
  state.owes_token = false;
  choice_request_.service = run->service->name;
  choice_request_.map_version = run->map->version();
  choice_request_.shard = run->IdOfShard(shard);
  choice_request_.index_version = run->pinned;
  choice_request_.idempotent = run->spec->idempotent;
  choice_request_.tried.swap(state.tried);
  ReplicaChoice choice = context_.router.ChooseReplica(choice_request_);
  choice_request_.tried.swap(state.tried);
  return Follow(run, shard, choice);
}

bool FanOut::Follow(const QueryRunPtr& run,
                    std::size_t shard,
                    const ReplicaChoice& choice) {
  ShardRun& state = run->shards[shard];
  bool all_tried = !state.tried.empty();
  // Nothing is left that holds the version and can be reached, but another
  // version may be held by others.
  bool lost_version = all_tried && state.lost_replica;
  switch (choice.status) {
    case ReplicaChoiceStatus::kChosen:
      state.probing = choice.probe;
      sender_.Send(run, shard, choice.searcher, false);
      return true;
    case ReplicaChoiceStatus::kAllAtLimit:
      Wait(run, shard);
      return true;
    case ReplicaChoiceStatus::kVersionUnavailable:
      if (lost_version || !all_tried)
        return false;
      break;
    case ReplicaChoiceStatus::kNoReplica:
      if (lost_version)
        return false;
      if (!all_tried) {
        run->SetGap(shard, GapCause::kNoReplica);
        return true;
      }
      break;
  }
  // Those that were tried may answer a later attempt.
  state.tried.clear();
  DelayOrGap(run, shard);
  return true;
}

void FanOut::Wait(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  state.phase = ShardPhase::kWaiting;
  if (!state.has_waited)
    ++run->refused;
  state.has_waited = true;
  WaitGroup group{run->map->version(), run->MapIndex(shard)};
  state.wait_key = run->service->waits.Add(
      group, run->spec->urgency, run->cutoff, WaitList::Entry{run, shard});
  ScheduleSweep();
}

void FanOut::DelayOrGap(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  Duration delay = BackOff(context_.options, state.delays, context_.random);
  if (state.delays >= context_.options.max_delays ||
      context_.timers.Now() + delay >= run->cutoff) {
    run->SetGap(shard, state.cause);
    return;
  }
  ++state.delays;
  state.phase = ShardPhase::kDelayed;
  std::weak_ptr<QueryRun> weak = run;
  state.delay_timer = context_.timers.ScheduleAfter(delay, [this, weak, shard] {
    QueryRunPtr locked = weak.lock();
    if (locked && !locked->finished)
      Advance(locked, shard);
  });
}

bool FanOut::TryRestart(const QueryRunPtr& run) {
  snapshots_.Suspect(*run);
  std::optional<SnapshotPin> pin = snapshots_.FindOther(*run);
  if (!pin)
    return false;
  Release(*run);
  snapshots_.Restart(*run, *pin);
  return true;
}

void FanOut::LoseVersion(const QueryRunPtr& run, std::size_t shard) {
  ShardRun& state = run->shards[shard];
  if (state.tried.empty())
    state.cause = GapCause::kVersionUnavailable;
  state.tried.clear();
  DelayOrGap(run, shard);
}

// Ends everything that is open under the present map and version.
void FanOut::Release(QueryRun& run) {
  context_.timers.Cancel(std::exchange(run.hedge_timer, TimerId()));
  context_.timers.Cancel(std::exchange(run.pin_timer, TimerId()));
  for (std::size_t n = 0; n < run.shards.size(); ++n) {
    ShardRun& shard = run.shards[n];
    LeaveWaitList(run, n);
    if (shard.delay_timer != TimerId())
      context_.timers.Cancel(shard.delay_timer);
    // A non-idempotent request that was sent runs on.
    if (run.spec->idempotent)
      sender_.CancelOpen(run, n);
  }
}

void FanOut::LeaveWaitList(QueryRun& run, std::size_t shard) {
  ShardRun& state = run.shards[shard];
  if (state.wait_key.sequence == 0)
    return;
  WaitGroup group{run.map->version(), run.MapIndex(shard)};
  run.service->waits.Remove(group, std::exchange(state.wait_key, WaitKey()));
}

void FanOut::Cut(QueryRunPtr run) {
  run->cutoff_passed = true;
  for (std::size_t n = 0; n < run->shards.size(); ++n) {
    ShardRun& shard = run->shards[n];
    if (shard.settled())
      continue;
    bool is_open = shard.open_count() != 0;
    run->may_have_run = run->may_have_run || is_open;
    LeaveWaitList(*run, n);
    run->SetGap(n, is_open ? GapCause::kTimeout : shard.cause);
  }
  settled_(run);
}

void FanOut::SettleIfDone(const QueryRunPtr& run) {
  if (!run->finished && run->unsettled == 0)
    settled_(run);
}

void FanOut::RetryWaiting(ServiceWaits& service, const WaitGroup& group) {
  while (true) {
    std::optional<WaitList::Entry> entry = service.waits.TakeFirst(group);
    if (!entry)
      return;
    ShardRun& state = entry->run->shards[entry->shard];
    std::uint32_t epoch = entry->run->restarts;
    state.wait_key = WaitKey();
    Advance(entry->run, entry->shard);
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
  sweep_timer_ = context_.timers.ScheduleAfter(context_.options.wait_sweep,
                                               [this] { Sweep(); });
}

void FanOut::Sweep() {
  sweep_timer_ = TimerId();
  for (auto& [name, service] : services_) {
    for (const WaitGroup& group : service->waits.groups())
      RetryWaiting(*service, group);
    if (!service->waits.empty())
      ScheduleSweep();
  }
}

}  // namespace jujubecove

#pragma once

#include <memory>
#include <string>

#include "discovery/fleet_directory.h"
#include "relay/change_relay.h"
#include "relay/reader_choice.h"
#include "relay/reader_link.h"
#include "store/kv_store.h"
#include "telemetry/decision_log.h"

namespace jujubecove {

// Counts of watches by their source, and of polls by their result.
struct RelayStats {
  std::uint64_t store_watches = 0;
  std::uint64_t reader_answers = 0;
  // The reader did not follow the store.
  std::uint64_t readers_declined = 0;
  std::uint64_t readers_unanswered = 0;
  // The reader did not remember the changes.
  std::uint64_t readers_without_history = 0;
};

// The store, with watches of all keys that go through a reader of the own zone
// if it has readers. When a reader does not answer, or does not follow the
// store itself, the same watch goes on at another reader and then at the store.
// All other calls go to the store.
class RelayedKvStore : public KvStore {
 public:
  struct Options {
    ReaderChoice::Options choice;
    // A reader's watch of the store waits at most this long, so that it knows
    // whether the store serves.
    Duration reader_wait{};
    // A poll of a reader waits at most this long.
    Duration poll_wait{};
  };

  RelayedKvStore(TimerService& timers,
                 KvStore& store,
                 ReaderLink& link,
                 DecisionLog& log,
                 const Options& options);

  // `fleet` must outlive this.
  void Attach(FleetDirectory& fleet);

  void Range(const std::string& prefix,
             const std::string& after,
             std::function<void(KvPage)> done) override;
  void Watch(const std::string& prefix,
             StorePosition after,
             Duration wait,
             std::function<void(KvPage)> done) override;
  Duration WatchWait(Duration wait) const override;
  void Put(const std::string& key,
           const std::string& value,
           StoreLease lease,
           std::function<void(KvWriteResult)> done) override {
    store_.Put(key, value, lease, std::move(done));
  }
  void Delete(const std::string& key,
              std::function<void(KvWriteResult)> done) override {
    store_.Delete(key, std::move(done));
  }
  void GrantLease(Duration ttl,
                  std::function<void(KvLeaseResult)> done) override {
    store_.GrantLease(ttl, std::move(done));
  }
  void RenewLease(StoreLease lease,
                  std::function<void(KvLeaseResult)> done) override {
    store_.RenewLease(lease, std::move(done));
  }

  // Answers the polls of other daemons.
  ChangeRelay& relay() { return relay_; }
  const ChangeRelay& relay() const { return relay_; }
  const RelayStats& stats() const { return stats_; }
  bool is_reader() const { return is_reader_; }
  bool follows_reader() const { return !source_.value().empty(); }
  // Time since an answer of the store or of a reader.
  Duration ViewAge() const { return timers_.Now() - last_answer_; }

 private:
  // A watch that goes through readers.
  struct Following {
    StorePosition after;
    Duration wait{};
    TimePoint started{};
    int polls = 0;
    // What a reader that declined knows of an outage of the store.
    Duration outage{};
    std::function<void(KvPage)> done;
  };
  using FollowingPtr = std::shared_ptr<Following>;

  void WatchStore(StorePosition after,
                  Duration wait,
                  Duration outage,
                  std::function<void(KvPage)> done);
  void AskReader(const FollowingPtr& watch);
  void OnReply(const FollowingPtr& watch,
               const VmId& reader,
               std::optional<ChangesReply> reply);
  void FallBack(const FollowingPtr& watch, const char* reason);
  KvPage ToPage(ChangesReply reply);
  // An outage that a reader saw end, unless it was reported before.
  Duration NewOutage(const ChangesReply& reply);
  void UpdateRole();
  // Logs a change of the daemon, or the store if empty, that is asked.
  void SetSource(const VmId& source, const char* reason);

  TimerService& timers_;
  KvStore& store_;
  ReaderLink& link_;
  DecisionLog& log_;
  Options options_;
  ReaderChoice choice_;
  ChangeRelay relay_;
  bool is_reader_ = false;
  VmId source_;
  TimePoint last_answer_{};
  // When the latest outage ended that a reader has reported.
  TimePoint known_outage_end_{};
  RelayStats stats_;
};

}  // namespace jujubecove

#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/searcher_transport.h"
#include "kernel/timer_service.h"

namespace jujubecove {

// Keeps attempts until a test answers them.
class FakeSearcherTransport : public SearcherTransport {
 public:
  struct PendingAttempt {
    SearcherEntry searcher;
    AttemptOptions attempt_options;
    ReplyHandler done;
  };

  void Send(AttemptId attempt,
            const SearcherEntry& searcher,
            ForwardedRequestPtr request,
            const AttemptOptions& attempt_options,
            ReplyHandler done) override {
    last_request_ = std::move(request);
    send_order_.push_back(searcher.id.value());
    pending_.emplace(
        attempt, PendingAttempt{searcher, attempt_options, std::move(done)});
  }
  bool Cancel(AttemptId attempt) override {
    ++cancelled_;
    return pending_.erase(attempt) > 0;
  }
  bool IsWritten(AttemptId attempt) const override {
    return writes_ && pending_.contains(attempt);
  }
  bool HasIdleConnection(const InstanceId& searcher) const override {
    return connected_.contains(searcher.value());
  }
  // Simulates connections: the first attempt at a searcher opens one.
  void KeepConnections() { keeps_connections_ = true; }
  void CloseConnections() { connected_.clear(); }
  int connections() const { return static_cast<int>(connected_.size()); }
  // Attempts get no connection from now on.
  void StopWriting() { writes_ = false; }
  // Probes succeed unless told otherwise.
  void Probe(const SearcherEntry& searcher,
             std::function<void(bool)> done) override {
    probed_.push_back(searcher.id.value());
    done(!unreachable_zones_.contains(searcher.zone));
  }
  void CutOff(const ZoneName& zone) { unreachable_zones_.insert(zone); }
  void Heal(const ZoneName& zone) { unreachable_zones_.erase(zone); }
  const std::vector<std::string>& probed() const { return probed_; }
  void SetConnectionLimit(const SearcherEntry& searcher, int limit) override {
    limits_[searcher.id.value()] = limit;
  }
  // Returns the attempts at that searcher if attempts get no connection.
  void ReturnQueued(const InstanceId& searcher,
                    const std::string& reason) override {
    if (writes_)
      return;
    AttemptReply reply = Failure(AttemptResult::kNotSent);
    reply.failure = reason;
    while (Answer(searcher.value(), reply)) {
    }
  }
  void Retire(const InstanceId&) override {}

  // Answers the oldest attempt at that searcher. Returns whether there was one.
  bool Answer(const std::string& searcher, AttemptReply reply) {
    for (auto it = pending_.begin(); it != pending_.end(); ++it) {
      if (it->second.searcher.id.value() != searcher)
        continue;
      ReplyHandler done = std::move(it->second.done);
      pending_.erase(it);
      if (keeps_connections_)
        reply.on_new_connection = connected_.insert(searcher).second;
      done(std::move(reply));
      return true;
    }
    return false;
  }
  bool Succeed(const std::string& searcher, const std::string& body = "") {
    return Answer(searcher, Success("proof-" + searcher, body));
  }
  static AttemptReply Success(const std::string& proof,
                              const std::string& body) {
    AttemptReply reply;
    reply.outcome = AttemptResult::kSuccess;
    reply.status = 200;
    reply.proof = proof;
    reply.body = body;
    return reply;
  }
  static AttemptReply Failure(AttemptResult outcome, int status = 0) {
    AttemptReply reply;
    reply.outcome = outcome;
    reply.status = status;
    reply.failure = "test";
    return reply;
  }

  const std::vector<std::string>& send_order() const { return send_order_; }
  std::map<AttemptId, PendingAttempt>& pending() { return pending_; }
  const ForwardedRequestPtr& last_request() const { return last_request_; }
  int cancelled() const { return cancelled_; }
  int limit(const std::string& searcher) const { return limits_.at(searcher); }

 private:
  std::map<AttemptId, PendingAttempt> pending_;
  std::vector<std::string> send_order_;
  std::map<std::string, int> limits_;
  std::set<ZoneName> unreachable_zones_;
  std::vector<std::string> probed_;
  ForwardedRequestPtr last_request_;
  std::set<std::string> connected_;
  bool keeps_connections_ = false;
  int cancelled_ = 0;
  bool writes_ = true;
};

}  // namespace jujubecove

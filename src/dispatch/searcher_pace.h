#pragma once

namespace jujubecove {

// How much work a searcher that has just started or recovered gets, found from
// its replies. The load that it answers: a searcher that comes back beside warm
// ones looks idle, so that all VMs turn to it at once while it is still slow, or
// is left idle by all until a clock says that it is warm.
//
// While paced, a searcher has few requests of this VM in progress: the limit
// doubles with each reply that is as fast as those of its neighbours and is
// halved by each one that is not. Its expected latency is raised by a factor
// that follows its replies in the same way, so that it is neither preferred
// because its past is unknown nor avoided for longer than its replies justify.
class SearcherPace {
 public:
  // Starts pacing, or starts it anew.
  void Begin();
  // A reply was received. `ratio` is its time relative to the usual time of the
  // route over all searchers; it is ignored for a failure.
  void OnReply(bool success, double ratio);

  bool is_paced() const { return paced_; }
  // Whether another request may be added to those in progress.
  bool Allows(int in_flight) const { return !paced_ || in_flight < limit_; }
  // Factor of the expected latency.
  double latency_factor() const { return factor_; }

 private:
  bool paced_ = false;
  int limit_ = 0;
  double factor_ = 1.0;
};

}  // namespace jujubecove

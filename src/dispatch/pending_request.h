#pragma once

namespace jujubecove {

// A caller's request that has not been answered yet, as its connection sees it.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;

  // Ends the request without an answer, because the caller disconnected.
  virtual void Abandon() = 0;
  // Refuses the request unless it may have run, because the process stops.
  virtual void RefuseIfNotRun() = 0;
  // Ends the request with the best answer that can be given now, because the
  // process is about to exit.
  virtual void EndNow() = 0;
};

}  // namespace jujubecove

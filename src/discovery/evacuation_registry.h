#pragma once

#include <functional>
#include <set>

#include "base/ids.h"

namespace jujubecove {

// The availability zones whose evacuation stands in the store. While the store
// does not answer, the last known state holds.
class EvacuationRegistry {
 public:
  using Listener = std::function<void(const ZoneName& zone, bool evacuated)>;

  explicit EvacuationRegistry(Listener listener)
      : listener_(std::move(listener)) {}

  void Put(const ZoneName& zone);
  void Remove(const ZoneName& zone);
  // EndListing ends the evacuations that were not put since BeginListing.
  void BeginListing();
  void EndListing();

 private:
  Listener listener_;
  std::set<ZoneName> zones_;
  std::set<ZoneName> listed_;
  bool listing_ = false;
};

}  // namespace jujubecove

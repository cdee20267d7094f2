#include "discovery/evacuation_registry.h"

#include <vector>

namespace jujubecove {

void EvacuationRegistry::Put(const ZoneName& zone) {
  if (listing_)
    listed_.insert(zone);
  if (zones_.insert(zone).second)
    listener_(zone, true);
}

void EvacuationRegistry::Remove(const ZoneName& zone) {
  listed_.erase(zone);
  if (zones_.erase(zone) > 0)
    listener_(zone, false);
}

void EvacuationRegistry::BeginListing() {
  listing_ = true;
  listed_.clear();
}

void EvacuationRegistry::EndListing() {
  listing_ = false;
  std::vector<ZoneName> missing;
  for (const ZoneName& it : zones_) {
    if (!listed_.contains(it))
      missing.push_back(it);
  }
  for (const ZoneName& it : missing)
    Remove(it);
}

}  // namespace jujubecove

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/kv_store.h"

namespace jujubecove {

// Asks another entry daemon for the changes in the store after a revision.
struct ChangesQuery {
  StorePosition after;
  // The longest time to wait for a change.
  Duration wait{};
};

enum class ViewState : std::uint8_t {
  // The daemon follows the store; the changes are complete up to the revision.
  kCurrent,
  // The daemon does not follow the store, or its last answer is too old.
  kStale,
  // The daemon follows the store but does not remember the changes after the
  // revision that was asked for.
  kNoHistory,
};

struct ChangesReply {
  ViewState state = ViewState::kStale;
  StorePosition current;
  std::vector<KvItem> items;
  // The latest outage of the store that the daemon has seen, and the time since
  // its end. No outage if zero.
  Duration outage{};
  Duration since_outage{};
};

// JSON texts of the messages. Values may hold any bytes. Decoding malformed
// text returns nullopt.
std::string Encode(const ChangesQuery& query);
std::string Encode(const ChangesReply& reply);
std::optional<ChangesQuery> DecodeChangesQuery(const std::string& text);
std::optional<ChangesReply> DecodeChangesReply(const std::string& text);

}  // namespace jujubecove

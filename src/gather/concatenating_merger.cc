#include "gather/concatenating_merger.h"

#include <optional>
#include <utility>

#include "gather/json_array.h"

namespace jujubecove {
namespace {

// The separators are already counted in `bytes_`.
constexpr std::size_t kBracketBytes = 2;

}  // namespace

ConcatenatingMerger::ConcatenatingMerger(std::size_t shards,
                                         std::size_t max_bytes)
    : max_bytes_(max_bytes), parts_(shards) {}

MergeStatus ConcatenatingMerger::Add(std::size_t shard, std::string body) {
  if (bytes_ + body.size() > max_bytes_)
    return MergeStatus::kTooLarge;
  std::optional<std::string_view> elements = ElementsOfJsonArray(body);
  if (!elements)
    return MergeStatus::kMalformed;
  Part& part = parts_[shard];
  part.begin = static_cast<std::size_t>(elements->data() - body.data());
  part.size = elements->size();
  part.body = std::move(body);
  bytes_ += part.size + 1;
  return MergeStatus::kMerged;
}

std::string ConcatenatingMerger::Finish() {
  std::string out;
  out.reserve(bytes_ + kBracketBytes);
  out.push_back('[');
  for (Part& part : parts_) {
    if (part.size == 0)
      continue;
    if (out.size() > 1)
      out.push_back(',');
    out.append(part.body, part.begin, part.size);
    part = Part();
  }
  out.push_back(']');
  return out;
}

void ConcatenatingMerger::Reset() {
  parts_.assign(parts_.size(), Part());
  bytes_ = 0;
}

}  // namespace jujubecove

#include "gather/first_k_merger.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "gather/concatenating_merger.h"
#include "gather/json_array.h"

namespace jujubecove {

FirstKMerger::FirstKMerger(const KindSpec& spec, std::size_t max_bytes)
    : member_(spec.merge_key),
      descending_(spec.descending),
      limit_(spec.merge_limit),
      max_bytes_(max_bytes) {}

MergeStatus FirstKMerger::Add(std::size_t shard, std::string body) {
  std::optional<std::string_view> elements = ElementsOfJsonArray(body);
  if (!elements)
    return MergeStatus::kMalformed;
  if (bytes_ + body.size() > max_bytes_)
    return MergeStatus::kTooLarge;
  for (std::size_t position = 0; !elements->empty(); ++position)
    AddRecord(shard, position, NextElement(*elements));
  return MergeStatus::kMerged;
}

void FirstKMerger::AddRecord(std::size_t shard,
                             std::size_t position,
                             std::string_view text) {
  if (limit_ == 0)
    return;
  auto before = [this](const Record& left, const Record& right) {
    return ComesBefore(left, right);
  };
  Record record{SortKeyOf(text, member_), shard, position, std::string()};
  if (records_.size() == limit_) {
    if (!ComesBefore(record, records_.front()))
      return;
    std::pop_heap(records_.begin(), records_.end(), before);
    bytes_ -= records_.back().text.size();
    records_.pop_back();
  }
  record.text = std::string(text);
  bytes_ += text.size();
  records_.push_back(std::move(record));
  std::push_heap(records_.begin(), records_.end(), before);
}

bool FirstKMerger::ComesBefore(const Record& left, const Record& right) const {
  int order = CompareSortKeys(left.key, right.key, descending_);
  if (order != 0)
    return order < 0;
  return std::pair(left.shard, left.position) <
         std::pair(right.shard, right.position);
}

std::string FirstKMerger::Finish() {
  std::sort(records_.begin(), records_.end(),
            [this](const Record& left, const Record& right) {
              return ComesBefore(left, right);
            });
  std::string out = "[";
  out.reserve(bytes_ + records_.size() + 2);
  for (const Record& record : records_) {
    if (out.size() > 1)
      out.push_back(',');
    out.append(record.text);
  }
  out.push_back(']');
  Reset();
  return out;
}

void FirstKMerger::Reset() {
  records_.clear();
  bytes_ = 0;
}

std::unique_ptr<Merger> MakeMerger(const KindSpec& spec,
                                   std::size_t shards,
                                   std::size_t max_bytes) {
  if (spec.merge == MergeRule::kFirstK)
    return std::make_unique<FirstKMerger>(spec, max_bytes);
  return std::make_unique<ConcatenatingMerger>(shards, max_bytes);
}

}  // namespace jujubecove

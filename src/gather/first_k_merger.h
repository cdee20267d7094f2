#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gather/merger.h"
#include "gather/sort_key.h"

namespace jujubecove {

// Keeps the first k records, ordered by a named member, then by shard, then by
// position in the shard's array. Never holds more than k records, so that
// memory does not grow with the number of shards.
class FirstKMerger : public Merger {
 public:
  FirstKMerger(const KindSpec& spec, std::size_t max_bytes);

  MergeStatus Add(std::size_t shard, std::string body) override;
  std::string Finish() override;
  void Reset() override;

 private:
  struct Record {
    SortKey key;
    std::size_t shard = 0;
    std::size_t position = 0;
    std::string text;
  };

  bool ComesBefore(const Record& left, const Record& right) const;
  void AddRecord(std::size_t shard,
                 std::size_t position,
                 std::string_view text);

  std::string member_;
  bool descending_;
  std::size_t limit_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  // A heap with the last record in the order on top.
  std::vector<Record> records_;
};

}  // namespace jujubecove

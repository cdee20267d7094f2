#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecove {

// Records have a fixed size. An incomplete record at the end of a part is
// ignored.
inline constexpr std::size_t kRecordBytes = 16;

// Returns the first `count` records of all parts in descending byte order.
// Duplicates are kept.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count);

}  // namespace jujubecove

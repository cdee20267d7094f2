#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecove {

// Length of every record; a shorter remainder of a part is ignored.
inline constexpr std::size_t kRecordBytes = 16;

// The greatest `count` records of all parts, in descending byte order. Equal
// records are all kept.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count);

}  // namespace jujubecove

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubecove {

// Every record has this length; a shorter remainder of a part is no record.
inline constexpr std::size_t kRecordBytes = 16;

// The greatest `count` records of all parts, greatest first, compared byte by
// byte. Equal records all count.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count);

}  // namespace jujubecove

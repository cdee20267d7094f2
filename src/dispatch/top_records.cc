#include "dispatch/top_records.h"

#include <algorithm>
#include <functional>

namespace jujubecove {

std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes))
      records.push_back(part.substr(0, kRecordBytes));
  }
  std::size_t kept = std::min(count, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string body;
  body.reserve(kept * kRecordBytes);
  for (std::size_t n = 0; n < kept; ++n)
    body += records[n];
  return body;
}

}  // namespace jujubecove

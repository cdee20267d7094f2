#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store.h"
#include "store/vm_list.h"

namespace jujubecove {

// JSON bodies of the platform protocol. A parser gives nothing for a body that
// is malformed or lacks a field.

std::string FormatValue(StoreRevision revision, std::string_view value);
std::optional<StoreReply> ParseValue(std::string_view body);

std::string FormatLeaseRequest(const std::string& name,
                               const std::string& holder,
                               Duration time_to_live);
std::string FormatLease(const LeaseReply& lease);
std::optional<LeaseReply> ParseLease(std::string_view body);

std::string FormatVms(VmListRevision revision,
                      const std::vector<VmRecord>& vms);
std::optional<VmListReply> ParseVms(std::string_view body);

// Escapes a key for the path of a URL; '/' stays as it is.
std::string EscapeKey(std::string_view key);
std::optional<std::string> UnescapeKey(std::string_view path);

}  // namespace jujubecove

#pragma once

#include <optional>
#include <string>

#include "ctl/command.h"
#include "document/document.h"

namespace jujubecove {

// Reads and validates a document. When that fails, the faults are printed,
// nothing is returned and `code` says why.
std::optional<Document> LoadDocument(const std::string& path,
                                     const CommandContext& context,
                                     ExitCode& code);

}  // namespace jujubecove

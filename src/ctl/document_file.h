#pragma once

#include <optional>
#include <string>

#include "ctl/command.h"
#include "document/document.h"

namespace jujubecove {

// Reads and validates a document. On failure prints the faults, sets `code` and
// returns std::nullopt.
std::optional<Document> LoadDocument(const std::string& path,
                                     const CommandContext& context,
                                     ExitCode& code);

}  // namespace jujubecove

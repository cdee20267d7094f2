#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "http/header_field.h"

namespace jujubecove {

// How callers present their API keys.
class CredentialProtocol {
 public:
  virtual ~CredentialProtocol() = default;

  // Removes every field that presents an API key or claims a workspace, so that
  // none of them reaches a searcher. Returns the key, nothing if there is none,
  // or why it can't be read. The reason never contains the key.
  virtual Result<std::optional<std::string>> TakeApiKey(
      HeaderFields& headers) const = 0;
};

}  // namespace jujubecove

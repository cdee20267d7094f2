#pragma once

#include "dispatch/credential_protocol.h"

namespace jujubecove::platform {

// Longer API keys are neither accepted in the configuration nor from callers.
inline constexpr std::size_t kMaxApiKeyBytes = 4096;

class PlatformCredentialProtocol : public CredentialProtocol {
 public:
  Result<std::optional<std::string>> TakeApiKey(
      HeaderFields& headers) const override;
};

}  // namespace jujubecove::platform

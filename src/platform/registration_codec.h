#pragma once

#include "discovery/registration_codec.h"

namespace jujubecove::platform {

// Encodes and decodes the configuration and registrations in the platform's
// JSON formats.
class PlatformRegistrationCodec : public RegistrationCodec {
 public:
  PlatformRegistrationCodec();

  const std::string& config_key() const override { return config_key_; }
  const std::string& searcher_prefix() const override {
    return searcher_prefix_;
  }
  const std::string& daemon_prefix() const override { return daemon_prefix_; }
  const std::string& evacuation_prefix() const override {
    return evacuation_prefix_;
  }

  Result<ServingConfig> DecodeConfig(const std::string& value) const override;
  Result<SearcherEntry> DecodeSearcher(const InstanceId& id,
                                       const std::string& value) const override;
  std::string EncodeDaemon(const DaemonEntry& entry) const override;
  Result<DaemonEntry> DecodeDaemon(const VmId& vm,
                                   const std::string& value) const override;

 private:
  std::string config_key_;
  std::string searcher_prefix_;
  std::string daemon_prefix_;
  std::string evacuation_prefix_;
};

}  // namespace jujubecove::platform

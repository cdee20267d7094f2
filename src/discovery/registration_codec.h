#pragma once

#include <string>

#include "base/result.h"
#include "discovery/daemon_entry.h"
#include "discovery/searcher_entry.h"
#include "route/route.h"

namespace jujubecove {

// Encoding of the operators' configuration, searchers and entry daemons in the
// store.
class RegistrationCodec {
 public:
  virtual ~RegistrationCodec() = default;

  virtual const std::string& config_key() const = 0;
  // Keys of registrations consist of one of these prefixes and an id.
  virtual const std::string& searcher_prefix() const = 0;
  virtual const std::string& daemon_prefix() const = 0;
  // A key of this prefix and an availability zone requests its evacuation.
  virtual const std::string& evacuation_prefix() const = 0;

  virtual Result<ServingConfig> DecodeConfig(
      const std::string& value) const = 0;
  // Fails for a registration without a usable searcher.
  virtual Result<SearcherEntry> DecodeSearcher(
      const InstanceId& id,
      const std::string& value) const = 0;
  virtual std::string EncodeDaemon(const DaemonEntry& entry) const = 0;
  // Fails for a value that no entry daemon has written.
  virtual Result<DaemonEntry> DecodeDaemon(const VmId& vm,
                                           const std::string& value) const = 0;
};

}  // namespace jujubecove

#pragma once

#include <string>

#include "base/result.h"
#include "discovery/searcher_entry.h"
#include "route/route.h"

namespace jujubecove {

// How the operators' configuration, searchers and entry daemons are written in
// the store.
class RegistrationCodec {
 public:
  virtual ~RegistrationCodec() = default;

  virtual const std::string& config_key() const = 0;
  // Registrations of searchers and of entry daemons have their ids after these
  // prefixes.
  virtual const std::string& searcher_prefix() const = 0;
  virtual const std::string& daemon_prefix() const = 0;

  virtual Result<ServingConfig> DecodeConfig(
      const std::string& value) const = 0;
  // Fails for a registration that names no searcher to use.
  virtual Result<SearcherEntry> DecodeSearcher(
      const InstanceId& id,
      const std::string& value) const = 0;
  virtual std::string EncodeDaemon(const VmId& vm,
                                   const ZoneName& zone) const = 0;
};

}  // namespace jujubecove

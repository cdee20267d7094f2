#pragma once

#include <functional>
#include <optional>

#include "quota/quota_owner.h"

namespace jujubecove {

// Asks the owners on other VMs.
class QuotaTransport {
 public:
  using GrantHandler = std::function<void(std::optional<TokenGrant>)>;
  using AckHandler = std::function<void(bool acknowledged)>;

  virtual ~QuotaTransport() = default;

  // Calls `done` once, without a grant if there was no answer.
  virtual void Ask(const QuotaOwnerVm& owner,
                   const TokenRequest& request,
                   GrantHandler done) = 0;
  // Tells another VM that this one is registered.
  virtual void Announce(const DaemonEntry& peer,
                        const DaemonEntry& own,
                        AckHandler done) = 0;
};

}  // namespace jujubecove

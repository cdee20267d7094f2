#pragma once

#include <Peer.h>

#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace jujubecove {

enum class PeerStatus : std::uint8_t {
  kDone,
  // Not one byte of the call was sent.
  kNotSent,
  // The call may have been carried out; its reply is missing.
  kUnknown,
};

template <typename T>
struct PeerResult {
  PeerStatus status = PeerStatus::kUnknown;
  T value;
};

// Calls to other entry daemons, by the "ip:port" of their peer server. Calls
// return at once; the handler runs later on the caller's thread, exactly once.
class PeerTransport {
 public:
  using ExchangeHandler =
      std::function<void(PeerResult<wire::ExchangeMessage>)>;
  using DocumentHandler = std::function<void(PeerResult<wire::DocumentReply>)>;
  using ForwardHandler = std::function<void(PeerResult<wire::ForwardReply>)>;

  virtual ~PeerTransport() = default;

  virtual void Exchange(const std::string& address,
                        const wire::ExchangeMessage& message,
                        ExchangeHandler handler) = 0;
  virtual void FetchDelta(const std::string& address,
                          ConfigVersion from,
                          ConfigVersion to,
                          DocumentHandler handler) = 0;
  virtual void FetchDocument(const std::string& address,
                             ConfigVersion version,
                             DocumentHandler handler) = 0;
  virtual void Execute(const std::string& address,
                       const wire::ForwardRequest& request,
                       Duration timeout,
                       ForwardHandler handler) = 0;
};

// Answers the calls of other entry daemons on the control thread.
class PeerHandler {
 public:
  using ForwardResponder = std::function<void(wire::ForwardReply)>;

  virtual ~PeerHandler() = default;

  virtual wire::ExchangeMessage OnExchange(
      const wire::ExchangeMessage& message) = 0;
  virtual wire::DocumentReply OnFetchDelta(ConfigVersion from,
                                           ConfigVersion to) = 0;
  virtual wire::DocumentReply OnFetchDocument(ConfigVersion version) = 0;
  // `respond` is called once, possibly later and on this thread.
  virtual void OnExecute(const wire::ForwardRequest& request,
                         ForwardResponder respond) = 0;
};

}  // namespace jujubecove

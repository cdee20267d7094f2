#pragma once

#include <Peer.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubecove {

// Largest message between daemons: a document or a caller's body of 1 MiB with
// room for the fields around it.
inline constexpr std::size_t kMaxPeerMessageBytes = 1280UL * 1024;
// Bytes of the length that precedes each message.
inline constexpr std::size_t kFrameHeaderBytes = 4;

// Length of the message that follows a frame header, or nothing when it is
// zero or above kMaxPeerMessageBytes.
std::optional<std::size_t> ParseFrameHeader(std::string_view header);

enum class PeerMethod : std::uint8_t {
  kExchange,
  kFetchDelta,
  kFetchDocument,
  kExecute,
};

// A decoded call. Only the arguments of its method are set.
struct PeerCall {
  std::int32_t sequence = 0;
  PeerMethod method = PeerMethod::kExchange;
  wire::ExchangeMessage exchange;
  // FetchDelta from and to; FetchDocument sets `to` only.
  std::int64_t from_version = 0;
  std::int64_t to_version = 0;
  wire::ForwardRequest forward;
};

// A decoded reply. Only the result of its method is set.
struct PeerReply {
  std::int32_t sequence = 0;
  PeerMethod method = PeerMethod::kExchange;
  // Cleared when the peer answered with an exception.
  bool ok = false;
  wire::ExchangeMessage exchange;
  wire::DocumentReply document;
  wire::ForwardReply forward;
};

// Encoders give a whole frame, header included.
std::string EncodeCall(const PeerCall& call);
std::string EncodeReply(const PeerReply& reply);
// Decoders take a message without its frame header, and give nothing for one
// that is malformed, truncated, of an unknown method or of another type.
std::optional<PeerCall> DecodeCall(std::string_view message);
std::optional<PeerReply> DecodeReply(std::string_view message);

}  // namespace jujubecove

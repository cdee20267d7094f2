#include "peer/peer_codec.h"

#include <thrift/TApplicationException.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <memory>

namespace jujubecove {
namespace {

using apache::thrift::TApplicationException;
using apache::thrift::TException;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TMessageType;
using apache::thrift::transport::TMemoryBuffer;

// Elements that a list or map may claim to have. A page of members is the
// longest list.
constexpr std::int32_t kMaxContainerElements = 4'096;

constexpr std::array<std::string_view, 4> kMethodNames = {
    "Exchange", "FetchDelta", "FetchDocument", "Execute"};

std::optional<PeerMethod> MethodOf(std::string_view name) {
  for (std::size_t n = 0; n < kMethodNames.size(); ++n) {
    if (kMethodNames[n] == name)
      return static_cast<PeerMethod>(n);
  }
  return std::nullopt;
}

std::shared_ptr<TBinaryProtocol> MakeProtocol(
    std::shared_ptr<TMemoryBuffer> buffer) {
  return std::make_shared<TBinaryProtocol>(
      std::move(buffer), static_cast<std::int32_t>(kMaxPeerMessageBytes),
      kMaxContainerElements, true, true);
}

// Writes one message with its frame header.
class FrameWriter {
 public:
  FrameWriter(PeerMethod method, TMessageType type, std::int32_t sequence)
      : buffer_(std::make_shared<TMemoryBuffer>()),
        protocol_(MakeProtocol(buffer_)) {
    const std::uint8_t header[kFrameHeaderBytes] = {};
    buffer_->write(header, kFrameHeaderBytes);
    protocol_->writeMessageBegin(
        std::string(kMethodNames[static_cast<std::size_t>(method)]), type,
        sequence);
  }

  TBinaryProtocol* protocol() { return protocol_.get(); }

  std::string Finish() {
    protocol_->writeMessageEnd();
    std::string frame = buffer_->getBufferAsString();
    std::size_t size = frame.size() - kFrameHeaderBytes;
    for (std::size_t n = 0; n < kFrameHeaderBytes; ++n) {
      std::size_t shift = 8 * (kFrameHeaderBytes - 1 - n);
      frame[n] = static_cast<char>((size >> shift) & 0xffU);
    }
    return frame;
  }

 private:
  std::shared_ptr<TMemoryBuffer> buffer_;
  std::shared_ptr<TBinaryProtocol> protocol_;
};

std::shared_ptr<TBinaryProtocol> ReaderOf(std::string_view message) {
  // The buffer only observes the bytes; its constructor lacks const.
  std::uint8_t* bytes = const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(message.data()));
  return MakeProtocol(std::make_shared<TMemoryBuffer>(
      bytes, static_cast<std::uint32_t>(message.size())));
}

void ReadArguments(TBinaryProtocol* protocol, PeerCall& call) {
  switch (call.method) {
    case PeerMethod::kExchange: {
      wire::Peer_Exchange_args args;
      args.read(protocol);
      call.exchange = std::move(args.message);
      break;
    }
    case PeerMethod::kFetchDelta: {
      wire::Peer_FetchDelta_args args;
      args.read(protocol);
      call.from_version = args.from_version;
      call.to_version = args.to_version;
      break;
    }
    case PeerMethod::kFetchDocument: {
      wire::Peer_FetchDocument_args args;
      args.read(protocol);
      call.to_version = args.version;
      break;
    }
    case PeerMethod::kExecute: {
      wire::Peer_Execute_args args;
      args.read(protocol);
      call.forward = std::move(args.request);
      break;
    }
  }
}

// Reads a generated result struct; false when it holds no value.
template <typename Result, typename Value>
bool ReadResult(TBinaryProtocol* protocol, Value& value) {
  Result result;
  result.read(protocol);
  value = std::move(result.success);
  return result.__isset.success;
}

bool ReadReply(TBinaryProtocol* protocol, PeerReply& reply) {
  switch (reply.method) {
    case PeerMethod::kExchange:
      return ReadResult<wire::Peer_Exchange_result>(protocol, reply.exchange);
    case PeerMethod::kFetchDelta:
      return ReadResult<wire::Peer_FetchDelta_result>(protocol, reply.document);
    case PeerMethod::kFetchDocument:
      return ReadResult<wire::Peer_FetchDocument_result>(protocol,
                                                         reply.document);
    case PeerMethod::kExecute:
      return ReadResult<wire::Peer_Execute_result>(protocol, reply.forward);
  }
  return false;
}

template <typename Result, typename Value>
void WriteResult(TBinaryProtocol* protocol, const Value& value) {
  Result result;
  result.success = value;
  result.__isset.success = true;
  result.write(protocol);
}

void WriteReply(TBinaryProtocol* protocol, const PeerReply& reply) {
  switch (reply.method) {
    case PeerMethod::kExchange:
      WriteResult<wire::Peer_Exchange_result>(protocol, reply.exchange);
      break;
    case PeerMethod::kFetchDelta:
      WriteResult<wire::Peer_FetchDelta_result>(protocol, reply.document);
      break;
    case PeerMethod::kFetchDocument:
      WriteResult<wire::Peer_FetchDocument_result>(protocol, reply.document);
      break;
    case PeerMethod::kExecute:
      WriteResult<wire::Peer_Execute_result>(protocol, reply.forward);
      break;
  }
}

}  // namespace

std::optional<std::size_t> ParseFrameHeader(std::string_view header) {
  std::size_t size = 0;
  for (std::size_t n = 0; n < kFrameHeaderBytes; ++n)
    size = (size << 8U) | static_cast<unsigned char>(header[n]);
  if (size == 0 || size > kMaxPeerMessageBytes)
    return std::nullopt;
  return size;
}

std::string EncodeCall(const PeerCall& call) {
  FrameWriter writer(call.method, apache::thrift::protocol::T_CALL,
                     call.sequence);
  switch (call.method) {
    case PeerMethod::kExchange: {
      wire::Peer_Exchange_args args;
      args.message = call.exchange;
      args.write(writer.protocol());
      break;
    }
    case PeerMethod::kFetchDelta: {
      wire::Peer_FetchDelta_args args;
      args.from_version = call.from_version;
      args.to_version = call.to_version;
      args.write(writer.protocol());
      break;
    }
    case PeerMethod::kFetchDocument: {
      wire::Peer_FetchDocument_args args;
      args.version = call.to_version;
      args.write(writer.protocol());
      break;
    }
    case PeerMethod::kExecute: {
      wire::Peer_Execute_args args;
      args.request = call.forward;
      args.write(writer.protocol());
      break;
    }
  }
  return writer.Finish();
}

std::string EncodeReply(const PeerReply& reply) {
  if (reply.ok) {
    FrameWriter writer(reply.method, apache::thrift::protocol::T_REPLY,
                       reply.sequence);
    WriteReply(writer.protocol(), reply);
    return writer.Finish();
  }
  FrameWriter writer(reply.method, apache::thrift::protocol::T_EXCEPTION,
                     reply.sequence);
  TApplicationException(TApplicationException::INTERNAL_ERROR, "refused")
      .write(writer.protocol());
  return writer.Finish();
}

std::optional<PeerCall> DecodeCall(std::string_view message) {
  try {
    std::shared_ptr<TBinaryProtocol> protocol = ReaderOf(message);
    PeerCall call;
    std::string name;
    TMessageType type{};
    protocol->readMessageBegin(name, type, call.sequence);
    std::optional<PeerMethod> method = MethodOf(name);
    if (!method || type != apache::thrift::protocol::T_CALL)
      return std::nullopt;
    call.method = *method;
    ReadArguments(protocol.get(), call);
    return call;
  } catch (const TException&) {
    return std::nullopt;
  }
}

std::optional<PeerReply> DecodeReply(std::string_view message) {
  try {
    std::shared_ptr<TBinaryProtocol> protocol = ReaderOf(message);
    PeerReply reply;
    std::string name;
    TMessageType type{};
    protocol->readMessageBegin(name, type, reply.sequence);
    std::optional<PeerMethod> method = MethodOf(name);
    if (!method)
      return std::nullopt;
    reply.method = *method;
    if (type == apache::thrift::protocol::T_EXCEPTION)
      return reply;
    if (type != apache::thrift::protocol::T_REPLY)
      return std::nullopt;
    reply.ok = ReadReply(protocol.get(), reply);
    return reply;
  } catch (const TException&) {
    return std::nullopt;
  }
}

}  // namespace jujubecove

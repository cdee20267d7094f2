#include "peer/peer_codec.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <string>

namespace jujubecove {
namespace {

std::string MessageOf(const std::string& frame) {
  return frame.substr(kFrameHeaderBytes);
}

wire::ExchangeMessage ArbitraryExchange() {
  wire::ExchangeMessage message;
  message.sender.id = *rc::gen::arbitrary<std::string>();
  message.sender.incarnation = *rc::gen::arbitrary<std::int64_t>();
  message.digest = *rc::gen::arbitrary<std::int64_t>();
  int count = *rc::gen::inRange(0, 5);
  for (int n = 0; n < count; ++n) {
    wire::Member member;
    member.address = *rc::gen::arbitrary<std::string>();
    member.sequence = *rc::gen::arbitrary<std::int64_t>();
    member.state =
        static_cast<wire::MemberState::type>(*rc::gen::inRange(0, 4));
    message.changes.push_back(member);
  }
  message.config.active_version = *rc::gen::arbitrary<std::int64_t>();
  message.config.__set_rejection(*rc::gen::arbitrary<std::string>());
  return message;
}

PeerCall ArbitraryCall() {
  PeerCall call;
  call.sequence = *rc::gen::arbitrary<std::int32_t>();
  call.method = static_cast<PeerMethod>(*rc::gen::inRange(0, 4));
  if (call.method == PeerMethod::kExchange)
    call.exchange = ArbitraryExchange();
  if (call.method == PeerMethod::kFetchDelta)
    call.from_version = *rc::gen::arbitrary<std::int64_t>();
  if (call.method == PeerMethod::kExecute) {
    call.forward.kind = *rc::gen::arbitrary<std::string>();
    call.forward.body = *rc::gen::arbitrary<std::string>();
    call.forward.headers["k"] = *rc::gen::arbitrary<std::string>();
  }
  return call;
}

// Guards against a field that is lost or mixed up on the way.
TEST(PeerCodecTest, CallsAndRepliesReadBackAsWritten) {
  bool ok = rc::check([] {
    PeerCall call = ArbitraryCall();
    std::string frame = EncodeCall(call);
    std::optional<std::size_t> size = ParseFrameHeader(frame);
    RC_ASSERT(size == frame.size() - kFrameHeaderBytes);
    std::optional<PeerCall> decoded = DecodeCall(MessageOf(frame));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(EncodeCall(*decoded) == frame);
    PeerReply reply;
    reply.method = call.method;
    reply.ok = *rc::gen::arbitrary<bool>();
    reply.exchange = call.exchange;
    reply.forward.body = call.forward.body;
    std::string reply_frame = EncodeReply(reply);
    std::optional<PeerReply> decoded_reply =
        DecodeReply(MessageOf(reply_frame));
    RC_ASSERT(decoded_reply.has_value());
    RC_ASSERT(EncodeReply(*decoded_reply) == reply_frame);
  });
  EXPECT_TRUE(ok);
}

// Guards against a crash or an allocation beyond the message on bytes of any
// kind: random, damaged and truncated.
TEST(PeerCodecTest, DecodersSurviveAnyBytes) {
  bool ok = rc::check([] {
    std::string bytes = *rc::gen::arbitrary<std::string>();
    std::string message = MessageOf(EncodeCall(ArbitraryCall()));
    int damages = *rc::gen::inRange(0, 4);
    for (int n = 0; n < damages; ++n)
      message[*rc::gen::inRange<std::size_t>(0, message.size())] =
          *rc::gen::arbitrary<char>();
    message.resize(*rc::gen::inRange<std::size_t>(0, message.size() + 1));
    DecodeCall(bytes);
    DecodeReply(bytes);
    DecodeCall(message);
    DecodeReply(message);
  });
  EXPECT_TRUE(ok);
}

// Guards against a truncated call being taken for a whole one.
TEST(PeerCodecTest, EveryTruncatedCallIsRefused) {
  PeerCall call;
  call.exchange.sender.address = "127.0.0.1:1";
  std::string message = MessageOf(EncodeCall(call));
  for (std::size_t n = 0; n < message.size(); ++n)
    EXPECT_FALSE(DecodeCall(std::string_view(message).substr(0, n))) << n;
}

// Guards against reading a frame that is larger than any message can be.
TEST(PeerCodecTest, FrameLengthsAreBounded) {
  EXPECT_FALSE(ParseFrameHeader(std::string_view("\0\0\0\0", 4)));
  EXPECT_FALSE(ParseFrameHeader("\x7f\xff\xff\xff"));
  EXPECT_FALSE(ParseFrameHeader("\xff\xff\xff\xff"));
  EXPECT_EQ(ParseFrameHeader(std::string_view("\0\x14\0\0", 4)),
            kMaxPeerMessageBytes);
  EXPECT_FALSE(ParseFrameHeader(std::string_view("\0\x14\0\x01", 4)));
}

}  // namespace
}  // namespace jujubecove

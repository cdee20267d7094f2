// Fuzzes the parsers of searcher replies, reports and shard maps.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "shard/shard_map.h"
#include "tests/fuzz/fuzz_entry.h"
#include "upstream/reply_reader.h"
#include "upstream/report_codec.h"
#include "upstream/wire.h"

namespace {

using jujubecove::ParsedReply;
using jujubecove::ReadState;
using jujubecove::ReplyReader;
using jujubecove::Result;
using jujubecove::ShardMap;
using jujubecove::VersionedReport;

void Require(bool holds, const char* property, std::string_view input) {
  if (holds)
    return;
  std::cerr << "violated: " << property << "\ninput:\n" << input << "\n";
  std::abort();
}

// Feeds `input` to the reader in pieces of `step` bytes and returns how many
// bytes the reader consumed.
std::size_t Read(ReplyReader& reader,
                 std::string_view input,
                 std::size_t step) {
  std::size_t consumed = 0;
  for (std::size_t end = 0; end < input.size();) {
    end = std::min(end + step, input.size());
    consumed += reader.Feed(input.data() + consumed, end - consumed);
    if (reader.state() != ReadState::kNeedMore)
      break;
  }
  return consumed;
}

auto Fields(const ParsedReply& reply) {
  return std::tie(reply.status, reply.keep_alive, reply.attempt, reply.shard,
                  reply.not_run, reply.map_version, reply.index_version,
                  reply.report_generation, reply.in_flight, reply.draining,
                  reply.body);
}

void CheckReply(std::string_view input) {
  ReplyReader whole;
  std::size_t size = Read(whole, input, input.size());
  for (std::size_t step : {std::size_t{1}, std::size_t{7}}) {
    ReplyReader pieces;
    std::size_t pieces_size = Read(pieces, input, step);
    // Beast may reject a header line at once or only at the end of the header,
    // so the pieces may change the failure but not completeness.
    Require((whole.state() == ReadState::kComplete) ==
                (pieces.state() == ReadState::kComplete),
            "completeness does not depend on the pieces", input);
    if (whole.state() != ReadState::kComplete)
      continue;
    Require(
        size == pieces_size && Fields(whole.reply()) == Fields(pieces.reply()),
        "the reply does not depend on the pieces", input);
  }
  if (whole.state() != ReadState::kComplete)
    return;
  Require(size <= input.size(), "no byte beyond the input is consumed", input);
  Require(whole.reply().status >= 200, "no interim reply", input);
  Require(whole.reply().body.size() <= jujubecove::wire::kMaxReplyBodyBytes,
          "the body is bounded", input);
}

void CheckReport(std::string_view input) {
  Result<VersionedReport> report =
      jujubecove::DecodeReport(jujubecove::SearcherId("a"), input);
  if (!report)
    return;
  std::string encoded = jujubecove::EncodeReport(report.value());
  Result<VersionedReport> copy =
      jujubecove::DecodeReport(jujubecove::SearcherId("a"), encoded);
  Require(copy && jujubecove::EncodeReport(copy.value()) == encoded,
          "a report round-trips through encoding", input);
}

void CheckMap(std::string_view input) {
  Result<ShardMap> map = jujubecove::DecodeShardMap(input);
  if (!map)
    return;
  const ShardMap& value = map.value();
  Require(value.size() > 0 && value.shards().front().range.from.empty() &&
              value.shards().back().range.to.empty(),
          "a map spans the key space", input);
  Require(value.IndexOfKey(input) < value.size(), "every key has a shard",
          input);
  std::string encoded = jujubecove::EncodeShardMap(value);
  Result<ShardMap> copy = jujubecove::DecodeShardMap(encoded);
  Require(copy && jujubecove::EncodeShardMap(copy.value()) == encoded,
          "a shard map round-trips through encoding", input);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  CheckReply(input);
  CheckReport(input);
  CheckMap(input);
  return 0;
}

std::vector<std::string> FuzzSeeds() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nJujubecove-Attempt: abc-5-1\r\n"
      "Jujubecove-Shard: s0\r\nJujubecove-Shard-Map: 7\r\n"
      "Jujubecove-Index-Version: 41\r\nJujubecove-Load: 1/2\r\n"
      "Jujubecove-Report: 9\r\n";
  const std::string refusal =
      "HTTP/1.1 503 Unavailable\r\nJujubecove-Attempt: abc-5-1\r\n"
      "Jujubecove-Not-Run: draining\r\nJujubecove-Draining: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\n[1,\r\n2\r\n2]\r\n"
      "0\r\nTrailer: 1\r\n\r\n";
  const std::string report =
      R"({"service":"s","holdings":[{"map":7,"shards":["s0"],)"
      R"("index_versions":[41,42]}],"slots":2,"in_flight":0,)"
      R"("draining":false,"healthy":true,"generation":3})";
  const std::string map =
      R"({"version":7,"shards":[{"id":"s0","from":"","to":"h"},)"
      R"({"id":"s1","from":"h","to":""}]})";
  return {head + "Content-Length: 5\r\n\r\n[1,2]",
          head + chunks,
          head + "Content-Length: 0\r\nConnection: close\r\n\r\n",
          refusal,
          "HTTP/1.0 204 No Content\r\n\r\n",
          "0\r\n\r\n",
          report,
          map};
}

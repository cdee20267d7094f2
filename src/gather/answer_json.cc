#include "gather/answer_json.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jujubecove {
namespace {

constexpr int kOkStatus = 200;
constexpr std::size_t kEnvelopeBytes = 512;
constexpr std::size_t kBytesPerShard = 128;

void AppendNumber(std::string& out, std::uint64_t value) {
  std::array<char, 24> buf{};
  std::to_chars_result result =
      std::to_chars(buf.data(), buf.data() + buf.size(), value);
  out.append(buf.data(), result.ptr);
}

void AppendShare(std::string& out, double share) {
  std::array<char, 32> buf{};
  std::to_chars_result result =
      std::to_chars(buf.data(), buf.data() + buf.size(), share);
  std::string_view text(buf.data(),
                        static_cast<std::size_t>(result.ptr - buf.data()));
  out.append(text);
  if (text.find_first_of(".e") == std::string_view::npos)
    out.append(".0");
}

void AppendRange(std::string& out, std::string_view from, std::string_view to) {
  out.append("\"from\":");
  AppendJsonString(out, from);
  out.append(",\"to\":");
  AppendJsonString(out, to);
}

// Adjacent covered shards are reported as one range.
void AppendCovered(std::string& out, const Coverage& coverage) {
  const std::vector<ShardEntry>& shards = coverage.shards();
  bool is_first = true;
  for (std::size_t n = 0; n < shards.size(); ++n) {
    if (!coverage.IsCovered(n))
      continue;
    std::size_t last = n;
    while (last + 1 < shards.size() && coverage.IsCovered(last + 1))
      ++last;
    out.append(is_first ? "{" : ",{");
    is_first = false;
    AppendRange(out, shards[n].range.from, shards[last].range.to);
    out.push_back('}');
    n = last;
  }
}

void AppendGaps(std::string& out, const Coverage& coverage) {
  const std::vector<ShardEntry>& shards = coverage.shards();
  bool is_first = true;
  for (std::size_t n = 0; n < shards.size(); ++n) {
    if (coverage.IsCovered(n))
      continue;
    out.append(is_first ? "{\"shard\":" : ",{\"shard\":");
    is_first = false;
    AppendJsonString(out, shards[n].id.value());
    out.push_back(',');
    AppendRange(out, shards[n].range.from, shards[n].range.to);
    out.append(",\"cause\":\"");
    out.append(NameOf(coverage.CauseOf(n)));
    out.append("\"}");
  }
}

void AppendCoverage(std::string& out, const Coverage& coverage) {
  if (coverage.shards().empty())
    return;
  out.append(",\"coverage\":{\"shard_map\":");
  AppendNumber(out, coverage.map_version().value());
  out.append(",\"covered_share\":");
  AppendShare(out, coverage.covered_share());
  out.append(",\"covered\":[");
  AppendCovered(out, coverage);
  out.append("],\"gaps\":[");
  AppendGaps(out, coverage);
  out.append("]}");
}

std::string_view StatusOf(const QueryAnswer& answer) {
  if (answer.error)
    return NameOf(*answer.error);
  bool is_complete =
      answer.coverage.covered_count() == answer.coverage.addressed_count();
  return is_complete ? "complete" : "partial";
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned char kFirstPrintable = 0x20;
  out.push_back('"');
  for (char letter : text) {
    unsigned char code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      out.push_back('\\');
      out.push_back(letter);
    } else if (code < kFirstPrintable) {
      out.append("\\u00");
      out.push_back(kDigits[code >> 4U]);
      out.push_back(kDigits[code & 15U]);
    } else {
      out.push_back(letter);
    }
  }
  out.push_back('"');
}

RenderedAnswer RenderAnswer(const QueryAnswer& answer) {
  RenderedAnswer rendered;
  rendered.http_status =
      answer.error ? AnswerOf(*answer.error).http_status : kOkStatus;
  std::string& out = rendered.body;
  out.reserve(kEnvelopeBytes + answer.results.size() +
              answer.coverage.shards().size() * kBytesPerShard);
  out.append("{\"status\":\"");
  out.append(StatusOf(answer));
  out.append("\",\"execution\":\"");
  out.append(NameOf(answer.execution));
  out.push_back('"');
  AppendCoverage(out, answer.coverage);
  out.append(",\"index_version\":");
  if (answer.index_version)
    AppendNumber(out, answer.index_version->value());
  else
    out.append("null");
  out.append(",\"config_version\":");
  AppendNumber(out, answer.config_version.value());
  out.append(",\"trace_id\":");
  AppendJsonString(out, answer.trace_id);
  out.append(",\"detail\":");
  AppendJsonString(out, answer.detail);
  out.append(",\"results\":");
  out.append(answer.results.empty() ? "[]" : answer.results);
  out.push_back('}');
  return rendered;
}

RenderedAnswer RenderRefusal(ErrorKind error,
                             Execution execution,
                             std::string_view detail) {
  QueryAnswer answer;
  answer.error = error;
  answer.execution = execution;
  answer.detail = std::string(detail);
  return RenderAnswer(answer);
}

RenderedAnswer RenderUnprovenRefusal(ErrorKind error,
                                     const std::string& idempotency_key,
                                     std::string_view detail) {
  Execution execution = AnswerOf(error).execution;
  if (idempotency_key.empty() || execution == Execution::kUnknown)
    return RenderRefusal(error, execution, detail);
  std::string text(NameOf(error));
  if (!detail.empty())
    text.append(": ").append(detail);
  return RenderRefusal(ErrorKind::kOutcomeUnknown, Execution::kUnknown, text);
}

}  // namespace jujubecove

#include "config/document_cache.h"

#include "document/document_parser.h"

namespace jujubecove {
namespace {

// Versions before the active one that are kept for peers that are behind.
constexpr std::size_t kEarlierVersions = 2;
// Versions after the active one: proposals that may still be activated.
constexpr std::size_t kLaterVersions = 3;
constexpr std::size_t kMaxDeltas = 8;

}  // namespace

Result<DocumentCache::Held> DocumentCache::Add(ConfigVersion version,
                                               std::string text,
                                               const std::string& sha256) {
  ContentHash hash = HashOfText(text);
  if (hash.sha256 != sha256)
    return Error{ErrorKind::kBadRequest, "the text does not match its hash"};
  ParsedDocument parsed =
      ParseDocument(text, "version " + std::to_string(version.value()));
  if (!parsed.ok())
    return Error{ErrorKind::kBadRequest, parsed.faults[0].ToString()};
  std::shared_ptr<HeldDocument> held = std::make_shared<HeldDocument>();
  held->hash = std::move(hash);
  held->text = std::move(text);
  held->document = std::move(parsed.document);
  held->document.version = version;
  held_[version] = held;
  return Held(held);
}

DocumentCache::Held DocumentCache::Find(ConfigVersion version) const {
  auto it = held_.find(version);
  return it == held_.end() ? nullptr : it->second;
}

ConfigVersion DocumentCache::NewestUpTo(ConfigVersion limit) const {
  auto it = held_.upper_bound(limit);
  return it == held_.begin() ? ConfigVersion() : std::prev(it)->first;
}

void DocumentCache::Trim(ConfigVersion active) {
  auto it = held_.lower_bound(active);
  for (std::size_t n = 0; n < kEarlierVersions && it != held_.begin(); ++n)
    --it;
  held_.erase(held_.begin(), it);
  it = held_.upper_bound(active);
  while (std::distance(it, held_.end()) >
         static_cast<std::ptrdiff_t>(kLaterVersions))
    it = held_.erase(it);
}

wire::DocumentReply DocumentCache::MakeDeltaReply(ConfigVersion from,
                                                  ConfigVersion to) {
  wire::DocumentReply reply;
  Held before = Find(from);
  Held after = Find(to);
  if (before == nullptr || after == nullptr)
    return reply;
  auto it = deltas_.find({from, to});
  if (it == deltas_.end()) {
    if (deltas_.size() >= kMaxDeltas)
      deltas_.erase(deltas_.begin());
    it = deltas_
             .emplace(std::make_pair(from, to),
                      MakeDelta(before->text, after->text))
             .first;
  }
  reply.found = true;
  reply.version = static_cast<std::int64_t>(to.value());
  reply.sha256 = after->hash.sha256;
  reply.content = it->second;
  return reply;
}

wire::DocumentReply DocumentCache::MakeDocumentReply(
    ConfigVersion version) const {
  wire::DocumentReply reply;
  Held held = Find(version);
  if (held == nullptr)
    return reply;
  reply.found = true;
  reply.version = static_cast<std::int64_t>(version.value());
  reply.sha256 = held->hash.sha256;
  reply.content = held->text;
  return reply;
}

}  // namespace jujubecove

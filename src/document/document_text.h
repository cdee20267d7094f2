#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "document/document.h"

namespace jujubecove {

// The one text of a document: every key written out, sections sorted by heading
// and keys by name. Documents of equal meaning have equal text.
std::string CanonicalText(const Document& document);

// Identity of a canonical text. The fast hash tells versions apart in messages;
// SHA-256 is checked before a document is activated.
struct ContentHash {
  std::uint64_t fast = 0;
  // 64 hexadecimal digits.
  std::string sha256;

  friend bool operator==(const ContentHash&, const ContentHash&) = default;
};

ContentHash HashOfText(std::string_view text);

// One difference between two documents. A section that exists in only one of
// them has one change with an empty key.
struct DocumentChange {
  enum class Type : std::uint8_t { kAdded, kRemoved, kChanged };
  Type type = Type::kChanged;
  // Heading without brackets, such as "kind payout-search".
  std::string section;
  std::string key;
  std::string old_value;
  std::string new_value;
};

// Differences between two canonical texts in the order of sections and keys.
std::vector<DocumentChange> DiffTexts(const std::string& old_text,
                                      const std::string& new_text);

// The differences that turn one canonical text into another, with the hashes of
// both.
std::string MakeDelta(const std::string& old_text, const std::string& new_text);

// The new canonical text. An error when the delta is malformed, was made for
// another text, or does not lead to the text that it was made from.
Result<std::string> ApplyDelta(const std::string& old_text,
                               const std::string& delta);

}  // namespace jujubecove

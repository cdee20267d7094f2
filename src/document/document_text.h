#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "document/document.h"

namespace jujubecove {

// Returns the canonical text of a document: defaults are written out, sections
// are sorted by heading and keys by name. Equivalent documents have equal
// texts.
std::string CanonicalText(const Document& document);

// Identifies a canonical text. The 64-bit hash tells versions apart in
// messages; SHA-256 is checked before a document is activated.
struct ContentHash {
  std::uint64_t hash64 = 0;
  // 64 hexadecimal digits.
  std::string sha256;

  friend bool operator==(const ContentHash&, const ContentHash&) = default;
};

ContentHash HashOfText(std::string_view text);

// One difference between two documents. Adding or removing a section is a
// change with an empty key.
struct DocumentChange {
  enum class Type : std::uint8_t { kAdded, kRemoved, kChanged };
  Type type = Type::kChanged;
  // Heading without brackets, such as "kind payout-search".
  std::string section;
  std::string key;
  std::string old_value;
  std::string new_value;
};

// Returns the differences between two canonical texts, sorted by section and
// key.
std::vector<DocumentChange> DiffTexts(const std::string& old_text,
                                      const std::string& new_text);

// Returns a delta that turns one canonical text into another. It contains the
// SHA-256 of both.
std::string MakeDelta(const std::string& old_text, const std::string& new_text);

// Returns the new canonical text. Fails if the delta is malformed, was made for
// another old text, or does not produce the new text that it was made from.
Result<std::string> ApplyDelta(const std::string& old_text,
                               const std::string& delta);

}  // namespace jujubecove

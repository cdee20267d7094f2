#include "document/document_text.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

// A valid document with up to eight kinds and two services.
Document ArbitraryDocument() {
  Document document;
  for (const char* name : {"a", "b"}) {
    ServiceSpec service;
    service.name = ServiceName(name);
    service.shards = *rc::gen::inRange(1, 20);
    service.slots = *rc::gen::inRange(1, 9);
    document.services.emplace(service.name, service);
  }
  int count = *rc::gen::inRange(1, 9);
  for (int n = 0; n < count; ++n) {
    KindSpec kind;
    kind.name = KindName("k" + std::to_string(*rc::gen::inRange(0, 12)));
    kind.service = ServiceName(*rc::gen::arbitrary<bool>() ? "a" : "b");
    kind.deadline = Duration(*rc::gen::inRange(20'000, 900'000));
    kind.idempotent = *rc::gen::arbitrary<bool>();
    kind.hedge = kind.idempotent && *rc::gen::arbitrary<bool>();
    if (!kind.idempotent)
      kind.addressing = Addressing::kOneKey;
    if (*rc::gen::arbitrary<bool>()) {
      kind.merge = MergeRule::kFirstK;
      kind.merge_key = "field " + std::to_string(n);
      kind.merge_limit = *rc::gen::inRange(1, 50);
    }
    document.kinds.emplace(kind.name, kind);
  }
  return document;
}

// Guards against different hashes for equal documents on two daemons.
TEST(DocumentTextTest, CanonicalTextParsesAsTheSameDocument) {
  bool ok = rc::check([] {
    std::string text = CanonicalText(ArbitraryDocument());
    ParsedDocument parsed = ParseDocument(text, "canonical");
    RC_ASSERT(parsed.ok());
    RC_ASSERT(CanonicalText(parsed.document) == text);
  });
  EXPECT_TRUE(ok);
}

// Guards against a delta that produces another document than the proposed one.
TEST(DocumentTextTest, DeltaProducesTheNewText) {
  bool ok = rc::check([] {
    std::string before = CanonicalText(ArbitraryDocument());
    std::string after = CanonicalText(ArbitraryDocument());
    Result<std::string> applied = ApplyDelta(before, MakeDelta(before, after));
    RC_ASSERT(applied.has_value());
    RC_ASSERT(applied.value() == after);
    RC_ASSERT(DiffTexts(before, after).empty() == (before == after));
  });
  EXPECT_TRUE(ok);
}

// Guards against applying a damaged delta, or one for another document.
TEST(DocumentTextTest, RejectsDamagedDeltaThatChangesTheResult) {
  bool ok = rc::check([] {
    std::string before = CanonicalText(ArbitraryDocument());
    std::string after = CanonicalText(ArbitraryDocument());
    std::string delta = MakeDelta(before, after);
    std::size_t at = *rc::gen::inRange<std::size_t>(0, delta.size());
    std::string damaged = delta;
    if (*rc::gen::arbitrary<bool>())
      damaged[at] = *rc::gen::arbitrary<char>();
    else
      damaged.resize(at);
    Result<std::string> applied = ApplyDelta(before, damaged);
    bool harmless = !applied.has_value() || applied.value() == after;
    RC_ASSERT(harmless);
    if (before != after)
      RC_ASSERT(!ApplyDelta(after, delta).has_value());
  });
  EXPECT_TRUE(ok);
}

// Guards against a delta as large as the document after a small edit.
TEST(DocumentTextTest, DeltaOfOneKeyIsSmall) {
  Document document;
  ServiceSpec service;
  service.name = ServiceName("a");
  document.services.emplace(service.name, service);
  for (int n = 0; n < 2'000; ++n) {
    KindSpec kind;
    kind.name = KindName("kind-" + std::to_string(n));
    kind.service = service.name;
    document.kinds.emplace(kind.name, kind);
  }
  std::string before = CanonicalText(document);
  document.kinds[KindName("kind-77")].urgency = Urgency::kHigh;
  std::string after = CanonicalText(document);
  EXPECT_LT(MakeDelta(before, after).size(), 250U);
  EXPECT_EQ(DiffTexts(before, after).size(), 1U);
}

}  // namespace
}  // namespace jujubecove

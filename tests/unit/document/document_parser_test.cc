#include "document/document_parser.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "document/document_text.h"

namespace jujubecove {
namespace {

constexpr char kServices[] =
    "[service a]\nshards = 10\nreplicas = 3\n"
    "[service b]\nshards = 3\nreplicas = 2\nexpected_latency = 50\n";

struct FaultCase {
  std::string name;
  // Lines of [kind k], which starts at line 8.
  std::string keys;
  int line;
  std::string key;
  std::string message_part;
};

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against accepting a contradictory document, and against faults that
// don't tell the operator where and what to change.
TEST_P(DocumentFaultTest, ReportsFaultAtItsLine) {
  ParsedDocument parsed = ParseDocument(
      kServices + std::string("[kind k]\n") + GetParam().keys, "f.ini");
  ASSERT_EQ(parsed.faults.size(), 1U)
      << (parsed.faults.empty() ? "" : parsed.faults[1].ToString());
  const SettingFault& fault = parsed.faults[0];
  EXPECT_EQ(fault.line, GetParam().line) << fault.ToString();
  EXPECT_EQ(fault.key, GetParam().key);
  EXPECT_EQ(fault.section, "kind k");
  EXPECT_NE(fault.message.find("accepted"), std::string::npos);
  EXPECT_NE(fault.message.find(GetParam().message_part), std::string::npos)
      << fault.ToString();
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    DocumentFaultTest,
    testing::Values(
        FaultCase{"missing_service", "", 8, "service", "is required"},
        FaultCase{"unknown_service", "service = c\n", 9, "service", "a b"},
        FaultCase{"unknown_key", "service = a\ncolour = red\n", 10, "colour",
                  "least_coverage"},
        FaultCase{"bad_urgency", "service = a\nurgency = low\n", 10, "urgency",
                  "background"},
        FaultCase{"hedged_write",
                  "service = a\nidempotent = false\nhedge = true\n"
                  "addressing = one_key\n",
                  11, "hedge", "hedge = false"},
        FaultCase{"write_to_all", "service = a\nidempotent = false\n", 8,
                  "addressing", "one_key"},
        FaultCase{"snapshot_write",
                  "service = a\nidempotent = false\naddressing = one_key\n"
                  "snapshot = true\n",
                  12, "snapshot", "snapshot = false"},
        FaultCase{"partial_one_key",
                  "service = a\naddressing = one_key\npartial = true\n", 11,
                  "partial", "partial = false"},
        FaultCase{"first_k_without_key",
                  "service = a\nmerge = first_k\nmerge_limit = 5\n", 8,
                  "merge_key", "field"},
        FaultCase{"first_k_without_limit",
                  "service = a\nmerge = first_k\nmerge_key = f\n", 8,
                  "merge_limit", "from 1"},
        FaultCase{"unused_limit", "service = a\nmerge_limit = 5\n", 10,
                  "merge_limit", "first_k"},
        FaultCase{"inexpressible_coverage",
                  "service = a\npartial = true\nleast_coverage = 0.75\n", 11,
                  "least_coverage", "0.7 and 0.8"},
        FaultCase{"incomplete_without_partial",
                  "service = a\nleast_coverage = 0.8\n", 10, "least_coverage",
                  "partial = true"},
        FaultCase{"partial_without_share", "service = a\npartial = true\n", 10,
                  "partial", "below 1"},
        FaultCase{"empty_snapshot",
                  "service = a\npartial = true\nleast_coverage = 0\n"
                  "snapshot = true\n",
                  11, "least_coverage", "above 0"},
        FaultCase{"unmeetable_deadline", "service = b\ndeadline = 50\n", 10,
                  "deadline", "more than"}),
    [](const testing::TestParamInfo<FaultCase>& info) {
      return info.param.name;
    });

// Guards against reporting only the first fault, so that the operator would
// have to correct them one at a time.
TEST(DocumentParserTest, ReportsAllFaults) {
  ParsedDocument parsed = ParseDocument(
      "[service a]\nshards = 0\nreplicas = x\n[kind k]\nservice = zz\n"
      "partial = maybe\n[cluster c]\nnonsense\n",
      "f.ini");
  std::vector<int> lines;
  for (const SettingFault& fault : parsed.faults)
    lines.push_back(fault.line);
  EXPECT_EQ(lines, (std::vector<int>{2, 3, 5, 6, 7, 8}));
}

// Guards against accepting a document that the platform's store can't hold.
TEST(DocumentParserTest, RejectsOversizedDocument) {
  std::string text = kServices + std::string("[kind k]\nservice = a\n");
  text += "# " + std::string(kMaxDocumentBytes, 'x') + "\n";
  ParsedDocument parsed = ParseDocument(text, "f.ini");
  ASSERT_EQ(parsed.faults.size(), 1U);
  EXPECT_NE(parsed.faults[0].message.find("at most 1048576"),
            std::string::npos);
}

// The default of hedge is the value of idempotent. Guards against a canonical
// text with hedge = true for a non-idempotent kind, which would be rejected.
TEST(DocumentParserTest, DisablesHedgingOfNonIdempotentKindByDefault) {
  ParsedDocument parsed = ParseDocument(
      kServices + std::string("[kind k]\nservice = a\nidempotent = false\n"
                              "addressing = one_key\n"),
      "f.ini");
  ASSERT_TRUE(parsed.ok());
  EXPECT_FALSE(parsed.document.kinds.at(KindName("k")).hedge);
  EXPECT_TRUE(ParseDocument(CanonicalText(parsed.document), "c").ok());
}

class SampleDocumentTest : public testing::TestWithParam<std::string> {};

// Guards against invalid samples, which operators start their documents from.
TEST_P(SampleDocumentTest, IsValidAndHasStableCanonicalText) {
  std::string path = std::string(JUJUBECOVE_SOURCE_DIR) + GetParam();
  std::ifstream in(path);
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  ParsedDocument parsed = ParseDocument(text, path);
  ASSERT_TRUE(parsed.ok()) << parsed.faults[0].ToString();
  std::string canonical = CanonicalText(parsed.document);
  ParsedDocument reparsed = ParseDocument(canonical, "canonical");
  ASSERT_TRUE(reparsed.ok()) << reparsed.faults[0].ToString();
  EXPECT_EQ(CanonicalText(reparsed.document), canonical);
}

INSTANTIATE_TEST_SUITE_P(Samples,
                         SampleDocumentTest,
                         testing::Values("/samples/mkaa-safi.ini",
                                         "/samples/hayabusa.ini"),
                         [](const testing::TestParamInfo<std::string>& info) {
                           return info.param.find("hayabusa") !=
                                          std::string::npos
                                      ? "hayabusa"
                                      : "mkaa_safi";
                         });

}  // namespace
}  // namespace jujubecove

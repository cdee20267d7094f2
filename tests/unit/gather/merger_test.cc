#include "gather/merger.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gather/json_array.h"

namespace jujubecove {
namespace {

// Guards against merging a body that would make the answer malformed.
TEST(JsonArrayTest, AcceptsOnlySingleWellFormedArray) {
  for (const char* body :
       {"", " ", "[", "]", "{}", "[1,]", "[1] 2", "[1][2]", "[\"a]", "[1 2]",
        "{\"a\":1}", "null", "[\x01]", "[\"\xff\"]", "[1}]"})
    EXPECT_FALSE(ElementsOfJsonArray(body)) << body;
  EXPECT_EQ(ElementsOfJsonArray("[]"), "");
  EXPECT_EQ(ElementsOfJsonArray(" [ ] \n"), "");
  EXPECT_EQ(ElementsOfJsonArray(" [ 1, {\"a\":[2]} ]"), "1, {\"a\":[2]}");
}

// Guards against splitting records at a comma or bracket within a string.
TEST(JsonArrayTest, SplitsElementsAtTopLevelCommas) {
  std::string_view rest =
      *ElementsOfJsonArray(R"([{"a":"x,]\"}"} , [1,2],"," ,7])");
  std::vector<std::string> elements;
  while (!rest.empty())
    elements.emplace_back(NextElement(rest));
  EXPECT_EQ(elements, (std::vector<std::string>{R"({"a":"x,]\"}"})", "[1,2]",
                                                "\",\"", "7"}));
}

// Guards against mistaking a nested member or a value for the sort key.
TEST(JsonArrayTest, FindsOnlyTopLevelMembers) {
  std::string_view record =
      R"({"x":{"k":1},"y":"k","a\u006b":4, "k" : [2,{"k":3}] })";
  EXPECT_EQ(FindMember(record, "k"), R"([2,{"k":3}])");
  EXPECT_EQ(FindMember(record, "ak"), "4");
  EXPECT_FALSE(FindMember(record, "z"));
  EXPECT_FALSE(FindMember("17", "k"));
  EXPECT_FALSE(FindMember("{}", "k"));
}

std::string Merge(const KindSpec& spec,
                  const std::vector<std::string>& bodies) {
  std::unique_ptr<Merger> merger = MakeMerger(spec, bodies.size(), 1'000);
  // In reverse, because the order of arrival must not matter.
  for (std::size_t n = bodies.size(); n-- > 0;)
    EXPECT_EQ(merger->Add(n, bodies[n]), MergeStatus::kMerged);
  return merger->Finish();
}

// Guards against extra commas around empty arrays.
TEST(MergerTest, ConcatenatesInShardOrder) {
  EXPECT_EQ(Merge(KindSpec(), {"[]", "[1, 2]", " [ ]", "[3]"}), "[1, 2,3]");
  EXPECT_EQ(Merge(KindSpec(), {"[]", "[]"}), "[]");
}

KindSpec FirstK(std::uint32_t limit, bool descending) {
  KindSpec spec;
  spec.merge = MergeRule::kFirstK;
  spec.merge_key = "k";
  spec.merge_limit = limit;
  spec.descending = descending;
  return spec;
}

// Guards against an order that depends on arrival or on the type of the key.
TEST(MergerTest, FirstKOrdersByTypeThenValueThenShard) {
  std::vector<std::string> bodies = {
      R"([{"k":"b"},{"k":null},{"j":1}])", R"([{"k":10},{"k":9.5,"n":1}])",
      R"([{"k":9.5,"n":2},{"k":"a\u0062"},{"k":-1e400}])"};
  EXPECT_EQ(Merge(FirstK(9, false), bodies),
            R"([{"k":-1e400},{"k":9.5,"n":1},{"k":9.5,"n":2},{"k":10},)"
            R"({"k":"a\u0062"},{"k":"b"},{"k":null},{"j":1}])");
  EXPECT_EQ(Merge(FirstK(3, false), bodies),
            R"([{"k":-1e400},{"k":9.5,"n":1},{"k":9.5,"n":2}])");
  EXPECT_EQ(Merge(FirstK(4, true), bodies),
            R"([{"k":10},{"k":9.5,"n":1},{"k":9.5,"n":2},{"k":-1e400}])");
}

// Guards against rounding 64-bit integers before they are compared.
TEST(MergerTest, FirstKComparesLargeIntegersExactly) {
  EXPECT_EQ(Merge(FirstK(1, false), {R"([{"k":9007199254740993}])",
                                     R"([{"k":9007199254740992}])"}),
            R"([{"k":9007199254740992}])");
}

// Guards against unbounded memory for merged results.
TEST(MergerTest, RejectsBodyOverSizeLimit) {
  std::string body = "[\"" + std::string(600, 'x') + "\"]";
  for (const KindSpec& spec : {KindSpec(), FirstK(5, false)}) {
    std::unique_ptr<Merger> merger = MakeMerger(spec, 2, 1'000);
    EXPECT_EQ(merger->Add(0, body), MergeStatus::kMerged);
    EXPECT_EQ(merger->Add(1, body), MergeStatus::kTooLarge);
    EXPECT_EQ(merger->Finish(), body);
  }
}

}  // namespace
}  // namespace jujubecove

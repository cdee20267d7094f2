#include "ctl/console_form.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "document/document_parser.h"
#include "document/document_text.h"

namespace jujubecove {
namespace {

using testing::AllOf;
using testing::Contains;
using testing::Field;
using testing::HasSubstr;

std::string ReadSample(const std::string& name) {
  std::ifstream file(JUJUBECOVE_SOURCE_DIR + ("/samples/" + name));
  return std::string(std::istreambuf_iterator<char>(file), {});
}

class SampleFormTest : public testing::TestWithParam<std::string> {};

// Guards against a form that changes the meaning of a document.
TEST_P(SampleFormTest, RoundTripKeepsMeaning) {
  std::string sample = ReadSample(GetParam());
  ParsedDocument parsed = ParseDocument(sample, "sample");
  ASSERT_TRUE(parsed.ok());
  std::string canonical = CanonicalText(parsed.document);
  for (const std::string& text : {sample, canonical}) {
    std::vector<SettingFault> faults;
    std::vector<FormSection> form = FormFromText(text, faults);
    EXPECT_TRUE(faults.empty());
    std::optional<FormFields> fields =
        DecodeForm(EncodeForm(FieldsFromForm(form)));
    ASSERT_TRUE(fields);
    FormCheck check = CheckForm(FormFromFields(*fields));
    EXPECT_TRUE(check.faults.empty());
    EXPECT_EQ(check.text, canonical);
  }
}

INSTANTIATE_TEST_SUITE_P(Samples,
                         SampleFormTest,
                         testing::Values("hayabusa.ini", "mkaa-safi.ini"));

// Guards against a crash or an out-of-bounds read on input from the network.
RC_GTEST_PROP(ConsoleFormTest, AcceptsArbitraryBytes, ()) {
  std::vector<char> bytes = *rc::gen::container<std::vector<char>>(
      rc::gen::oneOf(rc::gen::arbitrary<char>(),
                     rc::gen::elementOf(std::string("%&=+s0.:1aF"))));
  std::string body(bytes.begin(), bytes.end());
  std::optional<FormFields> fields = DecodeForm(body);
  if (fields)
    CheckForm(FormFromFields(*fields));
}

// Guards against values that are changed by encoding and decoding.
RC_GTEST_PROP(ConsoleFormTest, DecodesWhatItEncodes, ()) {
  auto fields = *rc::gen::arbitrary<FormFields>();
  RC_PRE(!fields.empty());
  RC_ASSERT(DecodeForm(EncodeForm(fields)) == fields);
}

// Guards against accepting a truncated or invalid escape.
TEST(ConsoleFormTest, RejectsMalformedEscapes) {
  for (const char* body : {"a=%", "a=%4", "a=%zz", "%=1", "a=1&b=%g0"})
    EXPECT_FALSE(DecodeForm(body)) << body;
}

FormSection Service() {
  return FormSection{"service", "a", {{"shards", "2"}, {"replicas", "1"}}};
}

// Guards against entered text that injects sections or keys.
TEST(ConsoleFormTest, RejectsEntriesThatInjectSectionsOrKeys) {
  FormSection line_break{"kind", "k", {{"service", "a\n[kind x]\nservice=a"}}};
  FormSection bad_name{"kind", "x]\n[service b", {{"service", "a"}}};
  FormSection bad_key{"kind", "z", {{"service", "a"}, {"x\n[kind y]", "1"}}};
  FormCheck check = CheckForm({Service(), line_break, bad_name, bad_key});
  EXPECT_EQ(check.text, "");
  ASSERT_EQ(check.faults.size(), 3U);
  EXPECT_EQ(check.faults[0].section, 1);
  EXPECT_EQ(check.faults[0].key, "service");
  EXPECT_EQ(check.faults[1].section, 2);
  EXPECT_EQ(check.faults[1].key, "");
  EXPECT_EQ(check.faults[2].section, 3);
}

// Guards against faults that are reported for the wrong section.
TEST(ConsoleFormTest, ReportsFaultsAtTheirFields) {
  FormSection kind{"kind", "k", {{"service", "none"}, {"deadline", "0"}}};
  FormSection duplicate = Service();
  FormCheck check = CheckForm({kind, Service(), duplicate});
  auto fault = [](int section, const std::string& key, const char* text) {
    return Contains(AllOf(Field(&FormFault::section, section),
                          Field(&FormFault::key, key),
                          Field(&FormFault::message, HasSubstr(text))));
  };
  EXPECT_THAT(check.faults, fault(0, "service", "unknown service"));
  EXPECT_THAT(check.faults, fault(0, "deadline", "invalid value"));
  EXPECT_THAT(check.faults, fault(2, "", "another service a exists"));
  EXPECT_EQ(check.faults.size(), 3U);
}

// Guards against offering an empty document for download.
TEST(ConsoleFormTest, ReportsFaultOfEmptyDocument) {
  FormCheck check = CheckForm({});
  ASSERT_EQ(check.faults.size(), 1U);
  EXPECT_EQ(check.faults[0].section, -1);
}

}  // namespace
}  // namespace jujubecove

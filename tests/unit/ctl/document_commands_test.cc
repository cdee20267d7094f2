#include "ctl/document_commands.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace jujubecove {
namespace {

namespace json = boost::json;

const std::string kSample =
    std::string(JUJUBECOVE_SOURCE_DIR) + "/samples/hayabusa.ini";
const std::string kOther =
    std::string(JUJUBECOVE_SOURCE_DIR) + "/samples/mkaa-safi.ini";

class DocumentCommandsTest : public testing::Test {
 protected:
  ExitCode Run(Command&& command, const std::vector<std::string>& arguments) {
    out_.str("");
    CommandContext context{"", "", true, out_, err_};
    return command.Run(arguments, context);
  }
  json::object Printed() { return json::parse(out_.str()).as_object(); }
  std::string WriteFile(const std::string& text) {
    std::string path =
        testing::TempDir() + "document_commands_test_" +
        testing::UnitTest::GetInstance()->current_test_info()->name() + ".ini";
    std::ofstream(path) << text;
    path_ = path;
    return path;
  }
  void TearDown() override {
    if (!path_.empty())
      std::filesystem::remove(path_);
  }

  std::ostringstream out_;
  std::ostringstream err_;
  std::string path_;
};

// Guards against an exit code or output from which a script would take a faulty
// document for a valid one.
TEST_F(DocumentCommandsTest, CheckReportsEveryFault) {
  EXPECT_EQ(Run(CheckCommand(), {kSample}), ExitCode::kOk);
  EXPECT_EQ(Printed().at("kinds").to_number<int>(), 6);
  EXPECT_EQ(Printed().at("services").to_number<int>(), 4);
  EXPECT_EQ(Printed().at("sha256").as_string().size(), 64U);
  std::string path = WriteFile("[kind k]\nservice = a\ndeadline = 0\n");
  EXPECT_EQ(Run(CheckCommand(), {path}), ExitCode::kRefused);
  const json::object printed = Printed();
  const json::array& faults = printed.at("faults").as_array();
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].at("section").as_string(), "kind k");
  EXPECT_EQ(faults[0].at("key").as_string(), "service");
  EXPECT_EQ(faults[0].at("line").to_number<int>(), 2);
  EXPECT_EQ(faults[1].at("key").as_string(), "deadline");
}

// Guards against usage errors that return the exit code of a faulty document.
TEST_F(DocumentCommandsTest, ReturnsUsageCodeForInvalidArguments) {
  EXPECT_EQ(Run(CheckCommand(), {}), ExitCode::kUsage);
  EXPECT_EQ(Run(CheckCommand(), {kSample + ".absent"}), ExitCode::kUsage);
  EXPECT_EQ(Printed().at("exit_code").to_number<int>(), 2);
  EXPECT_EQ(Run(DiffCommand(), {kSample}), ExitCode::kUsage);
  EXPECT_EQ(Run(ExplainCommand(), {kSample}), ExitCode::kUsage);
}

// Guards against missing or spurious differences.
TEST_F(DocumentCommandsTest, DiffPrintsChanges) {
  EXPECT_EQ(Run(DiffCommand(), {kSample, kSample}), ExitCode::kOk);
  EXPECT_TRUE(Printed().at("changes").as_array().empty());
  EXPECT_EQ(Run(DiffCommand(), {kSample, kOther}), ExitCode::kOk);
  int added = 0;
  int removed = 0;
  const json::object printed = Printed();
  for (const json::value& it : printed.at("changes").as_array()) {
    if (!it.at("key").as_string().empty())
      continue;
    added += it.at("change").as_string() == "added" ? 1 : 0;
    removed += it.at("change").as_string() == "removed" ? 1 : 0;
  }
  EXPECT_EQ(added, 11);
  EXPECT_EQ(removed, 10);
  std::string path = WriteFile("[kind k]\n");
  EXPECT_EQ(Run(DiffCommand(), {kSample, path}), ExitCode::kRefused);
}

// Guards against explaining a kind that isn't declared.
TEST_F(DocumentCommandsTest, ExplainListsRequirements) {
  EXPECT_EQ(Run(ExplainCommand(), {kSample, "question-set"}), ExitCode::kOk);
  EXPECT_EQ(Printed().at("kind").as_string(), "question-set");
  EXPECT_EQ(Printed().at("demands").as_array().at(0).as_string(),
            "asks all 10 shards of host-desk");
  EXPECT_EQ(Run(ExplainCommand(), {kSample, "absent"}), ExitCode::kRefused);
  EXPECT_EQ(Printed().at("error").as_string(), "no kind absent");
}

}  // namespace
}  // namespace jujubecove

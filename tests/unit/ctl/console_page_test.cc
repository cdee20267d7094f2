#include "ctl/console_page.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

using testing::HasSubstr;
using testing::Not;

std::string Quoted(const std::string& name, const std::string& value) {
  return name + "=\"" + value + "\"";
}

// Guards against a declared key without a field, or with a field that screen
// readers can't describe.
TEST(ConsolePageTest, ShowsLabelledFieldForEveryDeclaredKey) {
  ConsolePage page;
  for (const SettingSection& it : DocumentSchema())
    page.form.push_back({it.type, "x", {}});
  std::string html = RenderPage(page);
  for (std::size_t n = 0; n < page.form.size(); ++n) {
    for (const SettingBase* it : DocumentSchema()[n].settings) {
      std::string id = FieldName(n, it->key());
      EXPECT_THAT(html, HasSubstr(Quoted("<label for", id) + ">" + it->key()));
      EXPECT_THAT(html,
                  HasSubstr(Quoted(" id", id) + " " + Quoted("name", id) + " " +
                            Quoted("aria-describedby", id + "-hint")));
      EXPECT_THAT(html, HasSubstr(EscapeHtml(it->doc())));
      EXPECT_THAT(html, HasSubstr(EscapeHtml(it->Accepted())));
      for (const std::string& choice : it->Choices())
        EXPECT_THAT(html, HasSubstr("<option value=\"" + choice + "\""));
    }
  }
}

// Guards against duplicate ids and references to elements that don't exist,
// which leave a field without its label or description.
TEST(ConsolePageTest, EveryReferenceHasOneTarget) {
  ConsolePage page;
  page.form = {{"kind", "k", {}}, {"service", "a", {}}, {"kind", "", {}}};
  page.faults = {{0, "deadline", "bad"}, {2, "", "bad"}, {-1, "", "bad"}};
  page.document = "x";
  page.review = true;
  std::string html = RenderPage(page);
  std::set<std::string> ids;
  std::regex id_pattern(" id=\"([^\"]*)\"");
  for (std::sregex_iterator it(html.begin(), html.end(), id_pattern), end;
       it != end; ++it)
    EXPECT_TRUE(ids.insert((*it)[1]).second) << (*it)[1];
  std::regex reference(
      " (?:for|aria-describedby|aria-labelledby|href)=\"([^\"]*)\"");
  for (std::sregex_iterator it(html.begin(), html.end(), reference), end;
       it != end; ++it) {
    std::istringstream words((*it)[1].str());
    std::string word;
    while (words >> word) {
      if (word[0] == '/')
        continue;
      EXPECT_TRUE(ids.contains(word[0] == '#' ? word.substr(1) : word)) << word;
    }
  }
}

// Guards against a fault that is shown at the wrong field or has no link.
TEST(ConsolePageTest, ShowsFaultsAtTheirField) {
  ConsolePage page;
  page.form = {{"service", "a", {}}, {"kind", "k", {{"deadline", "0"}}}};
  page.faults = {{1, "deadline", "too short"}, {1, "odd", "unknown key"}};
  std::string html = RenderPage(page);
  EXPECT_THAT(html, HasSubstr("<a href=\"#s1.deadline\">kind k, deadline: "
                              "too short</a>"));
  EXPECT_THAT(html, HasSubstr("<a href=\"#s1.:name\">kind k, odd"));
  std::size_t field = html.find("<label for=\"s1.deadline\"");
  std::string block = html.substr(field, html.find("</div>", field) - field);
  EXPECT_THAT(block, HasSubstr("aria-invalid=\"true\""));
  EXPECT_THAT(block, HasSubstr("s1.deadline-hint s1.deadline-error\""));
  EXPECT_THAT(block, HasSubstr("id=\"s1.deadline-error\""));
  EXPECT_THAT(block, HasSubstr("too short"));
  field = html.find("<label for=\"s0.shards\"");
  block = html.substr(field, html.find("</div>", field) - field);
  EXPECT_THAT(block, Not(HasSubstr("aria-invalid")));
}

// Guards against markup injected by an operator, a file or the platform.
TEST(ConsolePageTest, EscapesHostileTexts) {
  const std::string hostile = "\"><script>alert('1')</script>&";
  ConsolePage page;
  page.form = {{"kind", hostile, {{"service", hostile}, {"merge", hostile}}}};
  page.faults = {{0, "service", hostile},
                 {0, "", hostile},
                 {-1, "", hostile},
                 {0, hostile, hostile}};
  page.token = page.compared_with = page.document = hostile;
  page.notice = hostile;
  page.review = true;
  page.changes = {
      {DocumentChange::Type::kChanged, hostile, hostile, hostile, hostile}};
  for (const std::string& html :
       {RenderPage(page), RenderMessage(hostile, hostile)}) {
    EXPECT_THAT(html, Not(HasSubstr("<script")));
    EXPECT_THAT(html, Not(HasSubstr(hostile)));
    EXPECT_THAT(html, Not(HasSubstr("alert('")));
    EXPECT_THAT(html, HasSubstr("&quot;&gt;&lt;script&gt;alert(&#39;1&#39;)"));
  }
}

// Guards against inline styles and external resources, which the content
// security policy would block.
TEST(ConsolePageTest, UsesNoExternalResources) {
  ConsolePage page;
  page.form = {{"kind", "k", {}}};
  std::string html = RenderPage(page);
  EXPECT_THAT(html, Not(HasSubstr("http:")));
  EXPECT_THAT(html, Not(HasSubstr("https:")));
  EXPECT_THAT(html, Not(HasSubstr(" style=")));
  EXPECT_THAT(StyleSheet(), Not(HasSubstr("url(")));
  EXPECT_THAT(StyleSheet(), HasSubstr("input:focus"));
}

}  // namespace
}  // namespace jujubecove

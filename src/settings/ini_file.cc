#include "settings/ini_file.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace jujubecove {
namespace {

using boost::property_tree::ptree;

// Splits a heading into its type and its name.
std::pair<std::string, std::string> SplitHeading(const std::string& heading) {
  std::size_t space = heading.find_first_of(" \t");
  if (space == std::string::npos)
    return {heading, ""};
  return {heading.substr(0, space),
          boost::algorithm::trim_copy(heading.substr(space))};
}

// Finds the sections and keys of an INI file, their line numbers and the
// faults, because property_tree reports no line numbers and stops at the first
// malformed line. property_tree then parses only the lines without a fault.
class LineScanner {
 public:
  LineScanner(IniFile& ini, std::vector<SettingFault>& faults)
      : ini_(ini), faults_(faults) {}

  void Scan(const std::string& text) {
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
      ++line_number_;
      boost::algorithm::trim(line);
      if (line.empty() || line[0] == ';' || line[0] == '#')
        continue;
      if (line[0] == '[')
        ScanHeading(line);
      else
        ScanKey(line);
    }
  }

  const std::string& well_formed_lines() const { return well_formed_lines_; }

 private:
  void AddFault(const std::string& key, const std::string& message) {
    faults_.push_back(
        SettingFault{ini_.file, line_number_, heading_, key, message});
  }

  void ScanHeading(const std::string& line) {
    heading_.clear();
    state_ = State::kSkipping;
    if (line.find(']') != line.size() - 1) {
      AddFault("",
               "malformed section heading; accepted: [type] or "
               "[type name] alone on a line");
      return;
    }
    std::string content =
        boost::algorithm::trim_copy(line.substr(1, line.size() - 2));
    if (content.empty()) {
      AddFault("", "empty section heading; accepted: [type] or [type name]");
      return;
    }
    IniSection section;
    std::tie(section.type, section.name) = SplitHeading(content);
    section.line = line_number_;
    heading_ = section.heading();
    auto [it, inserted] = heading_lines_.emplace(heading_, line_number_);
    if (!inserted) {
      AddFault("", "duplicate section; the first is at line " +
                       std::to_string(it->second));
      return;
    }
    state_ = State::kInSection;
    well_formed_lines_ += "[" + heading_ + "]\n";
    ini_.sections.push_back(std::move(section));
  }

  void ScanKey(const std::string& line) {
    // The fault of a skipped section's heading is already reported.
    if (state_ == State::kSkipping)
      return;
    std::size_t equals = line.find('=');
    std::string key =
        boost::algorithm::trim_copy(line.substr(0, line.find('=')));
    if (equals == std::string::npos || key.empty()) {
      AddFault("", "malformed line; accepted: key = value");
      return;
    }
    if (state_ == State::kNoSection) {
      AddFault(key, "key outside of a section");
      return;
    }
    IniSection& section = ini_.sections.back();
    auto [it, inserted] =
        section.values.emplace(key, IniValue{"", line_number_});
    if (!inserted) {
      AddFault(key, "duplicate key; the first is at line " +
                        std::to_string(it->second.line));
      return;
    }
    well_formed_lines_ += line + "\n";
  }

  enum class State { kNoSection, kInSection, kSkipping };

  IniFile& ini_;
  std::vector<SettingFault>& faults_;
  int line_number_ = 0;
  State state_ = State::kNoSection;
  std::string heading_;
  std::map<std::string, int> heading_lines_;
  std::string well_formed_lines_;
};

}  // namespace

std::string HeadingOf(const std::string& type, const std::string& name) {
  return name.empty() ? type : type + " " + name;
}

std::string IniSection::heading() const {
  return HeadingOf(type, name);
}

IniFile IniFile::Parse(const std::string& file,
                       const std::string& text,
                       std::vector<SettingFault>& faults) {
  IniFile ini;
  ini.file = file;
  LineScanner scanner(ini, faults);
  scanner.Scan(text);
  ptree tree;
  std::istringstream in(scanner.well_formed_lines());
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    faults.push_back(SettingFault{file, 0, "", "", error.message()});
    return ini;
  }
  for (IniSection& section : ini.sections) {
    auto found = tree.find(section.heading());
    if (found == tree.not_found())
      continue;
    for (const ptree::value_type& entry : found->second)
      section.values[entry.first].text = entry.second.data();
  }
  return ini;
}

}  // namespace jujubecove

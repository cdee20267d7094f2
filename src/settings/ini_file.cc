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

// Locates sections and keys. property_tree gives no lines and stops at the
// first malformed line, so this scan finds the lines and the faults, and leaves
// only well-formed lines, one section heading each, for property_tree to read.
class LineScan {
 public:
  LineScan(IniFile& ini, std::vector<SettingFault>& faults)
      : ini_(ini), faults_(faults) {}

  void Run(const std::string& text) {
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
      ++line_;
      boost::algorithm::trim(line);
      if (line.empty() || line[0] == ';' || line[0] == '#')
        continue;
      if (line[0] == '[')
        ScanHeading(line);
      else
        ScanKey(line);
    }
  }

  const std::string& accepted() const { return accepted_; }

 private:
  void AddFault(const std::string& key, const std::string& message) {
    faults_.push_back(SettingFault{ini_.file, line_, heading_, key, message});
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
    std::string inside =
        boost::algorithm::trim_copy(line.substr(1, line.size() - 2));
    if (inside.empty()) {
      AddFault("", "empty section heading; accepted: [type] or [type name]");
      return;
    }
    IniSection section;
    std::tie(section.type, section.name) = SplitHeading(inside);
    section.line = line_;
    heading_ = section.heading();
    auto [it, inserted] = heading_lines_.emplace(heading_, line_);
    if (!inserted) {
      AddFault("", "duplicate section; the first is at line " +
                       std::to_string(it->second));
      return;
    }
    state_ = State::kInSection;
    accepted_ += "[" + heading_ + "]\n";
    ini_.sections.push_back(std::move(section));
  }

  void ScanKey(const std::string& line) {
    // The heading of a skipped section has its own fault.
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
    auto [it, inserted] = section.values.emplace(key, IniValue{"", line_});
    if (!inserted) {
      AddFault(key, "duplicate key; the first is at line " +
                        std::to_string(it->second.line));
      return;
    }
    accepted_ += line + "\n";
  }

  enum class State { kNoSection, kInSection, kSkipping };

  IniFile& ini_;
  std::vector<SettingFault>& faults_;
  int line_ = 0;
  State state_ = State::kNoSection;
  std::string heading_;
  std::map<std::string, int> heading_lines_;
  std::string accepted_;
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
  LineScan scan(ini, faults);
  scan.Run(text);
  ptree tree;
  std::istringstream in(scan.accepted());
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

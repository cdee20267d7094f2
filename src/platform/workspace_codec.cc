#include "platform/workspace_codec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "platform/credential_protocol.h"
#include "platform/json_codec.h"

namespace jujubecove::platform {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 512;
constexpr double kMaxRate = 1e9;
constexpr std::int64_t kMaxUrgency = 1'000'000;

// Whether a searcher receives the name unchanged in a header field.
bool IsHeaderValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
         });
}

class WorkspaceDecoder {
 public:
  explicit WorkspaceDecoder(ServingConfig& config) : config_(config) {}

  void Decode(const json::value& item) {
    ++number_;
    label_ = "workspace number " + std::to_string(number_);
    if (!item.is_object()) {
      AddFault("it is not a JSON object");
      return;
    }
    const json::object& object = item.get_object();
    Workspace workspace;
    if (!DecodeName(object, workspace))
      return;
    DecodeKeys(object, workspace);
    workspace.urgency = DecodeUrgency(object);
    workspace.rate_per_second =
        DecodeNumber(object, "RatePerS", "no limit applies");
    workspace.burst = DecodeNumber(object, "Burst", "no burst is allowed");
    DecodeRegions(object, workspace);
    config_.workspaces.push_back(std::move(workspace));
  }

 private:
  void AddFault(const std::string& reason) {
    config_.faults.push_back(label_ + ": " + reason);
  }

  bool DecodeName(const json::object& object, Workspace& workspace) {
    FieldReader reader(object);
    std::string name = reader.Text("Name", kMaxNameBytes);
    if (!IsHeaderValue(name)) {
      AddFault("the field Name is missing or can't be sent in a header field");
      return false;
    }
    label_ = "workspace " + name;
    if (!names_.insert(name).second) {
      AddFault("number " + std::to_string(number_) +
               " has the name of an earlier one");
      return false;
    }
    workspace.name = WorkspaceName(std::move(name));
    return true;
  }

  void DecodeKeys(const json::object& object, Workspace& workspace) {
    const json::value* keys = object.if_contains("ApiKeys");
    if (keys == nullptr || keys->is_null())
      return;
    if (!keys->is_array()) {
      AddFault("the field ApiKeys is not a list");
      return;
    }
    int number = 0;
    for (const json::value& it : keys->get_array()) {
      // Faults name keys by their position, since keys are secret.
      std::string label = "API key number " + std::to_string(++number);
      if (!it.is_string() || !IsToken(it.get_string()) ||
          it.get_string().size() > kMaxApiKeyBytes) {
        AddFault(label + " can't be sent in a header field or is too long");
        continue;
      }
      std::string key(it.get_string());
      auto [holder, is_new] = holders_.try_emplace(key, workspace.name.value());
      if (is_new)
        workspace.api_keys.push_back(std::move(key));
      else if (holder->second != workspace.name.value())
        AddFault(label + " is held by workspace " + holder->second);
    }
  }

  std::optional<int> DecodeUrgency(const json::object& object) {
    const json::value* value = object.if_contains("Priority");
    if (value == nullptr || value->is_null())
      return std::nullopt;
    std::optional<std::int64_t> number = ToInteger(*value);
    if (number && *number >= 0 && *number <= kMaxUrgency)
      return static_cast<int>(*number);
    AddFault("the field Priority is invalid; that of the route applies");
    return std::nullopt;
  }

  double DecodeNumber(const json::object& object,
                      std::string_view name,
                      std::string_view consequence) {
    FieldReader reader(object);
    double number = reader.OptionalNumber(name, {0.0, kMaxRate}, 0.0);
    if (!reader.error().empty())
      AddFault(reader.error() + "; " + std::string(consequence));
    return number;
  }

  void DecodeRegions(const json::object& object, Workspace& workspace) {
    const json::value* regions = object.if_contains("AllowedRegions");
    if (regions == nullptr || regions->is_null())
      return;
    bool valid = regions->is_array();
    if (valid) {
      for (const json::value& it : regions->get_array()) {
        if (it.is_string() && !it.get_string().empty())
          workspace.allowed_regions.emplace_back(std::string(it.get_string()));
        else
          valid = false;
      }
    }
    if (valid)
      return;
    AddFault("the field AllowedRegions is invalid; " +
             std::string(workspace.allowed_regions.empty()
                             ? "no region is allowed"
                             : "the regions that can be read are allowed"));
    // No zone is in the region without a name.
    if (workspace.allowed_regions.empty())
      workspace.allowed_regions.emplace_back();
  }

  ServingConfig& config_;
  int number_ = 0;
  // Names the current workspace in faults.
  std::string label_;
  std::unordered_set<std::string> names_;
  // The name of the workspace that holds each key.
  std::unordered_map<std::string, std::string> holders_;
};

}  // namespace

void DecodeWorkspaces(const json::array& items, ServingConfig& config) {
  WorkspaceDecoder decoder(config);
  for (const json::value& it : items)
    decoder.Decode(it);
}

}  // namespace jujubecove::platform

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "route/route.h"

namespace jujubecove {

// An immutable configuration with an index of its routes. A request holds the
// table by which it was routed until it is answered.
class RouteTable {
 public:
  explicit RouteTable(ServingConfig config);

  const ServingConfig& config() const { return config_; }
  ConfigVersion version() const { return config_.version; }

  // The route of `host` with the longest prefix of the path of `target`, or
  // null. A port in `host` and a query in `target` are ignored.
  const Route* Find(std::string_view host, std::string_view target) const;
  const ServiceConfig* FindService(const ServiceName& name) const;
  // Null if there is none.
  const Workspace* FindWorkspace(const WorkspaceName& name) const;
  const Workspace* FindWorkspaceByKey(const std::string& api_key) const;
  // The urgency of a workspace's requests on a route: that of the workspace, or
  // of the route if the workspace has none. All requests are equally urgent if
  // no workspace has an urgency.
  int UrgencyOf(const Route& route,
                const std::optional<WorkspaceName>& workspace) const;

 private:
  ServingConfig config_;
  // By host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>>
      routes_;
  std::unordered_map<ServiceName, const ServiceConfig*> services_;
  std::unordered_map<WorkspaceName, const Workspace*> workspaces_;
  std::unordered_map<std::string, const Workspace*> workspaces_by_key_;
  bool ranks_workspaces_ = false;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace jujubecove

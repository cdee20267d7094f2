#include "route/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jujubecove {
namespace {

std::string NormalizedHost(std::string_view host) {
  std::string text(host.substr(0, host.find(':')));
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace

RouteTable::RouteTable(ServingConfig config) : config_(std::move(config)) {
  for (const Route& route : config_.routes)
    routes_[NormalizedHost(route.host)].emplace(route.prefix, &route);
  for (const ServiceConfig& service : config_.services)
    services_.emplace(service.name, &service);
  for (const Workspace& workspace : config_.workspaces) {
    workspaces_.emplace(workspace.name, &workspace);
    ranks_workspaces_ |= workspace.urgency.has_value();
    for (const std::string& it : workspace.api_keys)
      workspaces_by_key_.emplace(it, &workspace);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  auto it = routes_.find(NormalizedHost(host));
  if (it == routes_.end())
    return nullptr;
  std::string path(target.substr(0, target.find('?')));
  // Every prefix ends with a slash, so the path is only cut after slashes.
  while (true) {
    std::size_t slash = path.rfind('/');
    if (slash == std::string::npos)
      return nullptr;
    path.resize(slash + 1);
    auto found = it->second.find(path);
    if (found != it->second.end())
      return found->second;
    path.resize(slash);
  }
}

const ServiceConfig* RouteTable::FindService(const ServiceName& name) const {
  auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

const Workspace* RouteTable::FindWorkspace(const WorkspaceName& name) const {
  auto it = workspaces_.find(name);
  return it == workspaces_.end() ? nullptr : it->second;
}

const Workspace* RouteTable::FindWorkspaceByKey(
    const std::string& api_key) const {
  auto it = workspaces_by_key_.find(api_key);
  return it == workspaces_by_key_.end() ? nullptr : it->second;
}

int RouteTable::UrgencyOf(const Route& route,
                          const std::optional<WorkspaceName>& workspace) const {
  if (!ranks_workspaces_)
    return 0;
  const Workspace* found = workspace ? FindWorkspace(*workspace) : nullptr;
  return found != nullptr ? found->urgency.value_or(route.urgency)
                          : route.urgency;
}

}  // namespace jujubecove

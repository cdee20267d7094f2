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

}  // namespace jujubecove

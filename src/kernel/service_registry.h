#pragma once

#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <typeindex>
#include <utility>

namespace jujubecove {

// The micro-kernel: services are published under a name while the process is
// being wired, and find each other by that name. It is filled before the
// threads start and only read afterwards, so it needs no lock.
class ServiceRegistry {
 public:
  // Publishes `service` as an implementation of `Interface`. A name can be
  // taken only once.
  template <typename Interface>
  void Publish(const std::string& name, std::shared_ptr<Interface> service) {
    std::type_index type{typeid(Interface)};
    bool inserted =
        services_.emplace(name, Entry{type, std::move(service)}).second;
    assert(inserted);
    (void)inserted;
  }

  // The service of that name. It must have been published as the same
  // interface.
  template <typename Interface>
  Interface& Find(const std::string& name) const {
    auto it = services_.find(name);
    assert(it != services_.end() &&
           it->second.type == std::type_index(typeid(Interface)));
    return *static_cast<Interface*>(it->second.service.get());
  }

  bool Has(const std::string& name) const { return services_.count(name) != 0; }

 private:
  struct Entry {
    std::type_index type;
    std::shared_ptr<void> service;
  };

  std::map<std::string, Entry> services_;
};

}  // namespace jujubecove

#pragma once

#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <typeindex>
#include <utility>
#include <vector>

namespace jujubecove {

// The micro-kernel: services are published under a name while the process is
// being wired, and find each other by that name. It is filled before the
// threads start and only read afterwards, so it needs no lock.
class ServiceRegistry {
 public:
  ServiceRegistry() = default;
  ServiceRegistry(const ServiceRegistry&) = delete;
  ServiceRegistry& operator=(const ServiceRegistry&) = delete;
  // Destroys the services in the reverse order of their publication, since a
  // service uses those that were published before it.
  ~ServiceRegistry() {
    for (; !names_.empty(); names_.pop_back())
      services_.erase(names_.back());
  }

  // Publishes `service` as an implementation of `Interface`. A name can be
  // taken only once.
  template <typename Interface>
  void Publish(const std::string& name, std::shared_ptr<Interface> service) {
    std::type_index type{typeid(Interface)};
    bool inserted =
        services_.emplace(name, Entry{type, std::move(service)}).second;
    assert(inserted);
    if (inserted)
      names_.push_back(name);
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
  // In the order of publication.
  std::vector<std::string> names_;
};

}  // namespace jujubecove

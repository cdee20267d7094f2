#pragma once

#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <typeindex>
#include <utility>
#include <vector>

namespace jujubecove {

// Registry of the internal services of the process. They are published at
// startup and look each other up by name. The registry needs no lock, since it
// is filled before threads start and is only read afterwards.
class ServiceRegistry {
 public:
  ServiceRegistry() = default;
  ServiceRegistry(const ServiceRegistry&) = delete;
  ServiceRegistry& operator=(const ServiceRegistry&) = delete;
  // Destroys the services in reverse order of publication, since a service
  // depends on services that were published before it.
  ~ServiceRegistry() {
    for (; !names_.empty(); names_.pop_back())
      services_.erase(names_.back());
  }

  // Publishes `service` as an implementation of `Interface`. Names must be
  // unique.
  template <typename Interface>
  void Publish(const std::string& name, std::shared_ptr<Interface> service) {
    std::type_index type{typeid(Interface)};
    bool inserted =
        services_.emplace(name, Entry{type, std::move(service)}).second;
    assert(inserted);
    if (inserted)
      names_.push_back(name);
  }

  // Returns the service of that name, which must have been published as
  // `Interface`.
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
  // In order of publication.
  std::vector<std::string> names_;
};

}  // namespace jujubecove

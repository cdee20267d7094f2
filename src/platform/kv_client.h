#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "http/http_client.h"
#include "store/kv_store.h"

namespace jujubecove::platform {

// Client of the platform's key-value store.
class PlatformKvClient : public KvStore {
 public:
  PlatformKvClient(boost::asio::io_context& context,
                   TimerService& timers,
                   const SocketAddress& address,
                   Duration call_timeout);

  void Range(const std::string& prefix,
             const std::string& after,
             std::function<void(KvPage)> done) override;
  void Watch(const std::string& prefix,
             StorePosition after,
             Duration wait,
             std::function<void(KvPage)> done) override;
  void Put(const std::string& key,
           const std::string& value,
           StoreLease lease,
           std::function<void(KvWriteResult)> done) override;
  void Delete(const std::string& key,
              std::function<void(KvWriteResult)> done) override;
  void GrantLease(Duration ttl,
                  std::function<void(KvLeaseResult)> done) override;
  void RenewLease(StoreLease lease,
                  std::function<void(KvLeaseResult)> done) override;

 private:
  void Write(const boost::json::object& change,
             std::function<void(KvWriteResult)> done);

  HttpClient client_;
  Duration call_timeout_;
};

}  // namespace jujubecove::platform

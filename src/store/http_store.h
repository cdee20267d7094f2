#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "store/store.h"
#include "store/vm_list.h"

namespace jujubecove {

struct HttpStoreOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  // Bound on one call, from connecting to the last byte. A watch gets its own
  // time-out in addition.
  Duration call_timeout{2'000'000};
};

// The platform's store and VM list over HTTP. Lives on the thread that runs
// `context`. Idle connections are kept for the next call.
class HttpStore : public Store, public VmList {
 public:
  HttpStore(boost::asio::io_context& context, HttpStoreOptions options);
  // Open calls end without their handlers being run.
  ~HttpStore() override;

  void Read(const std::string& key, Handler handler) override;
  void CompareAndSwap(const std::string& key,
                      StoreRevision expected,
                      std::string value,
                      Handler handler) override;
  void AcquireLease(const std::string& name,
                    const std::string& holder,
                    Duration time_to_live,
                    LeaseHandler handler) override;
  void Watch(const std::string& key,
             StoreRevision after,
             Duration timeout,
             Handler handler) override;
  using VmList::Fetch;
  void Fetch(VmListRevision known, VmHandler handler) override;

 private:
  struct Call;
  struct Pool;
  // What one HTTP exchange came to. `status` is zero when no reply arrived.
  struct HttpReply {
    unsigned status = 0;
    // Whether a byte of the request may have left.
    bool sent = false;
    std::string body;
  };
  using ReplyHandler = std::function<void(HttpReply)>;

  void Start(boost::beast::http::verb verb,
             const std::string& target,
             std::string body,
             Duration timeout,
             ReplyHandler handler);
  static StoreReply ReadReply(const HttpReply& reply);
  static StoreReply WriteReply(const HttpReply& reply);
  static StoreReply WatchReply(const HttpReply& reply);

  std::shared_ptr<Pool> pool_;
};

// Parses "ip:port"; names are not resolved.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);

}  // namespace jujubecove

#include "store/http_store.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tests/standin/platform_server.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;

class HttpStoreTest : public testing::Test {
 protected:
  HttpStoreTest()
      : server_(context_,
                asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                1),
        store_(context_, Options(server_.port())) {}

  static HttpStoreOptions Options(std::uint16_t port) {
    return HttpStoreOptions{
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port)};
  }

  template <typename Reply>
  Reply Wait(std::optional<Reply>& reply) {
    while (!reply)
      context_.run_one();
    return *std::exchange(reply, std::nullopt);
  }

  StoreReply Read(const std::string& key) {
    store_.Read(key, [this](StoreReply reply) { reply_ = reply; });
    return Wait(reply_);
  }

  StoreReply Swap(const std::string& key,
                  std::uint64_t expected,
                  const std::string& value) {
    store_.CompareAndSwap(key, StoreRevision(expected), value,
                          [this](StoreReply reply) { reply_ = reply; });
    return Wait(reply_);
  }

  asio::io_context context_;
  PlatformServer server_;
  HttpStore store_;
  std::optional<StoreReply> reply_;
};

// Guards against values or keys being changed by the URL and JSON encodings.
TEST_F(HttpStoreTest, ReadsBackWhatWasWritten) {
  std::string value = "[kind a]\n\"quoted\"\t\\ \xc3\xa9\n";
  std::string key = "config/doc/1 %?&";
  EXPECT_EQ(Read(key).status, StoreStatus::kNotFound);
  EXPECT_EQ(Swap(key, 0, value).status, StoreStatus::kDone);
  StoreReply reply = Read(key);
  EXPECT_EQ(reply.status, StoreStatus::kDone);
  EXPECT_EQ(reply.revision, StoreRevision(1));
  EXPECT_EQ(reply.value, value);
}

// Guards against a second writer overwriting the first.
TEST_F(HttpStoreTest, SwapAtAnOldRevisionConflicts) {
  EXPECT_EQ(Swap("k", 0, "a").status, StoreStatus::kDone);
  EXPECT_EQ(Swap("k", 0, "b").status, StoreStatus::kConflict);
  EXPECT_EQ(Read("k").value, "a");
}

struct FaultCase {
  std::string name;
  StoreFaults faults;
  StoreStatus write;
  StoreStatus read;
  // What the key holds afterwards.
  StoreStatus after;
};

class HttpStoreFaultTest : public HttpStoreTest,
                           public testing::WithParamInterface<FaultCase> {};

// Guards against a write whose outcome is unknown being reported as failed.
TEST_P(HttpStoreFaultTest, StatusSaysNoMoreThanIsKnown) {
  server_.model().SetFaults(GetParam().faults);
  EXPECT_EQ(Swap("k", 0, "a").status, GetParam().write);
  EXPECT_EQ(Read("k").status, GetParam().read);
  server_.model().SetFaults(StoreFaults{});
  EXPECT_EQ(Read("k").status, GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    HttpStoreFaultTest,
    testing::Values(FaultCase{"outage", StoreFaults{.outage = true},
                              StoreStatus::kUnknown, StoreStatus::kUnavailable,
                              StoreStatus::kNotFound},
                    FaultCase{"lost_request", StoreFaults{.lost_requests = 1.0},
                              StoreStatus::kUnknown, StoreStatus::kUnavailable,
                              StoreStatus::kNotFound},
                    FaultCase{"lost_reply", StoreFaults{.lost_replies = 1.0},
                              StoreStatus::kUnknown, StoreStatus::kUnavailable,
                              StoreStatus::kDone},
                    FaultCase{"none", StoreFaults{}, StoreStatus::kDone,
                              StoreStatus::kDone, StoreStatus::kDone}),
    [](const testing::TestParamInfo<FaultCase>& info) {
      return info.param.name;
    });

// Guards against a write that never left being reported as unknown.
TEST_F(HttpStoreTest, RefusedConnectionIsProvenUnavailable) {
  asio::ip::tcp::acceptor closed(
      context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  HttpStore store(context_, Options(closed.local_endpoint().port()));
  closed.close();
  store.CompareAndSwap("k", StoreRevision(), "a",
                       [this](StoreReply reply) { reply_ = reply; });
  EXPECT_EQ(Wait(reply_).status, StoreStatus::kUnavailable);
}

// Guards against a watch missing a write, and against one that never ends.
TEST_F(HttpStoreTest, WatchAnswersAtAWriteAtItsTimeoutAndWhenCompacted) {
  store_.Watch("k", StoreRevision(), Duration(60'000'000),
               [this](StoreReply reply) { reply_ = reply; });
  while (server_.model().count(StoreCall::kWatch) == 0)
    context_.run_one();
  server_.model().CompareAndSwap("k", StoreRevision(), "a");
  StoreReply reply = Wait(reply_);
  EXPECT_EQ(reply.value, "a");
  store_.Watch("k", reply.revision, Duration(1'000),
               [this](StoreReply late) { reply_ = late; });
  EXPECT_EQ(Wait(reply_).status, StoreStatus::kNotFound);
  server_.model().SetHistoryLength(1);
  for (std::uint64_t n = 1; n < 5; ++n)
    server_.model().CompareAndSwap("k", StoreRevision(n), "b");
  store_.Watch("k", reply.revision, Duration(1'000),
               [this](StoreReply old) { reply_ = old; });
  EXPECT_EQ(Wait(reply_).status, StoreStatus::kCompacted);
}

// Guards against two holders of one lease, and against a token being reused.
TEST_F(HttpStoreTest, LeaseHasOneHolderAndANewTokenAfterItLapsed) {
  std::optional<LeaseReply> lease;
  std::function<LeaseReply(const std::string&)> acquire =
      [&](const std::string& holder) {
        store_.AcquireLease("l", holder, Duration(60'000'000),
                            [&lease](LeaseReply reply) { lease = reply; });
        return Wait(lease);
      };
  server_.model().SetFaults(StoreFaults{.lapsed_leases = 1.0});
  LeaseReply first = acquire("a");
  EXPECT_EQ(first.status, StoreStatus::kDone);
  server_.model().SetFaults(StoreFaults{});
  LeaseReply second = acquire("b");
  EXPECT_EQ(second.status, StoreStatus::kDone);
  EXPECT_GT(second.token, first.token);
  EXPECT_EQ(acquire("a").status, StoreStatus::kConflict);
}

// Guards against an unchanged list being sent again, and a list in bad form.
TEST_F(HttpStoreTest, FetchesTheVmListOnlyWhenItChanged) {
  EXPECT_FALSE(server_.SetVms(R"({"vms":[{"id":"a"}]})"));
  EXPECT_TRUE(server_.SetVms(
      R"({"vms":[{"id":"a","address":"127.0.0.1:1","zone":"nyeri",)"
      R"("role":"searcher","service":"buyers","leaving":true}]})"));
  std::optional<VmListReply> list;
  VmList::VmHandler handler = [&list](VmListReply reply) { list = reply; };
  store_.Fetch(handler);
  VmListReply first = Wait(list);
  ASSERT_EQ(first.vms.size(), 1U);
  EXPECT_EQ(first.vms[0].service, ServiceName("buyers"));
  EXPECT_TRUE(first.vms[0].leaving);
  store_.Fetch(first.revision, handler);
  EXPECT_EQ(Wait(list).status, StoreStatus::kNotFound);
}

}  // namespace
}  // namespace jujubecove

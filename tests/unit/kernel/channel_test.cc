#include "kernel/channel.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <thread>

namespace jujubecove {
namespace {

// Guards against a lost wake-up when a message is pushed after the consumer has
// found the ring empty and before it goes idle.
TEST(ChannelTest, DeliversEveryMessageInOrderAcrossThreads) {
  constexpr int kMessages = 200'000;
  boost::asio::io_context context;
  Channel<int> channel(context, 64);
  int next = 0;
  bool in_order = true;
  channel.SetHandler([&](int message) {
    in_order = in_order && message == next;
    ++next;
    if (next == kMessages)
      context.stop();
  });
  auto guard = boost::asio::make_work_guard(context);
  std::thread consumer([&context] { context.run(); });
  for (int n = 0; n < kMessages;) {
    int message = n;
    if (channel.TryPush(std::move(message)))
      ++n;
    else
      std::this_thread::yield();
  }
  consumer.join();
  EXPECT_TRUE(in_order);
  EXPECT_EQ(next, kMessages);
}

// Guards against a full channel that blocks or silently drops messages.
TEST(ChannelTest, TryPushFailsWhenFull) {
  boost::asio::io_context context;
  Channel<int> channel(context, 2);
  EXPECT_TRUE(channel.TryPush(1));
  EXPECT_TRUE(channel.TryPush(2));
  EXPECT_FALSE(channel.TryPush(3));
}

// Guards against copying messages, which would copy the body of every reply
// that is passed between threads.
TEST(ChannelTest, MovesMessages) {
  boost::asio::io_context context;
  Channel<std::unique_ptr<int>> channel(context, 2);
  int sum = 0;
  channel.SetHandler([&](std::unique_ptr<int> message) { sum += *message; });
  for (int round = 1; round <= 5; ++round) {
    EXPECT_EQ(channel.FreeSlots(), 2U);
    EXPECT_TRUE(channel.TryPush(std::make_unique<int>(round)));
    EXPECT_EQ(channel.FreeSlots(), 1U);
    context.restart();
    context.poll();
  }
  EXPECT_EQ(sum, 15);
}

}  // namespace
}  // namespace jujubecove

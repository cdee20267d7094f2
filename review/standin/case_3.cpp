// A machine that is being stopped gets SIGTERM once more while it still works
// on requests. See review/3/claim.txt.
#include <signal.h>

#include <cstdio>

#include <algorithm>
#include <memory>

#include "world.hpp"

using namespace review;

namespace {

constexpr double kGrace = 6.0;
constexpr double kContact = 4.0;
constexpr double kTimeLimit = 6.0;
constexpr int kConsumers = 40;
constexpr char kHost[] = "leno12.example";

struct Balancer {
  // Asks each entry process once a second whether it is ready; after two misses
  // it gets no new connections until it is ready again.
  void Check() {
    for (std::size_t n = 0; n < fronts.size(); ++n) {
      bool ready = fronts[n]->IsReady();
      std::lock_guard<std::mutex> lock(mutex);
      misses[n] = ready ? 0 : misses[n] + 1;
    }
  }
  const Front& Choose(int hash) {
    std::lock_guard<std::mutex> lock(mutex);
    std::vector<const Front*> usable;
    for (std::size_t n = 0; n < fronts.size(); ++n) {
      if (misses[n] < 2)
        usable.push_back(fronts[n].get());
    }
    return usable.empty()
               ? *fronts[static_cast<std::size_t>(hash) % fronts.size()]
               : *usable[static_cast<std::size_t>(hash) % usable.size()];
  }

  std::vector<std::unique_ptr<Front>> fronts;
  std::vector<int> misses;
  std::mutex mutex;
};

struct Stop {
  std::string front;
  double at;
};

}  // namespace

int main() {
  OpenRecord("review/3/record.txt");
  Store store;
  std::vector<std::unique_ptr<Searcher>> searchers;
  const char* zones[] = {"nyeri", "karatina", "othaya"};
  // The searchers of `receipts`: 8, 4 slots, 90 ms on average and 540 at most.
  for (int n = 0; n < 8; ++n) {
    SearcherOptions options;
    options.id = "i-r" + std::to_string(n);
    options.service = "receipts";
    options.zone = zones[n % 3];
    options.work = [](int i) { return i % 8 == 0 ? 0.54 : 0.09; };
    searchers.push_back(std::make_unique<Searcher>(store, options));
    searchers.back()->Register("ready");
  }
  std::vector<RouteText> routes(2);
  routes[0] = {.name = "r-fetch",
               .host = kHost,
               .prefix = "/fetch/",
               .kind = "idempotent",
               .service = "receipts"};
  routes[1] = {.name = "r-pay",
               .host = kHost,
               .prefix = "/pay/",
               .kind = "non_idempotent",
               .service = "receipts",
               .max_attempts = 1};
  store.Put("op/config", ConfigText(7, routes, {{"receipts", 110}}));

  Balancer balancer;
  for (int n = 0; n < 4; ++n) {
    balancer.fronts.push_back(std::make_unique<Front>(
        store, "front-" + std::to_string(n + 1), zones[n % 3],
        "127.0.13." + std::to_string(1 + n)));
    balancer.fronts.back()->Start();
  }
  balancer.misses.assign(4, 0);
  for (const auto& it : balancer.fronts)
    Require(it->AwaitReady(10), "an entry process isn't ready");

  std::atomic<bool> done{false};
  std::thread checker([&] {
    for (double next = Now(); !done; next += 1.0) {
      SleepUntil(next);
      balancer.Check();
    }
  });
  std::mutex mutex;
  std::vector<Answer> answers;
  std::vector<std::thread> consumers;
  for (int n = 0; n < kConsumers; ++n) {
    consumers.emplace_back([&, n] {
      Consumer consumer;
      for (int i = 0; !done; ++i) {
        bool pay = (n + i) % 4 == 0;
        Answer answer = consumer.Ask(
            balancer.Choose(n + i), pay ? "POST" : "GET", kHost,
            pay ? "/pay/2f" : "/fetch/2f", static_cast<int>(kTimeLimit * 1000));
        {
          std::lock_guard<std::mutex> lock(mutex);
          answers.push_back(answer);
        }
        SleepUntil(Now() + 0.05);
      }
    });
  }

  // Nothing else happens for as long as the rules want before they judge.
  SleepUntil(Now() + kContact + 1);
  std::vector<Stop> stops;
  for (const auto& it : balancer.fronts) {
    stops.push_back({it->name(), Now()});
    it->Signal(SIGTERM);
    if (HasTrouble()) {
      SleepUntil(stops.back().at + 0.5);
      it->Signal(SIGTERM);
    }
    if (!it->WaitEnd(stops.back().at + kGrace))
      it->Kill();
    SleepUntil(Now() + 0.5);
    it->Start();
    Require(it->AwaitReady(Now() + 10), "an entry process isn't ready again");
    SleepUntil(Now() + kContact + 1);
  }
  done = true;
  for (std::thread& it : consumers)
    it.join();
  checker.join();

  // LOST: a process has read a whole request, has passed it on to a searcher,
  // and the connection ends without a complete answer.
  std::map<std::string, Arrival> arrived;
  for (const Arrival& it : Arrivals())
    arrived.emplace(it.id, it);
  int lost = 0;
  int lost_payments = 0;
  for (const Answer& it : answers) {
    auto found = arrived.find(it.id);
    Record("request %s to %s sent %.3f ended %.3f: %d%s", it.id.c_str(),
           it.front.c_str(), it.sent_at, it.ended_at, it.status,
           found == arrived.end()
               ? ""
               : (", reached " + found->second.searcher).c_str());
    if (it.status != 0 || found == arrived.end() ||
        it.ended_at - it.sent_at >= kTimeLimit)
      continue;
    for (const Stop& stop : stops) {
      bool planned = it.front == stop.front && it.ended_at >= stop.at &&
                     it.ended_at <= stop.at + kGrace + 1;
      // The searcher was still at work in the last sixth of GraceS.
      bool excused =
          it.sent_at <= stop.at + 3 && it.ended_at >= stop.at + kGrace * 5 / 6;
      if (!planned || excused)
        continue;
      ++lost;
      lost_payments += found->second.target == "/pay/2f" ? 1 : 0;
      Record(
          "LOST: request %s (%s) was read and passed on to %s; its connection "
          "ended without an answer %.3f s "
          "after the first SIGTERM of %s",
          it.id.c_str(), found->second.target.c_str(),
          found->second.searcher.c_str(), it.ended_at - stop.at,
          it.front.c_str());
    }
  }
  Record("%zu requests, %d lost, %d of them not idempotent", answers.size(),
         lost, lost_payments);
  std::printf("%zu requests, %d lost, %d of them not idempotent\n",
              answers.size(), lost, lost_payments);
  balancer.fronts.clear();
  std::fflush(nullptr);
  _exit(lost > 0 ? 1 : 0);
}

// Searchers of a service are replaced one after the other while the store cuts
// watches that wait. See review/5/claim.txt.
#include <signal.h>

#include <cstdio>
#include <memory>

#include "world.hpp"

using namespace review;

namespace {

// Bounds of the sheet, in seconds.
constexpr double kDrain = 3.0;
constexpr double kContact = 4.0;
// A searcher goes on serving a little longer than DrainMs.
constexpr double kServesLonger = 1.5;
constexpr int kSearchers = 8;
// One searcher at a time.
constexpr double kGap = 2.0;
constexpr double kWatchCut = 1.0;
constexpr int kConsumers = 48;
constexpr char kHost[] = "leno12.example";
const char* kZones[] = {"nyeri", "karatina", "othaya"};

std::unique_ptr<Searcher> MakeSearcher(Store& store,
                                       int number,
                                       int generation) {
  SearcherOptions options;
  options.id = "i-" + std::to_string(generation) + "-" + std::to_string(number);
  options.service = "receipts";
  options.zone = kZones[number % 3];
  options.work = [](int n) { return n % 8 == 0 ? 0.54 : 0.09; };
  auto searcher = std::make_unique<Searcher>(store, options);
  searcher->Register("ready");
  return searcher;
}

}  // namespace

int main() {
  OpenRecord("review/5/record.txt");
  Store store;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (int n = 0; n < kSearchers; ++n)
    searchers.push_back(MakeSearcher(store, n, 0));
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
  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 0; n < 4; ++n) {
    fronts.push_back(std::make_unique<Front>(
        store, "front-" + std::to_string(n + 1), kZones[n % 3],
        "127.0.15." + std::to_string(1 + n)));
    fronts.back()->Start();
  }
  for (const auto& it : fronts)
    Require(it->AwaitReady(10), "an entry process isn't ready");
  if (HasTrouble())
    store.CutWatchesAfter(kWatchCut);
  SleepUntil(Now() + kContact + 1);

  std::atomic<bool> done{false};
  std::mutex mutex;
  std::vector<Answer> answers;
  std::vector<std::thread> consumers;
  for (int n = 0; n < kConsumers; ++n) {
    consumers.emplace_back([&, n] {
      Consumer consumer;
      for (int i = 0; !done; ++i) {
        bool pay = (n + i) % 2 == 0;
        Answer answer = consumer.Ask(
            *fronts[static_cast<std::size_t>(n) % fronts.size()],
            pay ? "POST" : "GET", kHost, pay ? "/pay/2f" : "/fetch/2f", 6000);
        {
          std::lock_guard<std::mutex> lock(mutex);
          answers.push_back(answer);
        }
        SleepUntil(Now() + 0.05);
      }
    });
  }

  std::map<std::string, double> gone;
  std::vector<std::pair<double, Searcher*>> exits;
  double start = Now();
  auto end_due = [&exits](double until) {
    while (!exits.empty() && exits.front().first <= until) {
      SleepUntil(exits.front().first);
      exits.front().second->Exit();
      exits.erase(exits.begin());
    }
  };
  for (int n = 0; n < kSearchers; ++n) {
    double at = start + n * kGap;
    end_due(at);
    SleepUntil(at);
    searchers.push_back(MakeSearcher(store, n, 1));
    Searcher* old = searchers[static_cast<std::size_t>(n)].get();
    double acked = old->Unregister();
    gone[old->id()] = acked;
    exits.emplace_back(acked + kDrain + kServesLonger, old);
  }
  end_due(1e9);
  SleepUntil(Now() + 1);
  done = true;
  for (std::thread& it : consumers)
    it.join();

  // DRAIN: a request reaches a searcher later than DrainMs after the ack that
  // it is gone.
  std::map<std::string, Answer> answered;
  for (const Answer& it : answers) {
    answered.emplace(it.id, it);
    Record("request %s to %s sent %.3f ended %.3f: %d", it.id.c_str(),
           it.front.c_str(), it.sent_at, it.ended_at, it.status);
  }
  int late = 0;
  int lost = 0;
  double latest = 0;
  for (const Arrival& it : Arrivals()) {
    auto found = gone.find(it.searcher);
    if (found == gone.end() || !it.ran || it.at <= found->second + kDrain)
      continue;
    ++late;
    latest = std::max(latest, it.at - found->second);
    const Answer& answer = answered[it.id];
    bool is_lost = it.answered_at == 0 && answer.status != 200;
    lost += is_lost ? 1 : 0;
    Record(
        "DRAIN: request %s (%s) from %s reached %s %.3f s after the ack that "
        "it is gone; the consumer got %d%s",
        it.id.c_str(), it.target.c_str(), answer.front.c_str(),
        it.searcher.c_str(), it.at - found->second, answer.status,
        is_lost ? ", its work is lost" : "");
  }
  Record(
      "%zu requests, %d reached a searcher too late, up to %.3f s after the "
      "ack; %d of them lost; %d watches cut",
      answers.size(), late, latest, lost, store.cut_watches());
  std::printf(
      "%zu requests, %d reached a searcher too late, up to %.3f s after the "
      "ack; %d of them lost; %d watches cut\n",
      answers.size(), late, latest, lost, store.cut_watches());
  fronts.clear();
  std::fflush(nullptr);
  _exit(late > 0 ? 1 : 0);
}

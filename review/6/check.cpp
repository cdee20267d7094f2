// A new configuration raises MaxHeaderBytes, and a consumer sends a request
// with one long header field inside that limit.
#include "../stand-in-2/world.hpp"

using namespace world;

namespace {

constexpr int kConsumersPerFront = 8;
constexpr double kWorkMs = 300;
constexpr double kConfigApplyMs = 3000;
// "more than three times" (LOST).
constexpr int kAllowedLosses = 3;
constexpr std::size_t kLongField = 80'000;
constexpr std::size_t kShortField = 8'000;

std::string Configuration(int version, int max_header_bytes) {
  json::object route{{"Name", "receipt-fetch"}, {"Host", "hufi27.example"},
                     {"Prefix", "/goka902/"},   {"Kind", "idempotent"},
                     {"TimeoutMs", 6000},       {"TargetLatencyMs", 400},
                     {"Priority", 2},           {"Service", "receipts"},
                     {"MaxAttempts", 2}};
  json::object service{{"Name", "receipts"},     {"HealthPath", "/health"},
                       {"MaxConnections", 110},  {"Protocol", "h1"},
                       {"Tls", false}};
  return json::serialize(json::object{
      {"Version", version},
      {"Routes", json::array{route}},
      {"Services", json::array{service}},
      {"Limits", json::object{{"MaxHeaderBytes", max_header_bytes},
                              {"MaxBodyBytes", 262144},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}}});
}

std::string Request(const std::string& id, const std::string& fields = "") {
  return "GET /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 6000\r\n" + fields + "\r\n";
}

struct Watched {
  std::unique_ptr<Front> front;
  // Requests on kept connections that were at a searcher when the connection
  // ended.
  int lost = 0;
};

bool stopping = false;
int answered = 0;

bool HasArrived(const std::string& id) {
  return std::any_of(Arrivals().begin(), Arrivals().end(),
                     [&id](const Arrival& it) { return it.request == id; });
}

// Keeps a connection open and sends one request after the other.
awaitable<void> Consume(Watched& watched, std::string name) {
  int number = 0;
  while (!stopping) {
    tcp::socket socket(Context());
    error_code ec;
    co_await socket.async_connect(watched.front->Callers(),
                                  asio::redirect_error(use_awaitable, ec));
    if (ec) {
      co_await Sleep(200);
      continue;
    }
    std::string buffer;
    bool kept = false;
    while (!stopping) {
      std::string id = name + "-" + std::to_string(++number);
      Outcome outcome = co_await Ask(socket, buffer, Request(id));
      if (outcome.status == 0) {
        if (kept && HasArrived(id)) {
          ++watched.lost;
          Record("%s: %s was passed on to a searcher and got no answer",
                 watched.front->name().c_str(), id.c_str());
        }
        break;
      }
      answered += outcome.status == 200 ? 1 : 0;
      kept = true;
    }
    co_await Sleep(100);
  }
}

awaitable<int> Case(std::string directory, bool trouble) {
  Store store("127.0.0.1");
  store.Put("op/config", Configuration(1, 16384));
  std::vector<std::unique_ptr<Searcher>> searchers;
  const char* zones[] = {"nyeri", "karatina", "othaya"};
  for (int n = 0; n < 9; ++n)
    searchers.push_back(std::make_unique<Searcher>(
        store, "127.0.0.1", "receipts", zones[n % 3], "i-" + std::to_string(n),
        Searcher::Plan{.work_ms = kWorkMs}));
  std::vector<Watched> fleet(3);
  std::string net = "127." + std::to_string(getpid() % 200 + 20) + "." +
                    std::to_string(getpid() / 200 % 250 + 1) + ".";
  for (int n = 0; n < 3; ++n) {
    fleet[n].front = std::make_unique<Front>(
        std::string("front-") + zones[n] + "-1", net + std::to_string(n + 10),
        zones[n], directory, SmallDeployment(), store.Address());
    fleet[n].front->Start();
  }
  for (Watched& it : fleet) {
    while (!co_await IsReady(it.front->Ready())) {
      if (Now() > 15000)
        co_return 2;
      co_await Sleep(100);
    }
  }
  Record("all machines are ready");
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    for (int k = 0; k < kConsumersPerFront; ++k)
      Spawn(Consume(fleet[n], "c" + std::to_string(n) + std::to_string(k)));
  }
  co_await Sleep(6000);
  if (answered < 50)
    co_return 2;
  if (trouble) {
    store.Put("op/config", Configuration(2, 131072));
    Record("the store has acknowledged version 2 with MaxHeaderBytes 131072");
  }
  co_await Sleep(kConfigApplyMs + 1000);
  // An idempotent request is sent once more, on another machine, after a
  // connection that was closed.
  std::size_t size = trouble ? kLongField : kShortField;
  std::string field = "Cookie: " + std::string(size, 'x') + "\r\n";
  for (std::size_t n = 0; n < 2; ++n) {
    std::string id = "long-" + std::to_string(n);
    tcp::socket socket(Context());
    error_code ec;
    co_await socket.async_connect(fleet[n].front->Callers(),
                                  asio::redirect_error(use_awaitable, ec));
    std::string buffer;
    Outcome outcome;
    if (!ec)
      outcome = co_await Ask(socket, buffer, Request(id, field));
    Record("%s to %s, a header field of %zu bytes: status %d", id.c_str(),
           fleet[n].front->name().c_str(), size, outcome.status);
    if (outcome.status != 0)
      break;
    co_await Sleep(500);
  }
  co_await Sleep(2000);
  stopping = true;
  int result = 0;
  for (Watched& it : fleet) {
    int status = 0;
    if (it.front->HasEnded(status))
      Record("%s ended by itself, signal %d", it.front->name().c_str(),
             WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    Record("%s: %d requests lost, %d allowed", it.front->name().c_str(), it.lost,
           kAllowedLosses);
    if (it.lost > kAllowedLosses)
      result = 1;
  }
  Record("%d requests answered with 200", answered);
  for (Watched& it : fleet)
    it.front->Kill();
  co_return result;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3)
    return 2;
  const char* trouble = std::getenv("TROUBLE");
  bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::string directory = argv[2];
  return Run(argv[1], [directory, with_trouble] {
    return Case(directory, with_trouble);
  });
}

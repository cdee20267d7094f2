// Stand-ins of the platform's store, of searchers and of consumers, and the
// start of the fleet as deploy/system.toml says. One thread, real clock,
// loopback addresses only.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json.hpp>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace world {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline asio::io_context& Context() {
  static asio::io_context context(1);
  return context;
}

// Milliseconds since the start of the case.
inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

inline std::ofstream& RecordFile() {
  static std::ofstream file;
  return file;
}

// Writes a line of record.txt: the time in ms and the text.
template <typename... Args>
void Record(const char* format, Args... args) {
  char line[1024];
  int size = std::snprintf(line, sizeof line, "%10.1f ", Now());
  std::snprintf(line + size, sizeof line - size, format, args...);
  RecordFile() << line << "\n";
  RecordFile().flush();
}

inline awaitable<void> Sleep(double ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>(std::max(ms, 0.0) * 1000)));
  error_code ec;
  co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
}

template <typename Task>
void Spawn(Task task) {
  asio::co_spawn(Context(), std::move(task), [](std::exception_ptr error) {
    if (!error)
      return;
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& e) {
      Record("stand-in error: %s", e.what());
    }
  });
}

// --- HTTP/1.1 ---

struct Message {
  // The request line or status line.
  std::string first;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool has_length = false;
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (key.size() == name.size() &&
          std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) ==
                   std::tolower(static_cast<unsigned char>(b));
          }))
        return value;
    }
    return "";
  }
  std::string Word(int n) const {
    std::istringstream stream(first);
    std::string word;
    for (int i = 0; i <= n; ++i)
      stream >> word;
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

// Reads one message; `ec` is set if the connection ends first.
inline awaitable<Message> ReadMessage(tcp::socket& socket,
                                      std::string& buffer,
                                      error_code& ec,
                                      bool no_body = false) {
  Message message;
  std::size_t end = std::string::npos;
  char data[16384];
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    std::size_t size = co_await socket.async_read_some(
        asio::buffer(data), asio::redirect_error(use_awaitable, ec));
    if (ec)
      co_return message;
    buffer.append(data, size);
  }
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (message.first.empty()) {
      message.first = line;
      continue;
    }
    std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::size_t from = line.find_first_not_of(" \t", colon + 1);
    message.fields.emplace_back(
        line.substr(0, colon), from == std::string::npos ? "" : line.substr(from));
  }
  std::string length = message.Field("Content-Length");
  message.has_length = !length.empty();
  std::size_t size = no_body || length.empty()
                         ? 0
                         : std::strtoull(length.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    std::size_t got = co_await socket.async_read_some(
        asio::buffer(data), asio::redirect_error(use_awaitable, ec));
    if (ec)
      co_return message;
    buffer.append(data, got);
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  co_return message;
}

inline awaitable<void> WriteAll(tcp::socket& socket,
                                const std::string& text,
                                error_code& ec) {
  co_await asio::async_write(socket, asio::buffer(text),
                             asio::redirect_error(use_awaitable, ec));
}

inline std::string Reply(int status,
                         const std::string& fields,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += text[n] == '+' ? ' ' : text[n];
    }
  }
  return out;
}

inline std::string Argument(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  std::istringstream query(at == std::string::npos ? "" : target.substr(at + 1));
  std::string part;
  while (std::getline(query, part, '&')) {
    if (part.starts_with(name + "="))
      return Unescape(part.substr(name.size() + 1));
  }
  return "";
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string Encode64(const std::string& data) {
  std::string out;
  for (std::size_t n = 0; n < data.size(); n += 3) {
    unsigned v = 0;
    for (std::size_t k = 0; k < 3; ++k)
      v = v << 8 | (n + k < data.size() ? static_cast<unsigned char>(data[n + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      out += n + k <= data.size() ? kBase64[v >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

inline std::string Decode64(const std::string& text) {
  std::string out;
  unsigned v = 0;
  int bits = 0;
  for (char c : text) {
    const char* at = std::find(kBase64, kBase64 + 64, c);
    if (at == kBase64 + 64)
      break;
    v = v << 6 | static_cast<unsigned>(at - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

// --- The platform's store ---

class Store {
 public:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  explicit Store(const std::string& ip)
      : acceptor_(Context(), tcp::endpoint(asio::ip::make_address(ip), 0)) {
    Spawn(Serve());
  }
  std::string Address() const {
    return acceptor_.local_endpoint().address().to_string() + ":" +
           std::to_string(acceptor_.local_endpoint().port());
  }
  std::int64_t Put(const std::string& key, const std::string& value,
                   std::int64_t lease = 0) {
    ++revision_;
    Item& item = items_[key];
    if (item.created == 0)
      item.created = revision_;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    json::object event{{"Key", key}, {"Value", Encode64(value)},
                       {"Revision", revision_}, {"Created", item.created},
                       {"Lease", lease}};
    AddEvent(std::move(event));
    return revision_;
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    ++revision_;
    AddEvent(json::object{{"Key", key}, {"Revision", revision_}, {"Removed", true}});
  }
  bool Has(const std::string& key) const { return items_.contains(key); }
  // Remembers the present state.
  void TakeCopy() {
    copied_items_ = items_;
    copied_events_ = events_;
    copied_leases_ = leases_;
    copied_revision_ = revision_;
    copied_lease_ = last_lease_;
  }
  // Closes all connections, and each new one until Return is called.
  void GoAway() {
    away_ = true;
    for (const std::weak_ptr<tcp::socket>& it : sessions_) {
      error_code ignored;
      if (std::shared_ptr<tcp::socket> socket = it.lock())
        socket->close(ignored);
    }
    sessions_.clear();
  }
  // Comes back from the copy. What the operator and the searchers wrote since
  // then has to be written again.
  void ReturnFromCopy() {
    items_ = copied_items_;
    events_ = copied_events_;
    leases_ = copied_leases_;
    revision_ = copied_revision_;
    last_lease_ = copied_lease_;
    ++era_;
    away_ = false;
  }

 private:
  void AddEvent(json::object event) {
    events_.emplace_back(revision_, std::move(event));
    changed_.cancel();
  }
  awaitable<void> Serve() {
    while (true) {
      error_code ec;
      tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(use_awaitable, ec));
      if (ec || away_)
        continue;
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      std::erase_if(sessions_, [](const auto& it) { return it.expired(); });
      sessions_.push_back(shared);
      Spawn(Session(std::move(shared)));
    }
  }
  awaitable<void> Session(std::shared_ptr<tcp::socket> shared) {
    tcp::socket& socket = *shared;
    std::string buffer;
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    while (true) {
      Message request = co_await ReadMessage(socket, buffer, ec);
      if (ec)
        co_return;
      std::string target = request.Word(1);
      std::string path = target.substr(0, target.find('?'));
      std::string out;
      if (path == "/v1/kv-watch")
        out = co_await Watch(target);
      else
        out = Handle(request.Word(0), path, target, request.body);
      co_await Sleep(4);
      if (!socket.is_open())
        co_return;
      co_await WriteAll(socket, out, ec);
      if (ec)
        co_return;
    }
  }
  awaitable<std::string> Watch(std::string target) {
    std::string prefix = Argument(target, "Prefix");
    std::int64_t after = std::atoll(Argument(target, "after").c_str());
    double end = Now() + std::atof(Argument(target, "WaitMs").c_str());
    std::int64_t era = era_;
    while (true) {
      if (after > revision_ || era != era_)
        co_return Reply(410, Era(), "{}");
      json::array events;
      for (const auto& [revision, event] : events_) {
        if (revision > after &&
            std::string(event.at("Key").as_string()).starts_with(prefix))
          events.push_back(event);
      }
      if (!events.empty() || Now() >= end) {
        co_return Reply(200, Era(),
                        json::serialize(json::object{
                            {"events", events}, {"CurrentRev", revision_}}));
      }
      changed_.expires_after(milliseconds(20));
      error_code ec;
      co_await changed_.async_wait(asio::redirect_error(use_awaitable, ec));
    }
  }
  json::object Describe(const std::string& key, const Item& item) const {
    return {{"Key", key}, {"Value", Encode64(item.value)},
            {"Revision", item.revision}, {"Created", item.created},
            {"Lease", item.lease}};
  }
  std::string Era() const {
    return "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) +
           "\r\n";
  }
  std::string Handle(const std::string& method, const std::string& path,
                     const std::string& target, const std::string& body) {
    if (path == "/v1/kv-range") {
      std::string prefix = Argument(target, "Prefix");
      std::string after = Argument(target, "after");
      json::array items;
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || key <= after)
          continue;
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(Describe(key, item));
      }
      return Reply(200, Era(),
                   json::serialize(json::object{{"items", items}, {"HasMore", more},
                                                {"CurrentRev", revision_}}));
    }
    if (path == "/v1/kv-lease" && method == "POST") {
      std::int64_t ttl = json::parse(body).as_object().at("TtlMs").to_number<std::int64_t>();
      leases_.insert(++last_lease_);
      return Reply(200, Era(),
                   json::serialize(json::object{{"Lease", last_lease_}, {"TtlMs", ttl}}));
    }
    if (path.starts_with("/v1/kv-keep/"))
      return Reply(leases_.contains(std::atoll(path.c_str() + 12)) ? 200 : 404, Era(), "{}");
    if (path == "/v1/kv-txn")
      return Transact(json::parse(body).as_object());
    return Reply(404, Era(), "{}");
  }
  std::string Transact(const json::object& body) {
    if (const json::value* expect = body.if_contains("Expect")) {
      for (const json::value& row : expect->as_array()) {
        std::string key(row.as_object().at("Key").as_string());
        std::int64_t revision = row.as_object().at("Revision").to_number<std::int64_t>();
        auto it = items_.find(key);
        if ((it == items_.end() ? 0 : it->second.revision) != revision)
          return Reply(412, Era(), "{\"items\":[]}");
      }
    }
    if (const json::value* writes = body.if_contains("Writes")) {
      for (const json::value& row : writes->as_array()) {
        const json::object& write = row.as_object();
        std::int64_t lease = 0;
        if (const json::value* value = write.if_contains("Lease"))
          lease = value->to_number<std::int64_t>();
        if (lease != 0 && !leases_.contains(lease))
          return Reply(404, Era(), "{}");
        Put(std::string(write.at("Key").as_string()),
            Decode64(std::string(write.at("Value").as_string())), lease);
      }
    }
    if (const json::value* deletes = body.if_contains("Deletes")) {
      for (const json::value& key : deletes->as_array())
        Remove(std::string(key.as_string()));
    }
    return Reply(200, Era(), json::serialize(json::object{{"Revision", revision_}}));
  }

  tcp::acceptor acceptor_;
  asio::steady_timer changed_{Context()};
  std::map<std::string, Item> items_;
  std::deque<std::pair<std::int64_t, json::object>> events_;
  std::set<std::int64_t> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 7000;
  std::int64_t era_ = 1;
  bool away_ = false;
  std::vector<std::weak_ptr<tcp::socket>> sessions_;
  std::map<std::string, Item> copied_items_;
  std::deque<std::pair<std::int64_t, json::object>> copied_events_;
  std::set<std::int64_t> copied_leases_;
  std::int64_t copied_revision_ = 0;
  std::int64_t copied_lease_ = 0;
};

// --- Searchers ---

struct Arrival {
  double at = 0;
  std::string service;
  std::string searcher;
  std::string request;
  bool ran = false;
};

// Everything that arrived at searchers and named its instance rightly.
inline std::vector<Arrival>& Arrivals() {
  static std::vector<Arrival> arrivals;
  return arrivals;
}

class Searcher {
 public:
  struct Plan {
    double work_ms = 10;
    // Share of requests that are refused as not run (a full searcher), and
    // that run and fail.
    double shed = 0;
    double fail = 0;
    int slots = 4;
    int queue = 16;
  };
  Searcher(Store& store, const std::string& ip, std::string service, std::string zone,
           std::string id, Plan plan)
      : store_(store), service_(std::move(service)), zone_(std::move(zone)),
        id_(std::move(id)), plan_(plan), born_(std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch()).count()),
        acceptor_(Context(), tcp::endpoint(asio::ip::make_address(ip), 0)) {
    Register();
    Spawn(Serve());
  }
  // Writes the registration, as at each check-in.
  void Register() {
    tcp::endpoint endpoint = acceptor_.local_endpoint();
    store_.Put("servers/" + id_,
               json::serialize(json::object{
                   {"Service", service_},
                   {"Address", endpoint.address().to_string() + ":" +
                                   std::to_string(endpoint.port())},
                   {"Zone", zone_}, {"Version", "v1"}, {"Slots", plan_.slots},
                   {"State", "ready"}, {"WarmupLeftMs", 0}, {"Sequence", ++sequence_},
                   {"born", born_}}));
  }
  Plan& plan() { return plan_; }
  const std::string& service() const { return service_; }
  const std::string& id() const { return id_; }
  int busy() const { return running_; }

 private:
  awaitable<void> Serve() {
    while (true) {
      error_code ec;
      tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(use_awaitable, ec));
      if (!ec)
        Spawn(Session(std::move(socket)));
    }
  }
  awaitable<void> Session(tcp::socket socket) {
    std::string buffer;
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    while (true) {
      Message request = co_await ReadMessage(socket, buffer, ec);
      if (ec)
        co_return;
      std::string out = co_await Answer(request);
      co_await WriteAll(socket, out, ec);
      if (ec)
        co_return;
    }
  }
  std::string Load() const {
    return "Server-Load: " + std::to_string(std::min(running_, plan_.slots)) + "," +
           std::to_string(std::max(0, running_ - plan_.slots)) + "," +
           std::to_string(plan_.slots) + "\r\nKeep-Alive: timeout=20\r\n";
  }
  awaitable<std::string> Answer(const Message& request) {
    std::string id = request.Field("Request-Id");
    std::string echo = "Request-Id: " + id + "\r\n" + Load();
    if (request.Field("Expect-Instance") != id_)
      co_return Reply(421, echo + "Not-Executed: 1\r\n", "");
    std::uniform_real_distribution<double> chance(0, 1);
    static std::mt19937 random(7);
    bool full = running_ >= plan_.slots + plan_.queue;
    bool shed = full || chance(random) < plan_.shed;
    Arrivals().push_back({Now(), service_, id_, id, !shed});
    std::string stamp = "Response-Stamp: " + id_ + "." + id + "\r\n";
    if (shed)
      co_return Reply(503, echo + "Not-Executed: 1\r\n", "");
    ++running_;
    // Requests beyond the slots wait their turn.
    while (working_ >= plan_.slots)
      co_await Sleep(1);
    ++working_;
    co_await Sleep(plan_.work_ms);
    --working_;
    --running_;
    if (chance(random) < plan_.fail)
      co_return Reply(500, echo + stamp, "failed");
    co_return Reply(200, echo + stamp, Body(id_));
  }

 public:
  // One record of 16 bytes.
  static std::string Body(const std::string& id) {
    std::string record = id;
    record.resize(16, '.');
    return record;
  }

 private:
  Store& store_;
  std::string service_;
  std::string zone_;
  std::string id_;
  Plan plan_;
  std::int64_t born_;
  std::int64_t sequence_ = 0;
  int running_ = 0;
  int working_ = 0;
  tcp::acceptor acceptor_;
};

// --- Processes of the system ---

// The settings that DEPLOY.md names, for one machine.
using Settings = std::map<std::string, std::string>;

inline std::string Fill(std::string text, const Settings& settings) {
  std::size_t at = 0;
  while ((at = text.find("{{", at)) != std::string::npos) {
    std::size_t end = text.find("}}", at);
    auto it = settings.find(text.substr(at + 2, end - at - 2));
    std::string value = it == settings.end() ? "" : it->second;
    text.replace(at, end + 2 - at, value);
    at += value.size();
  }
  return text;
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

// Starts the role of deploy/system.toml with the template that it names.
class Front {
 public:
  Front(std::string name, std::string ip, std::string zone, std::string directory,
        Settings bounds, const std::string& store)
      : name_(std::move(name)), ip_(std::move(ip)), directory_(std::move(directory)) {
    settings_ = std::move(bounds);
    settings_["NodeName"] = name_;
    settings_["Zone"] = zone;
    settings_["Ip"] = ip_;
    settings_["Region"] = "central-ke";
    settings_["Zones"] =
        R"({"nyeri":"central-ke","karatina":"central-ke","othaya":"central-ke"})";
    settings_["Listen.Front"] = ip_ + ":8226";
    settings_["Listen.Ready"] = ip_ + ":8227";
    settings_["InternalPorts.0"] = "7740";
    settings_["InternalPorts.1"] = "7755";
    settings_["platform.Address"] = store;
    std::ofstream(Path()) << Fill(ReadFile("deploy/front.ini"), settings_);
  }
  ~Front() { Kill(); }
  void Start() {
    std::string deploy = ReadFile("deploy/system.toml");
    std::size_t from = deploy.find("run = \"") + 7;
    std::istringstream words(deploy.substr(from, deploy.find("\"\n", from) - from));
    std::vector<std::string> arguments;
    std::string word;
    while (words >> word)
      arguments.push_back(arguments.empty() ? word : Fill(word, settings_));
    int log = open((directory_ + "/" + name_ + ".log").c_str(),
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(1);
      dup2(log, 1);
      dup2(log, 2);
      std::string variable = "JUJUBECOVE_CONFIG=" + Path();
      std::string path = "PATH=/usr/bin:/bin";
      char* environment[] = {variable.data(), path.data(), nullptr};
      std::vector<char*> argv;
      for (std::string& it : arguments)
        argv.push_back(it.data());
      argv.push_back(nullptr);
      // The listening sockets of the stand-ins stay with their process.
      for (int n = 3; n < 4096; ++n)
        close(n);
      execve(argv[0], argv.data(), environment);
      _exit(127);
    }
    close(log);
    Record("%s started", name_.c_str());
  }
  void Signal(int signal) {
    if (pid_ > 0)
      kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Whether the process has ended by itself; then `status` tells how.
  bool HasEnded(int& status) {
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    pid_ = 0;
    return true;
  }
  bool running() const { return pid_ > 0; }
  const std::string& name() const { return name_; }
  tcp::endpoint Callers() const { return {asio::ip::make_address(ip_), 8226}; }
  tcp::endpoint Ready() const { return {asio::ip::make_address(ip_), 8227}; }

 private:
  std::string Path() const { return directory_ + "/" + name_ + ".ini"; }

  std::string name_;
  std::string ip_;
  std::string directory_;
  Settings settings_;
  pid_t pid_ = 0;
};

// Asks once whether the machine is ready.
inline awaitable<bool> IsReady(tcp::endpoint endpoint) {
  tcp::socket socket(Context());
  error_code ec;
  co_await socket.async_connect(endpoint, asio::redirect_error(use_awaitable, ec));
  if (ec)
    co_return false;
  co_await WriteAll(socket, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", ec);
  std::string buffer;
  Message reply = co_await ReadMessage(socket, buffer, ec);
  co_return !ec && reply.Status() == 200;
}

// The bounds of kit/more/system/sites/mkaa-search.toml.
inline Settings SmallDeployment() {
  return {{"Limits.MaxFds", "8200"},        {"Limits.MemoryMb", "520"},
          {"Limits.CpuShare", "0.5"},       {"Bounds.ContactMs", "4000"},
          {"Bounds.RetryBudgetRatio", "0.2"}, {"Bounds.RetryBudgetSlack", "58"},
          {"Bounds.BudgetWindowS", "10"},   {"Bounds.GraceS", "6"}};
}

// --- Consumers ---

struct Outcome {
  // 0 if the connection ended without an answer.
  int status = 0;
  bool connected = false;
  bool written = false;
  std::string text;
};

// Sends one request on an open connection and reads the answer.
inline awaitable<Outcome> Ask(tcp::socket& socket, std::string& buffer,
                              std::string request) {
  Outcome outcome;
  outcome.connected = true;
  error_code ec;
  co_await WriteAll(socket, request, ec);
  if (ec)
    co_return outcome;
  outcome.written = true;
  Message reply = co_await ReadMessage(socket, buffer, ec);
  if (!ec) {
    outcome.status = reply.Status();
    outcome.text = reply.body;
  }
  co_return outcome;
}

// Runs the case and exits with its result: 1 if the rule was broken, 0 if it
// held, 2 if the case couldn't run.
inline int Run(const char* record, std::function<awaitable<int>()> body) {
  signal(SIGPIPE, SIG_IGN);
  RecordFile().open(record);
  Now();
  int result = 2;
  Spawn([](std::function<awaitable<int>()> task, int& out) -> awaitable<void> {
    out = co_await task();
    Context().stop();
  }(std::move(body), result));
  asio::steady_timer limit(Context(), std::chrono::seconds(110));
  limit.async_wait([](const error_code& ec) {
    if (ec)
      return;
    Record("the case took too long");
    Context().stop();
  });
  Context().run();
  Record("result %d", result);
  return result;
}

}  // namespace world

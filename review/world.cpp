#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>

#include <boost/json/src.hpp>

namespace review {
namespace {

namespace json = boost::json;

// Bounds of the sites' sheets (SYSTEM.md).
constexpr double kHistorySeconds = 20.0;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1U << 20U;
constexpr int kSearcherQueue = 16;

const auto kStart = std::chrono::steady_clock::now();
std::FILE* record_file = nullptr;
std::mutex record_mutex;
std::mutex arrivals_mutex;
std::vector<Arrival> arrivals;

std::string Base64(const std::string& data) {
  static const char kChars[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((data.size() + 2) / 3 * 4);
  for (std::size_t n = 0; n < data.size(); n += 3) {
    unsigned group = static_cast<unsigned char>(data[n]) << 16U;
    if (n + 1 < data.size())
      group |= static_cast<unsigned char>(data[n + 1]) << 8U;
    if (n + 2 < data.size())
      group |= static_cast<unsigned char>(data[n + 2]);
    out += kChars[group >> 18U];
    out += kChars[(group >> 12U) & 63U];
    out += n + 1 < data.size() ? kChars[(group >> 6U) & 63U] : '=';
    out += n + 2 < data.size() ? kChars[group & 63U] : '=';
  }
  return out;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    std::size_t end = target.find('&', at + 1);
    std::string part = target.substr(at + 1, end - at - 1);
    if (part.rfind(name + "=", 0) == 0)
      return Unescape(part.substr(name.size() + 1));
    at = end;
  }
  return "";
}

std::string Reply(int status,
                  const std::string& headers,
                  const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int FreePort(const std::string& ip) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof address;
  bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0;
  Require(bound, "no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size())
    text.replace(at, from.size(), to);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepUntil(double when) {
  double left = when - Now();
  if (left > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void OpenRecord(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
  Require(record_file != nullptr, "the record can't be written");
  signal(SIGPIPE, SIG_IGN);
}

void Record(const char* format, ...) {
  std::lock_guard<std::mutex> lock(record_mutex);
  std::fprintf(record_file, "%9.3f ", Now());
  va_list list;
  va_start(list, format);
  std::vfprintf(record_file, format, list);
  va_end(list);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

void Require(bool condition, const char* what) {
  if (condition)
    return;
  if (record_file != nullptr)
    Record("the case can't run: %s", what);
  std::fprintf(stderr, "the case can't run: %s\n", what);
  // Children get SIGKILL from PR_SET_PDEATHSIG.
  _exit(2);
}

std::string NewId() {
  static std::atomic<int> last{0};
  static const unsigned seed = static_cast<unsigned>(getpid());
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", seed, ++last);
  return text;
}

std::string Headers::Get(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  }
  return "";
}

int Message::Status() const {
  std::size_t at = start.find(' ');
  return at == std::string::npos ? 0 : std::atoi(start.c_str() + at);
}

std::unique_ptr<Connection> Connection::Open(const std::string& ip,
                                             int port,
                                             double timeout) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = AddressOf(ip, port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  int result =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) == 1)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, 0);
  return std::make_unique<Connection>(fd);
}

bool Connection::Fill(double deadline) {
  int fd = fd_;
  if (fd < 0)
    return false;
  pollfd waiting{fd, POLLIN, 0};
  int ms = static_cast<int>(std::clamp(deadline - Now(), 0.0, 1e6) * 1000);
  if (poll(&waiting, 1, ms) != 1)
    return false;
  char bytes[65536];
  ssize_t size = recv(fd, bytes, sizeof bytes, 0);
  if (size <= 0)
    return false;
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Connection::Read(double deadline) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline))
      return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer_.substr(0, end + 2));
  std::getline(head, message.start);
  if (!message.start.empty() && message.start.back() == '\r')
    message.start.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.fields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  buffer_.erase(0, end + 4);
  auto size = static_cast<std::size_t>(
      std::atol(message.headers.Get("Content-Length").c_str()));
  while (buffer_.size() < size) {
    if (!Fill(deadline))
      return std::nullopt;
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    int fd = fd_;
    if (fd < 0)
      return false;
    ssize_t size =
        send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}

void Connection::Shutdown() {
  int fd = fd_;
  if (fd >= 0)
    shutdown(fd, SHUT_RDWR);
}

void Connection::Close() {
  int fd = fd_.exchange(-1);
  if (fd >= 0)
    close(fd);
}

Server::Server(std::string ip, Handler handler)
    : ip_(std::move(ip)), handler_(std::move(handler)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip_, 0);
  socklen_t size = sizeof address;
  Require(bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
              listen(fd_, 512) == 0,
          "a stand-in can't listen");
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  while (!stopped_) {
    int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) {
      close(fd);
      break;
    }
    auto* connection = new Connection(fd);
    connections_.insert(connection);
    std::thread([this, connection] {
      handler_(*connection);
      std::lock_guard<std::mutex> lock(mutex_);
      connections_.erase(connection);
      delete connection;
      idle_.notify_all();
    }).detach();
  }
}

void Server::CloseConnections() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (Connection* it : connections_)
    it->Shutdown();
}

void Server::Stop() {
  if (stopped_.exchange(true))
    return;
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  close(fd_);
  CloseConnections();
  std::unique_lock<std::mutex> lock(mutex_);
  idle_.wait_for(lock, std::chrono::seconds(40),
                 [this] { return connections_.empty(); });
}

Store::Store() {
  server_ = std::make_unique<Server>("127.0.0.1",
                                     [this](Connection& it) { Serve(it); });
}

void Store::AddEvent(const std::string& key, std::string text) {
  history_.push_back(Event{revision_, Now(), std::move(text), key});
  DropHistory();
  changed_.notify_all();
}

void Store::DropHistory() {
  while (!history_.empty() && history_.front().at < Now() - kHistorySeconds) {
    dropped_ = history_.front().revision;
    history_.pop_front();
  }
}

static std::string ItemText(const std::string& key,
                            const std::string& value,
                            long revision,
                            long created,
                            long lease) {
  return "{\"Key\":" + json::serialize(json::string(key)) + ",\"Value\":\"" +
         Base64(value) + "\",\"Revision\":" + std::to_string(revision) +
         ",\"Created\":" + std::to_string(created) +
         ",\"Lease\":" + std::to_string(lease) + "}";
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      long lease) {
  ++revision_;
  Item& item = items_[key];
  long created = item.created == 0 ? revision_ : item.created;
  item = Item{value, revision_, created, lease};
  AddEvent(key, ItemText(key, value, revision_, created, lease));
}

void Store::DeleteLocked(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  ++revision_;
  AddEvent(key, "{\"Key\":" + json::serialize(json::string(key)) +
                    ",\"Revision\":" + std::to_string(revision_) +
                    ",\"Removed\":true}");
}

double Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(mutex_);
  PutLocked(key, value, 0);
  return Now();
}

double Store::Delete(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  DeleteLocked(key);
  return Now();
}

void Store::Serve(Connection& connection) {
  while (std::optional<Message> request = connection.Read(Now() + 3600)) {
    int status = 200;
    std::string body = "{}";
    if (!Handle(*request, status, body) ||
        !connection.Write(
            Reply(status, "Content-Type: application/json\r\n", body)))
      return;
  }
}

bool Store::Handle(const Message& request, int& status, std::string& body) {
  std::istringstream line(request.start);
  std::string method;
  std::string target;
  line >> method >> target;
  std::this_thread::sleep_for(std::chrono::milliseconds(4));
  if (target.rfind("/v1/kv-watch", 0) == 0)
    return Watch(target, status, body);
  if (target.rfind("/v1/kv-range", 0) == 0) {
    Range(target, body);
  } else if (target == "/v1/kv-txn") {
    status = Write(request.body, body);
  } else if (target == "/v1/kv-lease") {
    std::lock_guard<std::mutex> lock(mutex_);
    body = "{\"Lease\":" + std::to_string(++next_lease_) + ",\"TtlMs\":600000}";
  } else if (target.rfind("/v1/kv-keep/", 0) == 0) {
    body = "{\"TtlMs\":600000}";
  } else {
    status = 404;
  }
  return true;
}

void Store::Range(const std::string& target, std::string& body) {
  std::string prefix = Parameter(target, "Prefix");
  std::string after = Parameter(target, "after");
  std::lock_guard<std::mutex> lock(mutex_);
  std::string list;
  std::size_t count = 0;
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
      continue;
    if (count == kMaxPageItems || (count > 0 && list.size() > kMaxPageBytes)) {
      more = true;
      break;
    }
    list += (count++ == 0 ? "" : ",") +
            ItemText(key, item.value, item.revision, item.created, item.lease);
  }
  body = "{\"items\":[" + list + "],\"HasMore\":" + (more ? "true" : "false") +
         ",\"CurrentRev\":" + std::to_string(revision_) + "}";
}

bool Store::Watch(const std::string& target, int& status, std::string& body) {
  std::string prefix = Parameter(target, "Prefix");
  long after = std::atol(Parameter(target, "after").c_str());
  double started = Now();
  double end = started + std::atof(Parameter(target, "WaitMs").c_str()) / 1000;
  double cut = cut_after_ > 0 ? started + cut_after_ : 1e9;
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    DropHistory();
    if (after < dropped_) {
      status = 410;
      return true;
    }
    std::string list;
    for (const Event& it : history_) {
      if (it.revision > after && it.key.rfind(prefix, 0) == 0)
        list += (list.empty() ? "" : ",") + it.json;
    }
    if (!list.empty() || Now() >= end) {
      body = "{\"events\":[" + list +
             "],\"CurrentRev\":" + std::to_string(revision_) + "}";
      return true;
    }
    if (Now() >= cut) {
      ++cut_watches_;
      return false;
    }
    double until = std::min(end, cut) - Now();
    changed_.wait_for(lock,
                      std::chrono::duration<double>(std::max(until, 0.0005)));
  }
}

int Store::Write(const std::string& request, std::string& body) {
  boost::system::error_code ec;
  json::value value = json::parse(request, ec);
  if (ec || !value.is_object())
    return 400;
  json::object& change = value.as_object();
  std::lock_guard<std::mutex> lock(mutex_);
  if (json::value* writes = change.if_contains("Writes")) {
    for (json::value& it : writes->as_array()) {
      json::object& write = it.as_object();
      // The value of the system's own keys isn't read here; it stays encoded.
      std::string key(write["Key"].as_string());
      long lease =
          write.contains("Lease")
              ? static_cast<long>(write["Lease"].to_number<std::int64_t>())
              : 0;
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
        return 403;
      PutLocked(key, std::string(write["Value"].as_string()), lease);
    }
  }
  if (json::value* deletes = change.if_contains("Deletes")) {
    for (json::value& it : deletes->as_array())
      DeleteLocked(std::string(it.as_string()));
  }
  body = "{\"Revision\":" + std::to_string(revision_) + "}";
  return 200;
}

Searcher::Searcher(Store& store, SearcherOptions options)
    : store_(store), options_(std::move(options)) {
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  server_ = std::make_unique<Server>("127.0.0.1",
                                     [this](Connection& it) { Serve(it); });
}

double Searcher::Register(const std::string& state) {
  json::object entry{{"Service", options_.service},
                     {"Address", server_->address()},
                     {"Zone", options_.zone},
                     {"Version", "v1"},
                     {"Slots", options_.slots},
                     {"State", state},
                     {"WarmupLeftMs", 0},
                     {"Sequence", ++sequence_},
                     {"born", born_}};
  double at = store_.Put("servers/" + options_.id, json::serialize(entry));
  Record("searcher %s of %s is registered as %s", id().c_str(),
         service().c_str(), state.c_str());
  return at;
}

double Searcher::Unregister() {
  double at = store_.Delete("servers/" + options_.id);
  Record("the entry of searcher %s of %s is removed", id().c_str(),
         service().c_str());
  return at;
}

void Searcher::Exit() {
  if (!server_)
    return;
  Record("searcher %s of %s ends", id().c_str(), service().c_str());
  server_->Stop();
}

void Searcher::Serve(Connection& connection) {
  int epoch = epoch_;
  while (std::optional<Message> request = connection.Read(Now() + 3600)) {
    if (epoch != epoch_) {
      // Silent: reads no more and keeps the connection open.
      connection.Read(Now() + 3600);
      return;
    }
    std::istringstream line(request->start);
    std::string method;
    std::string target;
    line >> method >> target;
    std::string id = request->headers.Get("Request-Id");
    std::string headers = "Request-Id: " + id +
                          "\r\nServer-Load: " + std::to_string(running_) + "," +
                          std::to_string(waiting_) + "," +
                          std::to_string(options_.slots) + "\r\n";
    Arrival arrival{Now(), options_.id, options_.service, id, target, false, 0};
    std::size_t index = 0;
    bool mine = request->headers.Get("Expect-Instance") == options_.id;
    bool full = waiting_ >= kSearcherQueue;
    arrival.ran = mine && !full;
    {
      std::lock_guard<std::mutex> lock(arrivals_mutex);
      index = arrivals.size();
      arrivals.push_back(arrival);
    }
    if (!arrival.ran) {
      headers +=
          mine ? "Not-Executed: 1\r\n" : "Instance-Id: " + options_.id + "\r\n";
      if (!connection.Write(Reply(mine ? 503 : 421, headers, "")))
        return;
      continue;
    }
    double work = options_.work(requests_++);
    {
      std::unique_lock<std::mutex> lock(mutex_);
      ++waiting_;
      free_.wait(lock, [this] { return running_ < options_.slots; });
      --waiting_;
      ++running_;
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(work));
    --running_;
    free_.notify_one();
    if (epoch != epoch_) {
      connection.Read(Now() + 3600);
      return;
    }
    headers += "Response-Stamp: " + options_.id + "." + id + "\r\n";
    bool sent = connection.Write(Reply(200, headers, options_.service));
    std::lock_guard<std::mutex> lock(arrivals_mutex);
    if (sent)
      arrivals[index].answered_at = Now();
    else
      return;
  }
}

std::vector<Arrival> Arrivals() {
  std::lock_guard<std::mutex> lock(arrivals_mutex);
  return arrivals;
}

std::string ConfigText(int version,
                       const std::vector<RouteText>& routes,
                       const std::map<std::string, int>& services) {
  json::array route_list;
  for (const RouteText& it : routes) {
    route_list.push_back(json::object{{"Name", it.name},
                                      {"Host", it.host},
                                      {"Prefix", it.prefix},
                                      {"Kind", it.kind},
                                      {"TimeoutMs", it.timeout_ms},
                                      {"TargetLatencyMs", it.target_ms},
                                      {"Priority", 1},
                                      {"Service", it.service},
                                      {"MaxAttempts", it.max_attempts}});
  }
  json::array service_list;
  for (const auto& [name, connections] : services) {
    service_list.push_back(json::object{{"Name", name},
                                        {"HealthPath", "/health"},
                                        {"MaxConnections", connections},
                                        {"Protocol", "h1"},
                                        {"Tls", false}});
  }
  return json::serialize(
      json::object{{"Version", version},
                   {"Routes", route_list},
                   {"Services", service_list},
                   {"Limits", json::object{{"MaxHeaderBytes", 16384},
                                           {"MaxBodyBytes", 262144},
                                           {"HeaderTimeoutMs", 3000},
                                           {"IdleTimeoutMs", 15000}}}});
}

Front::Front(const Store& store,
             std::string name,
             std::string zone,
             std::string ip)
    : store_(store),
      name_(std::move(name)),
      zone_(std::move(zone)),
      ip_(std::move(ip)) {
  const char* base = std::getenv("REVIEW_TMP");
  Require(base != nullptr, "REVIEW_TMP isn't set");
  directory_ = std::string(base) + "/" + name_;
  std::filesystem::create_directories(directory_);
  port_ = FreePort(ip_);
  ready_port_ = FreePort(ip_);
}

void Front::Start() {
  std::string text = ReadFile("deploy/front.ini");
  Require(
      !text.empty(),
      "deploy/front.ini can't be read; run it from the root of the repository");
  const std::pair<const char*, std::string> values[] = {
      {"NodeName", name_},
      {"Zone", zone_},
      {"Limits.MaxFds", "8200"},
      {"Limits.MemoryMb", "520"},
      {"Listen.Front", ip_ + ":" + std::to_string(port_)},
      {"Listen.Ready", ip_ + ":" + std::to_string(ready_port_)},
      {"Ip", ip_},
      {"platform.Address", store_.server().address()},
      {"Bounds.ContactMs", "4000"},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.RetryBudgetSlack", "58"},
      {"Bounds.BudgetWindowS", "10"},
      {"Bounds.GraceS", "6"}};
  for (const auto& [key, value] : values)
    ReplaceAll(text, "{{" + std::string(key) + "}}", value);
  std::string path = directory_ + "/node.ini";
  std::ofstream(path) << text;
  int output = open((directory_ + "/log.txt").c_str(),
                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::string variable = "JUJUBECOVE_CONFIG=" + path;
  // The command of the role in deploy/system.toml.
  const char* argv[] = {"target/src/jujubecove-front", nullptr};
  const char* envp[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C",
                        nullptr};
  pid_t parent = getpid();
  pid_t pid = fork();
  Require(pid >= 0, "no process can be started");
  if (pid == 0) {
    // The process ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(2);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(argv[0], const_cast<char**>(argv), const_cast<char**>(envp));
    _exit(127);
  }
  close(output);
  pid_ = pid;
  Record("%s starts", name_.c_str());
}

void Front::Signal(int signal) {
  Record("%s gets signal %d", name_.c_str(), signal);
  if (pid_ > 0)
    kill(pid_, signal);
}

bool Front::WaitEnd(double deadline) {
  while (pid_ > 0) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      Record("%s has ended, %s %d", name_.c_str(),
             WIFEXITED(status) ? "exit code" : "signal",
             WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
      pid_ = -1;
      return true;
    }
    if (Now() >= deadline)
      return false;
    SleepUntil(Now() + 0.01);
  }
  return true;
}

void Front::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  WaitEnd(Now() + 5);
}

bool Front::IsReady() const {
  std::unique_ptr<Connection> connection =
      Connection::Open(ip_, ready_port_, 0.5);
  if (!connection ||
      !connection->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    return false;
  std::optional<Message> answer = connection->Read(Now() + 0.5);
  return answer && answer->Status() == 200;
}

bool Front::AwaitReady(double deadline) const {
  while (!IsReady()) {
    if (Now() > deadline)
      return false;
    SleepUntil(Now() + 0.05);
  }
  return true;
}

Answer Consumer::Ask(const Front& front,
                     const std::string& method,
                     const std::string& host,
                     const std::string& path,
                     int deadline_ms) {
  Answer answer;
  answer.id = NewId();
  answer.sent_at = Now();
  double deadline = Now() + deadline_ms / 1000.0;
  if (!connection_) {
    connection_ = Connection::Open(front.ip(), front.port(), 1.0);
    front_ = front.name();
  }
  answer.front = front_;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + answer.id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n" + (method == "GET" ? "" : "Content-Length: 0\r\n") +
                     "\r\n";
  if (!connection_ || !connection_->Write(text)) {
    answer.status = connection_ ? 0 : -1;
    connection_.reset();
    answer.ended_at = Now();
    return answer;
  }
  std::optional<Message> message = connection_->Read(deadline + 1.0);
  answer.ended_at = Now();
  if (!message) {
    connection_.reset();
    return answer;
  }
  answer.status = message->Status();
  answer.text = message->body;
  while (!answer.text.empty() && answer.text.back() == '\n')
    answer.text.pop_back();
  if (strcasecmp(message->headers.Get("Connection").c_str(), "close") == 0)
    connection_.reset();
  return answer;
}

}  // namespace review

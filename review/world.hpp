#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Stand-ins of the users' platform for the cases of the review: the metadata
// store, searchers, consumers and what starts and stops the entry processes.
// They follow PROTOCOL.md, use threads and blocking sockets, and listen on
// loopback addresses only.
namespace review {

// Seconds since the start of the case.
double Now();
void SleepUntil(double when);
// False with TROUBLE=0: the case then runs without its disruption.
bool HasTrouble();

// Writes a line with the time to record.txt.
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
void OpenRecord(const std::string& path);

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;
  // The first value, or an empty string.
  std::string Get(const std::string& name) const;
};

struct Message {
  // The request line or the status line.
  std::string start;
  Headers headers;
  std::string body;
  int Status() const;
};

// One TCP connection with buffered reads. All calls block.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& ip,
                                          int port,
                                          double timeout);
  // Nothing if the connection ended before the message was complete.
  std::optional<Message> Read(double deadline);
  bool Write(const std::string& bytes);
  // Ends reads and writes of other threads.
  void Shutdown();
  void Close();

 private:
  bool Fill(double deadline);

  std::atomic<int> fd_;
  std::string buffer_;
};

// Accepts connections and runs a thread for each.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(std::string ip, Handler handler);
  ~Server() { Stop(); }
  // Closes the listening socket and all connections.
  void Stop();
  // Ends all connections; new ones are accepted.
  void CloseConnections();
  int port() const { return port_; }
  const std::string& ip() const { return ip_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept();

  std::string ip_;
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<Connection*> connections_;
  std::condition_variable idle_;
};

// The platform's metadata store.
class Store {
 public:
  Store();
  // Return when the change is in force, which is its ack.
  double Put(const std::string& key, const std::string& value);
  double Delete(const std::string& key);
  const Server& server() const { return *server_; }
  // A watch that has waited for so long is cut: its connection is closed in
  // order, without an answer. 0: no watch is cut.
  void CutWatchesAfter(double seconds) { cut_after_ = seconds; }
  int cut_watches() const { return cut_watches_; }

 private:
  struct Item {
    std::string value;
    long revision = 0;
    long created = 0;
    long lease = 0;
  };
  struct Event {
    long revision = 0;
    double at = 0;
    std::string json;
    std::string key;
  };

  void Serve(Connection& connection);
  // Returns false if the connection is to be closed without an answer.
  bool Handle(const Message& request, int& status, std::string& body);
  void Range(const std::string& target, std::string& body);
  bool Watch(const std::string& target, int& status, std::string& body);
  int Write(const std::string& request, std::string& body);
  void PutLocked(const std::string& key, const std::string& value, long lease);
  void DeleteLocked(const std::string& key);
  void AddEvent(const std::string& key, std::string json);
  // Forgets the events that are older than HistoryS.
  void DropHistory();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  long revision_ = 100;
  // The newest revision that the history no longer holds.
  long dropped_ = 100;
  long next_lease_ = 1000;
  std::atomic<double> cut_after_{0.0};
  std::atomic<int> cut_watches_{0};
  std::unique_ptr<Server> server_;
};

// A request that reached a searcher.
struct Arrival {
  double at = 0;
  std::string searcher;
  std::string service;
  std::string id;
  std::string target;
  bool ran = false;
  // 0 until it is answered.
  double answered_at = 0;
};

struct SearcherOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 4;
  // Seconds of work for the n-th request.
  std::function<double(int)> work = [](int) { return 0.01; };
};

class Searcher {
 public:
  Searcher(Store& store, SearcherOptions options);
  ~Searcher() { Exit(); }
  // Writes its entry.
  double Register(const std::string& state);
  // Removes its entry, without reporting that it drains.
  double Unregister();
  // The process ends.
  void Exit();
  // Stops answering on the connections that are open now. They stay open and
  // silent; new ones work.
  void Silence() { ++epoch_; }
  const std::string& id() const { return options_.id; }
  const std::string& service() const { return options_.service; }

 private:
  void Serve(Connection& connection);

  Store& store_;
  SearcherOptions options_;
  long born_;
  std::atomic<int> sequence_{0};
  std::atomic<int> requests_{0};
  std::atomic<int> running_{0};
  std::atomic<int> waiting_{0};
  std::atomic<int> epoch_{0};
  std::mutex mutex_;
  std::condition_variable free_;
  std::unique_ptr<Server> server_;
};

std::vector<Arrival> Arrivals();

struct RouteText {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  int timeout_ms = 6000;
  int target_ms = 400;
  std::string service;
  int max_attempts = 2;
};
// The JSON text of a configuration.
std::string ConfigText(int version,
                       const std::vector<RouteText>& routes,
                       const std::map<std::string, int>& services);

// An entry process, started as deploy/system.toml says with settings from the
// template of the deploy file.
class Front {
 public:
  Front(const Store& store, std::string name, std::string zone, std::string ip);
  ~Front() { Kill(); }
  void Start();
  void Signal(int signal);
  // Waits for the end of the process. Returns whether it ended.
  bool WaitEnd(double deadline);
  void Kill();
  bool IsReady() const;
  // Whether it is ready before the deadline.
  bool AwaitReady(double deadline) const;
  const std::string& ip() const { return ip_; }
  const std::string& name() const { return name_; }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }

 private:
  const Store& store_;
  std::string name_;
  std::string zone_;
  std::string ip_;
  int port_ = 0;
  int ready_port_ = 0;
  std::string directory_;
  std::atomic<pid_t> pid_{-1};
};

// What a consumer saw of one attempt.
struct Answer {
  std::string id;
  std::string front;
  double sent_at = 0;
  double ended_at = 0;
  // 0: the connection ended without a complete answer. -1: no connection.
  int status = 0;
  std::string text;
};

// A consumer that keeps its connection open, as the balancer gave it.
class Consumer {
 public:
  // Sends a request over the kept connection, or a new one to `front`.
  Answer Ask(const Front& front,
             const std::string& method,
             const std::string& host,
             const std::string& path,
             int deadline_ms);
  void Close() { connection_.reset(); }
  bool IsOpen() const { return connection_ != nullptr; }
  const std::string& front() const { return front_; }

 private:
  std::unique_ptr<Connection> connection_;
  std::string front_;
};

std::string NewId();

// Exits with 2 if the condition, without which the case can't run, is false.
void Require(bool condition, const char* what);

}  // namespace review

#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace jujubecove {

struct HttpReply {
  // 0 when there was no reply.
  unsigned status = 0;
  std::string body;
  // Why there was no reply.
  std::string error;
};

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::chrono::milliseconds timeout{10'000};
};

// Sends one blocking request to "ip:port" on a new connection.
HttpReply Fetch(const std::string& address, const HttpCall& call);
HttpReply Get(const std::string& address, const std::string& target);

}  // namespace jujubecove

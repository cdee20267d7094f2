#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "platform/wire_names.h"
#include "tests/standin/kv_server.h"

DEFINE_int32(port, 7400, "TCP port to listen on; 0 lets the system choose");
DEFINE_string(vms_file,
              "",
              "JSON file with the searchers to register: {\"vms\": [{\"id\", "
              "\"address\", \"zone\", \"service\", \"leaving\"}]}");
DEFINE_string(config_file,
              "",
              "JSON file with the operators' initial configuration");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "stand-in of the platform's store: range, watch, writes, leases");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    boost::asio::io_context context;
    jujubecove::KvServer server(context,
                                static_cast<std::uint16_t>(FLAGS_port));
    if (!FLAGS_vms_file.empty()) {
      std::ifstream file(FLAGS_vms_file);
      std::string text((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
      if (!file || !server.RegisterSearchers(text)) {
        std::cerr << "malformed VM list: " << FLAGS_vms_file << "\n";
        return 2;
      }
    }
    if (!FLAGS_config_file.empty()) {
      std::ifstream file(FLAGS_config_file);
      std::string text((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
      server.store().Set(jujubecove::platform::kConfigKey, text);
    }
    std::cout << "listening on 127.0.0.1:" << server.port() << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin_platform: " << error.what() << "\n";
    return 1;
  }
  return 0;
}

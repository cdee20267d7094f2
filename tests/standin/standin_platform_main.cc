#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "tests/standin/platform_server.h"

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 7400, "TCP port to listen on; 0 lets the system choose");
DEFINE_string(vms_file,
              "",
              "JSON file with the VM list to start with: {\"vms\": [{\"id\", "
              "\"address\", \"zone\", \"role\", \"service\", \"leaving\"}]}");
DEFINE_uint64(seed, 1, "seed of the random faults");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "stand-in of the platform: key-value store, leases, watches and VM list");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    boost::asio::io_context context;
    boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(FLAGS_ip),
        static_cast<std::uint16_t>(FLAGS_port));
    jujubecove::PlatformServer server(context, endpoint, FLAGS_seed);
    if (!FLAGS_vms_file.empty()) {
      std::ifstream file(FLAGS_vms_file);
      std::string text((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
      if (!file || !server.SetVms(text)) {
        std::cerr << "not a VM list: " << FLAGS_vms_file << "\n";
        return 2;
      }
    }
    std::cout << "listening on " << FLAGS_ip << ":" << server.port()
              << std::endl;
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

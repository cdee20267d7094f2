#include "ctl/console_command.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

#include "ctl/console_handler.h"
#include "ctl/console_listener.h"

namespace jujubecove {
namespace {

namespace asio = boost::asio;

constexpr std::uint16_t kDefaultPort = 7480;
ExitCode RunConsole(std::optional<std::string> text,
                    std::uint16_t port,
                    const CommandContext& context) {
  asio::io_context io;
  ConsoleListener listener(io, ConsoleLimits());
  if (!listener.Listen(port))
    return context.Fail(ExitCode::kRefused,
                        "cannot listen on 127.0.0.1:" + std::to_string(port));
  std::optional<ConsoleHandler::Secrets> secrets =
      ConsoleHandler::MakeSecrets();
  if (!secrets)
    return context.Fail(ExitCode::kRefused, "cannot generate random bytes");
  port = listener.endpoint().port();
  std::string url =
      "http://127.0.0.1:" + std::to_string(port) + "/?secret=" + secrets->login;
  ConsoleHandler handler(std::move(text), port, std::move(*secrets));
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  listener.Start(handler);
  if (context.json)
    context.PrintJson(boost::json::object{{"url", url}});
  else
    context.out << "open " << url << "\n";
  context.out.flush();
  io.run();
  return ExitCode::kOk;
}

}  // namespace

std::string ConsoleCommand::help() const {
  return "Listens on 127.0.0.1 only and prints the URL to open. The form "
         "is filled from FILE, or empty without it, and offers the validated "
         "document for download. PORT is 7480 by default; 0 selects any free "
         "port. Ends on SIGINT or SIGTERM.";
}

ExitCode ConsoleCommand::Run(const std::vector<std::string>& arguments,
                             const CommandContext& context) {
  std::vector<std::string> words = arguments;
  std::uint16_t port = kDefaultPort;
  // The last argument is the port if it is a number.
  if (!words.empty()) {
    const std::string& word = words.back();
    const char* last = word.data() + word.size();
    auto [end, error] = std::from_chars(word.data(), last, port);
    if (error == std::errc() && end == last)
      words.pop_back();
    else
      port = kDefaultPort;
  }
  if (words.size() > 1)
    return context.Fail(ExitCode::kUsage, "console takes " + this->arguments());
  std::optional<std::string> text;
  if (!words.empty()) {
    std::ifstream file(words[0], std::ios::binary);
    if (!file)
      return context.Fail(ExitCode::kUsage, "cannot read " + words[0]);
    text = std::string(std::istreambuf_iterator<char>(file), {});
  }
  return RunConsole(std::move(text), port, context);
}

}  // namespace jujubecove

#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "ctl/console_form.h"
#include "ctl/console_page.h"

namespace jujubecove {

using ConsoleRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using ConsoleResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Handles the HTTP requests of one operator's browser, independently of the
// connection.
class ConsoleHandler {
 public:
  // Random secrets of this process.
  struct Secrets {
    // Part of the printed URL; the browser exchanges it for the cookie.
    std::string login;
    std::string cookie;
    std::string token;
  };
  static std::optional<Secrets> MakeSecrets();

  // `file_text` is the document that fills the form, if there is a file.
  ConsoleHandler(std::optional<std::string> file_text,
                 std::uint16_t port,
                 Secrets secrets);

  ConsoleResponse Handle(const ConsoleRequest& request);

 private:
  bool HasExpectedHost(const ConsoleRequest& request) const;
  bool HasCookie(const ConsoleRequest& request) const;
  ConsoleResponse LogIn(const std::string& target) const;
  ConsoleResponse Load();
  ConsoleResponse Edit(const FormFields& fields);
  ConsoleResponse Submit(const FormFields& fields);
  ConsoleResponse Post(const ConsoleRequest& request);
  // Adds the difference from the file to the page.
  void AddDifference(ConsolePage& page);

  std::optional<std::string> file_text_;
  std::uint16_t port_;
  Secrets secrets_;
};

}  // namespace jujubecove

#include "ctl/console_handler.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <sstream>
#include <utility>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

namespace http = boost::beast::http;

constexpr char kCookieName[] = "jujubecove_console";

std::optional<std::string> RandomText() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, 32> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    return std::nullopt;
  std::string text;
  for (unsigned char it : bytes) {
    text += kDigits[it / 16];
    text += kDigits[it % 16];
  }
  return text;
}

// Compares in constant time, so that the timing reveals nothing of the secret.
bool EqualsSecret(std::string_view given, const std::string& secret) {
  return given.size() == secret.size() &&
         CRYPTO_memcmp(given.data(), secret.data(), secret.size()) == 0;
}

ConsoleResponse Respond(http::status status,
                        const std::string& type,
                        std::string body) {
  ConsoleResponse response(status, 11);
  response.set(http::field::content_type, type + "; charset=utf-8");
  response.set("Content-Security-Policy",
               "default-src 'none'; style-src 'self'; form-action 'self'; "
               "frame-ancestors 'none'; base-uri 'none'");
  response.set("X-Content-Type-Options", "nosniff");
  response.set(http::field::cache_control, "no-store");
  // With no-referrer, browsers would send "Origin: null" with each form.
  response.set("Referrer-Policy", "same-origin");
  response.body() = std::move(body);
  response.keep_alive(false);
  response.prepare_payload();
  return response;
}

ConsoleResponse Page(std::string html) {
  return Respond(http::status::ok, "text/html", std::move(html));
}

ConsoleResponse Refuse(http::status status, const std::string& why) {
  return Respond(status, "text/html", RenderMessage("Refused", why));
}

std::optional<std::size_t> ParseIndex(const std::string& text) {
  std::size_t value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return value;
}

// Adds or removes a section, according to the pressed button.
void ApplyAction(std::vector<FormSection>& form, const std::string& action) {
  constexpr std::string_view kRemove = "remove:";
  if (action == "add-kind")
    form.insert(form.begin(), FormSection{"kind", "", {}});
  if (action == "add-service")
    form.insert(form.begin(), FormSection{"service", "", {}});
  if (!action.starts_with(kRemove))
    return;
  std::optional<std::size_t> index = ParseIndex(action.substr(kRemove.size()));
  if (index && *index < form.size())
    form.erase(form.begin() + static_cast<std::ptrdiff_t>(*index));
}

}  // namespace

std::optional<ConsoleHandler::Secrets> ConsoleHandler::MakeSecrets() {
  std::optional<std::string> login = RandomText();
  std::optional<std::string> cookie = RandomText();
  std::optional<std::string> token = RandomText();
  if (!login || !cookie || !token)
    return std::nullopt;
  return Secrets{*login, *cookie, *token};
}

ConsoleHandler::ConsoleHandler(std::optional<std::string> file_text,
                               std::uint16_t port,
                               Secrets secrets)
    : file_text_(std::move(file_text)),
      port_(port),
      secrets_(std::move(secrets)) {}

bool ConsoleHandler::HasExpectedHost(const ConsoleRequest& request) const {
  std::string port = ":" + std::to_string(port_);
  std::string host(request[http::field::host]);
  return request.count(http::field::host) == 1 &&
         (host == "127.0.0.1" + port || host == "localhost" + port);
}

bool ConsoleHandler::HasCookie(const ConsoleRequest& request) const {
  std::string cookies(request[http::field::cookie]);
  std::istringstream parts(cookies);
  std::string part;
  while (std::getline(parts, part, ';')) {
    std::size_t start = part.find_first_not_of(' ');
    std::string prefix = std::string(kCookieName) + "=";
    if (start == std::string::npos ||
        part.compare(start, prefix.size(), prefix))
      continue;
    if (EqualsSecret(part.substr(start + prefix.size()), secrets_.cookie))
      return true;
  }
  return false;
}

ConsoleResponse ConsoleHandler::LogIn(const std::string& target) const {
  constexpr std::string_view kPrefix = "/?secret=";
  std::string_view given = target;
  given.remove_prefix(kPrefix.size());
  if (!EqualsSecret(given, secrets_.login))
    return Refuse(http::status::forbidden, "The secret is wrong.");
  ConsoleResponse response = Respond(http::status::see_other, "text/html", "");
  response.set(http::field::location, "/");
  response.set(http::field::set_cookie,
               std::string(kCookieName) + "=" + secrets_.cookie +
                   "; HttpOnly; SameSite=Strict; Path=/");
  return response;
}

ConsoleResponse ConsoleHandler::Handle(const ConsoleRequest& request) {
  if (!HasExpectedHost(request))
    return Refuse(http::status::misdirected_request,
                  "The Host header does not name this console.");
  std::string target(request.target());
  bool get = request.method() == http::verb::get;
  if (get && target.starts_with("/?secret="))
    return LogIn(target);
  if (!HasCookie(request))
    return Refuse(http::status::forbidden,
                  "Open the URL that jujubecovectl printed.");
  if (get && target == "/")
    return Load();
  if (get && target == "/style.css")
    return Respond(http::status::ok, "text/css", StyleSheet());
  if (request.method() == http::verb::post &&
      (target == "/edit" || target == "/submit"))
    return Post(request);
  return Refuse(http::status::not_found, "There is no such page.");
}

ConsoleResponse ConsoleHandler::Post(const ConsoleRequest& request) {
  std::string origin(request[http::field::origin]);
  if (request.count(http::field::origin) > 0 &&
      origin != "http://" + std::string(request[http::field::host]))
    return Refuse(http::status::forbidden, "The request has another origin.");
  std::optional<FormFields> fields = DecodeForm(request.body());
  if (!fields)
    return Refuse(http::status::bad_request, "The form is malformed.");
  if (!EqualsSecret(FieldValue(*fields, "token"), secrets_.token))
    return Refuse(http::status::forbidden,
                  "The form's token is not from this console; load it again.");
  return request.target() == "/edit" ? Edit(*fields) : Submit(*fields);
}

void ConsoleHandler::AddDifference(ConsolePage& page) {
  ParsedDocument file = ParseDocument(file_text_.value_or(""), "file");
  std::string old_text;
  page.compared_with = "an empty document";
  if (file_text_ && file.ok()) {
    old_text = CanonicalText(file.document);
    page.compared_with = "the file";
  }
  page.changes = DiffTexts(old_text, page.document);
}

ConsoleResponse ConsoleHandler::Load() {
  ConsolePage page;
  page.token = secrets_.token;
  std::string text = file_text_.value_or("");
  std::vector<SettingFault> faults;
  page.form = FormFromText(text, faults);
  FormCheck check = CheckForm(page.form);
  page.faults = std::move(check.faults);
  for (const SettingFault& it : faults)
    page.faults.push_back({-1, "", it.ToString()});
  if (page.faults.empty()) {
    page.document = std::move(check.text);
    page.review = true;
    AddDifference(page);
  }
  return Page(RenderPage(page));
}

ConsoleResponse ConsoleHandler::Edit(const FormFields& fields) {
  ConsolePage page;
  page.token = secrets_.token;
  page.form = FormFromFields(fields);
  std::string action = FieldValue(fields, "do");
  ApplyAction(page.form, action);
  // A section that was just added has no values yet, so it is not validated.
  if (action != "review") {
    page.notice = "Not checked yet.";
    return Page(RenderPage(page));
  }
  FormCheck check = CheckForm(page.form);
  page.faults = std::move(check.faults);
  page.document = std::move(check.text);
  page.review = true;
  if (!page.document.empty())
    AddDifference(page);
  return Page(RenderPage(page));
}

ConsoleResponse ConsoleHandler::Submit(const FormFields& fields) {
  // Browsers send line breaks in a field as CR LF.
  std::string entered = FieldValue(fields, "document");
  std::erase(entered, '\r');
  ParsedDocument parsed = ParseDocument(entered, "form");
  if (!parsed.ok())
    return Refuse(http::status::bad_request, parsed.faults[0].ToString());
  std::string text = CanonicalText(parsed.document);
  if (FieldValue(fields, "do") != "download")
    return Refuse(http::status::bad_request, "There is no such action.");
  ConsoleResponse response =
      Respond(http::status::ok, "text/plain", std::move(text));
  response.set(http::field::content_disposition,
               "attachment; filename=\"document.ini\"");
  return response;
}

}  // namespace jujubecove

#include "platform/credential_protocol.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/json_codec.h"
#include "platform/wire_names.h"

namespace jujubecove::platform {
namespace {

constexpr std::string_view kBlanks = " \t";

Error Malformed(const char* reason) {
  return Error{ErrorKind::kUnauthenticated, reason};
}

}  // namespace

Result<std::optional<std::string>> PlatformCredentialProtocol::TakeApiKey(
    HeaderFields& headers) const {
  std::vector<std::string> values;
  for (HeaderField& it : headers) {
    if (SameHeaderName(it.name, kAuthorization))
      values.push_back(std::move(it.value));
  }
  std::erase_if(headers, [](const HeaderField& it) {
    return SameHeaderName(it.name, kAuthorization) ||
           SameHeaderName(it.name, kWorkspace);
  });
  if (values.empty())
    return std::optional<std::string>();
  if (values.size() > 1)
    return Malformed("the request has more than one Authorization field");
  std::string_view text = values.front();
  std::size_t blank = std::min(text.find_first_of(kBlanks), text.size());
  if (!SameHeaderName(text.substr(0, blank), kApiKeyScheme))
    return Malformed("the Authorization field has another scheme than Token");
  text.remove_prefix(blank);
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  text = text.substr(0, text.find_last_not_of(kBlanks) + 1);
  if (text.empty())
    return Malformed("the API key is empty");
  if (text.size() > kMaxApiKeyBytes)
    return Malformed("the API key is too long");
  if (!IsToken(text))
    return Malformed("the API key has invalid characters");
  return std::optional<std::string>(text);
}

}  // namespace jujubecove::platform

#include "platform/credential_protocol.h"

#include <gtest/gtest.h>

namespace jujubecove::platform {
namespace {

Result<std::optional<std::string>> Take(HeaderFields headers) {
  return PlatformCredentialProtocol().TakeApiKey(headers);
}

TEST(CredentialProtocolTest, ReadsKeyOfAnySpellingOfScheme) {
  for (const char* text : {"Token k-1", "token k-1", "TOKEN  \t k-1 "}) {
    Result<std::optional<std::string>> key = Take({{"authorization", text}});
    ASSERT_TRUE(key) << text;
    EXPECT_EQ(key.value(), "k-1") << text;
  }
  EXPECT_FALSE(Take({{"Host", "h"}}).value());
}

// Guards against fields that are taken for a key, and against reasons that
// disclose one.
TEST(CredentialProtocolTest, RefusesMalformedFields) {
  std::vector<HeaderFields> cases = {
      {{"Authorization", ""}},
      {{"Authorization", "Token"}},
      {{"Authorization", "Token  "}},
      {{"Authorization", "Bearer secret"}},
      {{"Authorization", "Tokensecret"}},
      {{"Authorization", "Token secret key"}},
      {{"Authorization", "Token secret\x01"}},
      {{"Authorization", "Token " + std::string(64U << 10U, 's')}},
      HeaderFields(10, HeaderField{"Authorization", "Token secret"})};
  for (const HeaderFields& it : cases) {
    Result<std::optional<std::string>> key = Take(it);
    ASSERT_FALSE(key) << it.front().value.substr(0, 40);
    EXPECT_EQ(key.error().detail.find("secret"), std::string::npos);
  }
}

// Guards against keys and claimed workspaces that reach a searcher.
TEST(CredentialProtocolTest, RemovesKeysAndClaimsFromHeaders) {
  HeaderFields headers = {{"Authorization", "Token a"},
                          {"X", "1"},
                          {"TENANT", "other"},
                          {"authorization", "b"},
                          {"Tenant", "third"}};
  EXPECT_FALSE(PlatformCredentialProtocol().TakeApiKey(headers));
  ASSERT_EQ(headers.size(), 1U);
  EXPECT_EQ(headers[0].name, "X");
}

}  // namespace
}  // namespace jujubecove::platform

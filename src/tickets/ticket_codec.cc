#include "tickets/ticket_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstddef>
#include <stdexcept>

namespace jujubecove {
namespace {

constexpr std::uint8_t kFormatVersion = 1;
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kFixedBytes = 2 + 3 * sizeof(std::uint64_t);
constexpr std::size_t kMaxAddressBytes = 255;
constexpr std::size_t kMaxTextBytes = 400;
constexpr std::uint8_t kInvalidDigit = 255;
constexpr std::string_view kBase64UrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

void AppendUint64(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift))));
}

std::uint64_t ReadUint64(std::string_view data) {
  std::uint64_t value = 0;
  for (std::size_t n = 0; n < sizeof(value); ++n)
    value = (value << 8U) | static_cast<std::uint8_t>(data[n]);
  return value;
}

std::string ToBase64Url(std::string_view data) {
  std::string out;
  out.reserve((data.size() * 4 + 2) / 3);
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (char byte : data) {
    bits = (bits << 8U) | static_cast<std::uint8_t>(byte);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out.push_back(kBase64UrlAlphabet[(bits >> count) & 63U]);
    }
  }
  if (count > 0)
    out.push_back(kBase64UrlAlphabet[(bits << (6 - count)) & 63U]);
  return out;
}

std::array<std::uint8_t, 256> MakeReverseTable() {
  std::array<std::uint8_t, 256> reverse{};
  reverse.fill(kInvalidDigit);
  for (std::size_t n = 0; n < kBase64UrlAlphabet.size(); ++n)
    reverse[static_cast<std::uint8_t>(kBase64UrlAlphabet[n])] =
        static_cast<std::uint8_t>(n);
  return reverse;
}

// Accepts only the canonical encoding, so that each ticket has a single text
// form.
std::optional<std::string> FromBase64Url(std::string_view text) {
  static const std::array<std::uint8_t, 256> kReverse = MakeReverseTable();
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (char letter : text) {
    std::uint8_t value = kReverse[static_cast<std::uint8_t>(letter)];
    if (value == kInvalidDigit)
      return std::nullopt;
    bits = (bits << 6U) | value;
    count += 6;
    if (count >= 8) {
      count -= 8;
      out.push_back(static_cast<char>(bits >> count));
    }
  }
  bool has_trailing_bits = (bits & ((1U << count) - 1U)) != 0;
  if (count >= 6 || has_trailing_bits)
    return std::nullopt;
  return out;
}

std::string ComputeMac(std::string_view payload, const TicketSecret& secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const unsigned char* data =
      reinterpret_cast<const unsigned char*>(payload.data());
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data,
       payload.size(), digest.data(), &size);
  return std::string(digest.begin(), digest.begin() + kMacBytes);
}

}  // namespace

TicketSecret GenerateTicketSecret() {
  TicketSecret secret{};
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
    throw std::runtime_error(
        "failed to generate the ticket secret: no entropy");
  return secret;
}

std::string EncodeTicket(const TicketFields& fields,
                         const TicketSecret& secret) {
  std::string payload;
  payload.push_back(static_cast<char>(kFormatVersion));
  payload.push_back(static_cast<char>(fields.owner.peer_address.size()));
  payload.append(fields.owner.peer_address);
  AppendUint64(payload, fields.owner.incarnation.value());
  AppendUint64(payload, fields.sequence);
  AppendUint64(payload,
               static_cast<std::uint64_t>(fields.issue_offset.count()));
  return ToBase64Url(payload + ComputeMac(payload, secret));
}

std::optional<DecodedTicket> DecodeTicket(std::string_view text) {
  if (text.empty() || text.size() > kMaxTextBytes)
    return std::nullopt;
  std::optional<std::string> data = FromBase64Url(text);
  if (!data || data->size() < kFixedBytes + kMacBytes ||
      static_cast<std::uint8_t>((*data)[0]) != kFormatVersion)
    return std::nullopt;
  std::size_t address_size = static_cast<std::uint8_t>((*data)[1]);
  if (address_size == 0 || address_size > kMaxAddressBytes ||
      data->size() != kFixedBytes + address_size + kMacBytes)
    return std::nullopt;
  DecodedTicket ticket;
  ticket.payload = data->substr(0, data->size() - kMacBytes);
  ticket.mac = data->substr(data->size() - kMacBytes);
  std::string_view rest(ticket.payload);
  rest.remove_prefix(2);
  ticket.fields.owner.peer_address = std::string(rest.substr(0, address_size));
  rest.remove_prefix(address_size);
  ticket.fields.owner.incarnation = IncarnationId(ReadUint64(rest));
  ticket.fields.sequence = ReadUint64(rest.substr(8));
  ticket.fields.issue_offset =
      Duration(static_cast<std::int64_t>(ReadUint64(rest.substr(16))));
  return ticket;
}

bool IsAuthentic(const DecodedTicket& ticket, const TicketSecret& secret) {
  std::string mac = ComputeMac(ticket.payload, secret);
  return CRYPTO_memcmp(mac.data(), ticket.mac.data(), kMacBytes) == 0;
}

}  // namespace jujubecove

/** @file home_token.cpp Home tokens, and the home of a key. */

#include "attempts/home_token_func.h"

#include "base/cbor_reader.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Hex digits of the checksum at the end of a token. */
constexpr size_t ChecksumDigits = 16;
/** Lists within lists of a token: itself, its homes, one home. */
constexpr size_t TokenDepth = 3;

/** Text that places a key; equal at every process. */
std::string placeOf(const KeyName &Key) {
  const auto &[Class, Tenant, Name] = Key;
  return Json({Class.Value, Tenant.Value, Name.Value})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const char c : Bytes) {
    const auto Byte = static_cast<unsigned char>(c);
    Hex += Digits[Byte >> 4U];
    Hex += Digits[Byte & 15U];
  }
  return Hex;
}

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/** Gives the bytes behind hex digits; empty for anything else. */
std::string fromHex(std::string_view Hex) {
  std::string Bytes;
  if (Hex.size() % 2 != 0)
    return Bytes;
  for (size_t n = 0; n < Hex.size(); n += 2) {
    const int High = hexValue(Hex[n]);
    const int Low = hexValue(Hex[n + 1]);
    if (High < 0 || Low < 0)
      return "";
    Bytes += static_cast<char>(High * 16 + Low);
  }
  return Bytes;
}

std::string checksum(std::string_view Bytes) {
  return sha256(Bytes).Value.substr(0, ChecksumDigits);
}

/** Reads the homes; false when one is not as writeToken() makes it. */
bool readHomes(const Json &Rows, HomeToken &Token) {
  if (!Rows.is_array() || Rows.empty() || Rows.size() > MaxTokenHomes)
    return false;
  for (const Json &Row : Rows) {
    const bool Right = Row.is_array() && Row.size() == 3 &&
                       Row[0].is_string() && Row[1].is_number_unsigned() &&
                       Row[2].is_number_unsigned();
    if (!Right)
      return false;
    Token.Homes.push_back({HostName{Row[0].get<std::string>()},
                           Incarnation{Row[1].get<uint64_t>()},
                           Row[2].get<uint64_t>()});
  }
  return true;
}

} // namespace

std::string writeToken(const HomeToken &Token) {
  Json Homes = Json::array();
  for (const TokenHome &Home : Token.Homes)
    Homes.push_back({Home.Name.Value, Home.Run.Value, Home.Epoch});
  const std::vector<uint8_t> Packed =
      Json::to_cbor({Token.Class.Value, Token.Serial, Homes});
  const std::string Bytes(Packed.begin(), Packed.end());
  return toHex(Bytes) + checksum(Bytes);
}

Result<HomeToken> readToken(std::string_view Text) {
  const auto Bad = [] {
    return fail(ErrorKind::BadRequest, "X-Home-Token is cut or changed");
  };
  if (Text.size() <= ChecksumDigits)
    return Bad();
  const std::string Bytes =
      fromHex(Text.substr(0, Text.size() - ChecksumDigits));
  if (Bytes.empty() ||
      checksum(Bytes) != Text.substr(Text.size() - ChecksumDigits))
    return Bad();
  // Anybody can make a token with a right checksum, so its bytes are hostile.
  const Json Value = readCbor(Bytes, {TokenDepth, MaxTokenHomes});
  const bool Right = Value.is_array() && Value.size() == 3 &&
                     Value[0].is_string() && Value[1].is_number_unsigned();
  HomeToken Token;
  if (!Right || !readHomes(Value[2], Token))
    return Bad();
  Token.Class.Value = Value[0].get<std::string>();
  Token.Serial = Value[1].get<uint64_t>();
  return Token;
}

const TokenHome &homeInToken(const HomeToken &Token, const KeyName &Key) {
  std::vector<HostName> Names;
  std::ranges::transform(Token.Homes, std::back_inserter(Names),
                         &TokenHome::Name);
  const HostName First = rendezvousOrder(placeOf(Key), Names).front();
  return *std::ranges::find(Token.Homes, First, &TokenHome::Name);
}

HostName homeByList(const Document &Doc, const KeyName &Key) {
  const WorkClass *Class = findClass(Doc, std::get<ClassName>(Key));
  if (Class == nullptr)
    return {};
  std::vector<HostName> Names;
  for (const Worker *Host : workersOf(Doc, *Class))
    if (!Doc.DomainsOut.contains(Host->Domain))
      Names.push_back(Host->Name);
  if (Names.empty())
    return {};
  return rendezvousOrder(placeOf(Key), Names).front();
}

} // namespace jacinthpond

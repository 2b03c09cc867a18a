#include "settings/TeamKeys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace lacewing::settings {

namespace {

constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kKeyIdBytes = 4;
constexpr std::size_t kDigestBytes = 32;
/// Longest secret that is compared; a longer one can't be right.
constexpr std::size_t kMaxSecretBytes = 256;

using Digest = std::array<unsigned char, kDigestBytes>;

std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aSize);
  for (std::size_t i = 0; i < aSize; ++i) {
    text += kDigits[aBytes[i] >> 4U];
    text += kDigits[aBytes[i] & 15U];
  }
  return text;
}

unsigned char
DigitOf(char aChar)
{
  return static_cast<unsigned char>(aChar <= '9' ? aChar - '0'
                                                 : aChar - 'a' + 10);
}

/// Bytes of hexadecimal digits that the schema has accepted.
template<std::size_t Size>
std::array<unsigned char, Size>
FromHex(std::string_view aText)
{
  std::array<unsigned char, Size> bytes{};
  for (std::size_t i = 0; i < Size && 2 * i + 1 < aText.size(); ++i) {
    bytes[i] = static_cast<unsigned char>(DigitOf(aText[2 * i]) * 16 +
                                          DigitOf(aText[2 * i + 1]));
  }
  return bytes;
}

template<std::size_t Size>
Result<std::string>
RandomHex()
{
  std::array<unsigned char, Size> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(Size)) != 1) {
    return Fail(Verdict::NotRun,
                ErrorCode::Internal,
                "the random generator gave no bytes for a key");
  }
  return ToHex(bytes.data(), Size);
}

Digest
SaltedDigest(const std::array<unsigned char, kSaltBytes>& aSalt,
             std::string_view aSecret)
{
  std::vector<unsigned char> input(aSalt.begin(), aSalt.end());
  input.insert(input.end(), aSecret.begin(), aSecret.end());
  Digest digest{};
  unsigned int size = 0;
  EVP_Digest(
    input.data(), input.size(), digest.data(), &size, EVP_sha256(), nullptr);
  OPENSSL_cleanse(input.data(), input.size());
  return digest;
}

/// Stands for a key that doesn't exist, so that looking it up takes the same
/// time.
const std::string kNoKey =
  std::string(2 * kSaltBytes, '0') + ":" + std::string(2 * kDigestBytes, '0');

/// Breaks a long list after a comma, since lines of a text are bounded.
std::string
Wrap(const std::string& aValue)
{
  constexpr std::size_t kLineBytes = 100;
  std::string text;
  std::size_t lineBytes = 0;
  for (const char each : aValue) {
    text += each;
    ++lineBytes;
    if (each == ',' && lineBytes >= kLineBytes) {
      text += "\n ";
      lineBytes = 0;
    }
  }
  return text;
}

leaf::error_id
BadKey()
{
  return Fail(Verdict::NotRun,
              ErrorCode::Unauthenticated,
              "the key is missing, unknown or withdrawn");
}

} // namespace

Result<KeyParts>
ParseKey(std::string_view aText)
{
  constexpr std::string_view kPrefix = "lwk.";
  if (!aText.starts_with(kPrefix)) {
    return BadKey();
  }
  aText.remove_prefix(kPrefix.size());
  const auto teamEnd = aText.find('.');
  const auto idEnd =
    teamEnd == std::string_view::npos ? teamEnd : aText.find('.', teamEnd + 1);
  if (idEnd == std::string_view::npos) {
    return BadKey();
  }
  const auto team = aText.substr(0, teamEnd);
  const auto keyId = aText.substr(teamEnd + 1, idEnd - teamEnd - 1);
  const auto secret = aText.substr(idEnd + 1);
  if (!IsName(team) || !IsName(keyId) || secret.empty() ||
      secret.size() > kMaxSecretBytes) {
    return BadKey();
  }
  return KeyParts{ TeamId(std::string(team)),
                   std::string(keyId),
                   std::string(secret) };
}

Result<NewKey>
CreateKey(const TeamId& aTeam)
{
  BOOST_LEAF_AUTO(keyId, RandomHex<kKeyIdBytes>());
  BOOST_LEAF_AUTO(secret, RandomHex<kSecretBytes>());
  BOOST_LEAF_AUTO(digest, DigestOf(secret));
  return NewKey{ keyId,
                 "lwk." + aTeam.Value() + "." + keyId + "." + secret,
                 digest };
}

Result<std::string>
DigestOf(std::string_view aSecret)
{
  BOOST_LEAF_AUTO(salt, RandomHex<kSaltBytes>());
  const Digest digest = SaltedDigest(FromHex<kSaltBytes>(salt), aSecret);
  return salt + ":" + ToHex(digest.data(), digest.size());
}

bool
SecretMatches(std::string_view aDigest, std::string_view aSecret)
{
  const bool wellFormed = aDigest.size() == kNoKey.size();
  const std::string_view expected =
    wellFormed ? aDigest : std::string_view(kNoKey);
  const auto salt = FromHex<kSaltBytes>(expected.substr(0, 2 * kSaltBytes));
  const auto wanted =
    FromHex<kDigestBytes>(expected.substr(2 * kSaltBytes + 1));
  const Digest found = SaltedDigest(salt, aSecret);
  const bool equal =
    CRYPTO_memcmp(found.data(), wanted.data(), kDigestBytes) == 0;
  return equal && wellFormed;
}

std::string
WithKey(const CheckedText& aTeam, const NewKey& aKey)
{
  CheckedText text = aTeam;
  text.Set("team", "key." + aKey.m_keyId, aKey.m_digest);
  text.Set("team", "key_state." + aKey.m_keyId, "active");
  return RenderIni(text);
}

Result<std::string>
WithoutKey(const CheckedText& aTeam, const std::string& aKeyId)
{
  if (!aTeam.Has("team", "key." + aKeyId)) {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "the team has no key with the given id");
  }
  CheckedText text = aTeam;
  text.Set("team", "key_state." + aKeyId, "withdrawn");
  return RenderIni(text);
}

Result<std::string>
WithRotatedKey(const CheckedText& aTeam,
               const std::string& aOldKeyId,
               const NewKey& aKey)
{
  BOOST_LEAF_CHECK(WithoutKey(aTeam, aOldKeyId));
  CheckedText text = aTeam;
  text.Set("team", "key_state." + aOldKeyId, "withdrawn");
  return WithKey(text, aKey);
}

std::string
RenderIni(const CheckedText& aText)
{
  std::string text;
  std::string section;
  for (const auto& [place, value] : aText.Values()) {
    if (place.first != section) {
      section = place.first;
      text += "[" + section + "]\n";
    }
    text += place.second + " = " + Wrap(value) + "\n";
  }
  return text;
}

TeamKeys::TeamKeys(const CheckedText& aTeam)
{
  constexpr std::string_view kKeyPrefix = "key.";
  for (const auto& [place, value] : aTeam.Values()) {
    if (!place.second.starts_with(kKeyPrefix)) {
      continue;
    }
    const std::string keyId = place.second.substr(kKeyPrefix.size());
    m_keys[keyId] = { value,
                      aTeam.Get("team", "key_state." + keyId) == "active" };
  }
}

bool
TeamKeys::Matches(const std::string& aKeyId, std::string_view aSecret) const
{
  const auto found = m_keys.find(aKeyId);
  const bool known = found != m_keys.end();
  const bool matches =
    SecretMatches(known ? found->second.m_digest : kNoKey, aSecret);
  return matches && known && found->second.m_active;
}

} // namespace lacewing::settings

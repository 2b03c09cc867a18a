/// Keys of teams: text `lwk.<team>.<key id>.<secret>`, kept as salted digests.
#pragma once

#include "core/Ids.h"
#include "core/Verdict.h"
#include "settings/IniText.h"

#include <map>
#include <string>

namespace lacewing::settings {

/// The parts of a key as its holder presents it.
struct KeyParts
{
  TeamId m_team;
  std::string m_keyId;
  std::string m_secret;
};

/// Errors: `Unauthenticated`; the message never contains the text.
Result<KeyParts>
ParseKey(std::string_view aText);

/// A key that was just made. The text is shown once to the operator and not
/// kept.
struct NewKey
{
  std::string m_keyId;
  std::string m_text;   ///< `lwk.<team>.<key id>.<secret>`
  std::string m_digest; ///< `<salt>:<digest>`
};

/// Makes a key from OpenSSL's random bytes. Errors: `Internal` if the random
/// generator fails.
Result<NewKey>
CreateKey(const TeamId& aTeam);

/// `<salt>:<digest>` of a secret, for the admin key.
Result<std::string>
DigestOf(std::string_view aSecret);

/// Compares a secret with `<salt>:<digest>` in a time that depends only on the
/// length of the secret. False for a malformed digest, after the same work.
bool
SecretMatches(std::string_view aDigest, std::string_view aSecret);

/// The text of a team's subtree with one more key.
std::string
WithKey(const CheckedText& aTeam, const NewKey& aKey);

/// The text with the key withdrawn. Errors: `NotFound` for an unknown key id.
Result<std::string>
WithoutKey(const CheckedText& aTeam, const std::string& aKeyId);

/// The text with a new key and the old one withdrawn, in one change.
Result<std::string>
WithRotatedKey(const CheckedText& aTeam,
               const std::string& aOldKeyId,
               const NewKey& aKey);

/// INI text of checked values, sorted by section and key.
std::string
RenderIni(const CheckedText& aText);

/// The keys of one team by key id.
class TeamKeys
{
public:
  TeamKeys() = default;
  /// Takes the keys of a team's subtree.
  explicit TeamKeys(const CheckedText& aTeam);

  /// True if the key id is active and the secret is right. Does the same work
  /// for a wrong secret, an unknown key id and a withdrawn key.
  bool Matches(const std::string& aKeyId, std::string_view aSecret) const;
  std::size_t size() const { return m_keys.size(); }

private:
  struct Key
  {
    std::string m_digest;
    bool m_active = true;
  };
  std::map<std::string, Key> m_keys;
};

} // namespace lacewing::settings

/// Decides for which team a request is taken.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "core/Verdict.h"
#include "settings/SettingsStore.h"

#include <string>
#include <string_view>

namespace lacewing::settings {

class Authenticator
{
public:
  explicit Authenticator(const SettingsStore& aStore)
    : m_store(aStore)
  {
  }

  /// The team that the work counts for. An empty queue is the team's own.
  /// Errors, all with the verdict `NotRun`:
  /// * `Unauthenticated`: the key is missing, unknown or withdrawn;
  /// * `Forbidden`: the queue isn't open to the key's team;
  /// * `NotFound`: there is no such queue;
  /// * `StaleSettings`: a withdrawal of the key could be unknown here.
  Result<TeamId> Authenticate(Time aNow,
                              std::string_view aKey,
                              const std::string& aQueue) const;

private:
  Result<TeamId> TeamOfKey(Time aNow, std::string_view aKey) const;

  const SettingsStore& m_store;
};

/// True if the text is the operators' key; same work for every text of the
/// same length.
bool
IsAdminKey(const std::string& aDigest, std::string_view aKey);

} // namespace lacewing::settings

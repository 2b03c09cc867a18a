/// The settings in force, with typed access, and the difference between two
/// states.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "settings/TeamKeys.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::settings {

/// Version of a subtree; 0 for a subtree that was never written.
using SettingsVersion = std::uint64_t;
/// Counts the accepted changes of all subtrees.
using FleetVersion = std::uint64_t;

inline constexpr std::string_view kSystemSubtree = "system";
inline constexpr std::string_view kTeamPrefix = "team.";

/// The schema of a subtree. Errors: `BadInput` naming the subtree.
Result<Scope>
ScopeOf(const std::string& aSubtree);

/// One subtree as the table has it. `m_values` are those of the last version
/// that fits the schema.
struct Subtree
{
  SettingsVersion m_version = 0; ///< newest version that was read
  SettingsVersion m_inForce = 0; ///< version of `m_values`
  RowVersion m_rowVersion = 0;
  std::string m_text;
  std::string m_nonce;
  CheckedText m_values;
  TeamKeys m_keys;
  std::string m_fault; ///< why the newest version is not in force

  bool IsBad() const { return m_version != m_inForce; }
};

struct QueueSettings
{
  bool m_open = false;
  std::vector<TeamId> m_teams;
};

struct ServiceSettings
{
  int m_slots = 8;
  int m_connections = 64;
  std::vector<std::string> m_idempotentMethods;
};

struct TeamSettings
{
  double m_weight = 1;
  std::optional<std::int64_t> m_limitMillicores;
  std::optional<std::int64_t> m_limitRequests;
};

/// A difference in one value. Values of keys are left out.
struct SettingChange
{
  std::string m_subtree;
  std::string m_section;
  std::string m_key;
  std::string m_before; ///< empty if it wasn't set
  std::string m_after;  ///< empty if it isn't set any more

  bool operator==(const SettingChange&) const = default;
};

class SettingsTree
{
public:
  /// Takes a version of a subtree. A text that doesn't fit the schema leaves
  /// the values in force and is remembered as the subtree's fault.
  void Set(const std::string& aSubtree, const Subtree& aRow);

  /// Remembers that a version can't be read; the values in force stay.
  void SetFault(const std::string& aSubtree,
                SettingsVersion aVersion,
                std::string aFault);

  /// The subtree, or nothing if it was never written.
  const Subtree* Find(const std::string& aSubtree) const;
  /// By name of the subtree.
  const std::map<std::string, std::shared_ptr<const Subtree>>& All() const
  {
    return m_subtrees;
  }

  /// A value of the subtree `system`; the schema's default if it isn't set.
  std::int64_t Integer(const std::string& aSection,
                       const std::string& aKey) const;
  double Real(const std::string& aSection, const std::string& aKey) const;
  /// A value of a key whose name ends in "_ms".
  Duration Milliseconds(const std::string& aSection,
                        const std::string& aKey) const;

  std::optional<QueueSettings> Queue(const std::string& aName) const;
  std::optional<ServiceSettings> Service(const ServiceId& aService) const;
  /// Nothing for an unknown or removed team.
  std::optional<TeamSettings> Team(const TeamId& aTeam) const;
  /// Names of the sections "queue.*" or "service.*" without the prefix.
  std::vector<std::string> NamesOf(const std::string& aPrefix) const;
  /// All teams that are not removed, sorted.
  std::vector<TeamId> Teams() const;

private:
  const CheckedText& System() const;

  std::map<std::string, std::shared_ptr<const Subtree>> m_subtrees;
};

/// The differences of values in force, sorted by place.
std::vector<SettingChange>
Diff(const SettingsTree& aBefore, const SettingsTree& aAfter);

/// The differences of two texts of one subtree.
std::vector<SettingChange>
DiffText(const std::string& aSubtree,
         const CheckedText& aBefore,
         const CheckedText& aAfter);

} // namespace lacewing::settings

/// Brings the rows `limit/<team>/<unit>` in line with the limits in the
/// settings.
#pragma once

#include "daemon/CellState.h"
#include "ownership/LimitRow.h"

#include <set>

namespace lacewing::daemon {

class LimitReconciler
{
public:
  explicit LimitReconciler(CellState aCell);

  /// Compares the rows of the teams that this member is responsible for with
  /// the settings; to be called every second.
  void Tick();
  /// The settings of the team changed; compare soon.
  void OnTeamChanged(const TeamId& aTeam) { m_toCheck.insert(aTeam); }

private:
  bool IsResponsible(const TeamId& aTeam) const;
  void Check(const TeamId& aTeam);
  void OnRows(const TeamId& aTeam,
              const std::string& aSubtreeKey,
              const table::Rows& aRows);
  bool AddChange(table::Commit& aCommit,
                 const table::Rows& aRows,
                 const ownership::LimitId& aLimit,
                 const std::optional<std::int64_t>& aWanted) const;

  CellState m_cell;
  std::set<TeamId> m_toCheck;
  bool m_wasActive = false;
};

} // namespace lacewing::daemon

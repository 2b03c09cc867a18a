/// Deletes the records of old requests, and old submissions whose job was never
/// written, for the teams that fall to this member.
#pragma once

#include "daemon/RowAccess.h"
#include "daemon/SweepPlan.h"
#include "table/PagedRead.h"

#include <memory>
#include <optional>
#include <string_view>

namespace lacewing::daemon {

class RequestExpiry : public std::enable_shared_from_this<RequestExpiry>
{
public:
  /// `aOnDeleted` is called for each deleted row with its kind, `request` or
  /// `submission`.
  RequestExpiry(RowAccess aAccess,
                std::function<void(std::string_view aKind)> aOnDeleted);

  /// Does the next step if it is due and none is under way: reads a page, or
  /// the job rows of the submissions in the last page, and deletes at most
  /// `kSweepDeletes` rows. Not to be called while the table is down.
  void Tick(const SweepShare& aShare);
  /// True if `Tick` would do a step now.
  bool IsDue() const;

private:
  /// A submission that is old enough.
  struct OldSubmission
  {
    std::string m_row;
    RowVersion m_version = 0;
    std::string m_jobRow;
  };

  /// Goes to the next prefix of the share; false if there is none.
  bool NextPrefix(const SweepShare& aShare);
  bool IsInShare(const SweepShare& aShare) const;
  /// True after the last page of the last prefix of the share.
  bool IsPassOver(const SweepShare& aShare) const;
  void ReadPage();
  void ReadJobRows();
  void OnPage(const table::ReadResult& aPage);
  void OnJobRows(const std::vector<OldSubmission>& aSubmissions,
                 const table::ReadResult& aRead);
  /// Deletes the row, or remembers the submission, if it is old enough.
  bool TakeRow(const std::string& aKey, const table::Row& aRow);
  bool TakeRequest(const std::string& aKey, const table::Row& aRow);
  bool TakeSubmission(const std::string& aKey, const table::Row& aRow);
  void Delete(table::RecordWrite aWrite, std::string_view aKind);
  void BeginOperation();
  void EndOperation();

  RowAccess m_access;
  std::function<void(std::string_view)> m_onDeleted;
  VersionNotes m_notes;
  std::string m_prefix; ///< that is being read; empty before the first one
  table::PagedRead m_pages{ "" };
  std::vector<OldSubmission> m_submissions;
  Duration m_pause = kSweepStep;
  Time m_nextStep = Time::min();
  std::size_t m_open = 0; ///< reads and deletes under way
};

} // namespace lacewing::daemon

/// Requests to and results from the platform's transactional table service.
/// A table maps keys to rows; a row is a text value and the version of its last
/// write. Versions grow over the whole table.
#pragma once

#include "core/EnumNames.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::table {

struct Row
{
  std::string m_value;
  RowVersion m_version = 0;

  bool operator==(const Row&) const = default;
};

/// Rows by key, in the order of keys.
using Rows = std::map<std::string, Row>;

/// The commit takes effect only if the row has this version; 0 means absent.
struct Check
{
  std::string m_key;
  RowVersion m_version = 0;
};

struct Put
{
  std::string m_key;
  std::string m_value;
};

/// One transaction: all of it takes effect or none.
struct Commit
{
  std::vector<Check> m_checks;
  std::vector<Put> m_puts;
  std::vector<std::string> m_deletes;

  bool empty() const { return m_puts.empty() && m_deletes.empty(); }
};

enum class CommitState : std::uint8_t
{
  Committed,  ///< In effect and durable.
  Conflict,   ///< Not in effect; `m_conflicts` names the rows.
  NotApplied, ///< Not in effect; the request never reached the service.
  Unknown,    ///< No answer in time; it may or may not be in effect.
};

struct CommitResult
{
  CommitState m_state = CommitState::Unknown;
  RowVersion m_version = 0;             ///< of the written rows
  std::vector<std::string> m_conflicts; ///< keys whose check failed
  /// The service does not accept the content, such as one that is too large:
  /// the same transaction would be refused again.
  bool m_isRefused = false;
};

/// One part of the rows below a prefix, in the order of keys.
struct Page
{
  std::string m_after;     ///< rows with larger keys only; empty for all
  std::size_t m_limit = 0; ///< rows of the page, at least 1
};

/// Reads single rows and all rows below prefixes, in one snapshot.
struct Read
{
  std::vector<std::string> m_keys;
  std::vector<std::string> m_prefixes;
  /// Reads a page of the rows below the only prefix.
  std::optional<Page> m_page = std::nullopt;
};

struct ReadResult
{
  bool m_ok = false;
  Rows m_rows;         ///< absent rows are left out
  bool m_more = false; ///< the page ends before the last row of the prefix
};

} // namespace lacewing::table

template<>
struct lacewing::EnumNames<lacewing::table::CommitState>
{
  using State = lacewing::table::CommitState;
  static constexpr std::array kTable = {
    std::pair{ State::Committed, std::string_view("committed") },
    std::pair{ State::Conflict, std::string_view("conflict") },
    std::pair{ State::NotApplied, std::string_view("not_applied") },
    std::pair{ State::Unknown, std::string_view("unknown") },
  };
};

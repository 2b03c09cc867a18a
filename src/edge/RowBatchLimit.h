/// How much progress the leader puts into its next transaction, so that a batch
/// that the store refuses neither blocks the others nor keeps the leader's own
/// row from being renewed.
///
/// Does no I/O and reads no clock.
#pragma once

#include <cstddef>

namespace lacewing::edge {

class RowBatchLimit
{
public:
  /// Rows of one transaction, below the store's limit of 100 entries.
  static constexpr std::size_t kMostRows = 60;
  /// Bytes of the rows of one transaction before their encoding, which takes a
  /// third more. Beside a row of the leader of 64 kB this stays below the
  /// store's limit of 1 MB.
  static constexpr std::size_t kMostBytes = std::size_t{ 512 } * 1024;

  std::size_t Rows() const { return m_rows; }
  /// False until something is stored again, after a transaction with progress
  /// that was not stored.
  bool MayJoinRenewal() const { return m_mayJoinRenewal; }

  /// A transaction with that many rows of progress was stored.
  void OnStored(std::size_t aRows);
  /// It was not stored. `aRefused` if the store does not accept its content.
  void OnFailed(std::size_t aRows, bool aRefused);

private:
  std::size_t m_rows = kMostRows;
  bool m_mayJoinRenewal = true;
};

} // namespace lacewing::edge

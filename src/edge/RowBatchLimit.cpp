#include "edge/RowBatchLimit.h"

#include <algorithm>

namespace lacewing::edge {

void
RowBatchLimit::OnStored(std::size_t aRows)
{
  if (aRows == 0) {
    return; // says nothing about batches of progress
  }
  m_mayJoinRenewal = true;
  m_rows = std::min(m_rows * 2, kMostRows);
}

void
RowBatchLimit::OnFailed(std::size_t aRows, bool aRefused)
{
  if (aRows == 0) {
    return;
  }
  m_mayJoinRenewal = false;
  if (aRefused) {
    // Halved until the row that is refused stands alone.
    m_rows = std::max<std::size_t>(1, std::min(m_rows, aRows) / 2);
  }
}

} // namespace lacewing::edge

#include "sched/WorkerIndex.h"

#include <algorithm>
#include <cmath>

namespace lacewing::sched {

namespace {

/// Four levels for each doubling keep the loss by rounding below a fifth.
constexpr std::size_t kStepsPerDoubling = 4;
/// Amounts below this one share level 0.
constexpr std::uint64_t kSmallestAmount = 64;

/// How loosely the task would sit: free processors that are left over, and how
/// far the memory left over is from the fleet's ratio of the two. Memory
/// without processors is stranded, and so are processors without memory.
double
Looseness(const FreeTable& aTable,
          const Resources& aFree,
          const Resources& aNeed)
{
  // Parts from 0 to 1 were measured; see docs/measurements/scheduling.md.
  constexpr double kImbalancePart = 1;
  const auto cores =
    static_cast<double>(aFree.m_millicores - aNeed.m_millicores);
  const double memory =
    static_cast<double>(aFree.m_memoryMib - aNeed.m_memoryMib) /
    aTable.MibPerMillicore();
  return cores + kImbalancePart * std::abs(cores - memory);
}

/// Millicores scaled so that a whole core is a power of two and lies on the
/// lower edge of its level: workers of the level of a round request all fit.
std::int64_t
ScaledMillicores(std::int64_t aMillicores)
{
  return aMillicores * 1024 / 1000;
}

} // namespace

std::size_t
WorkerIndex::LevelOf(std::int64_t aAmount)
{
  if (aAmount < static_cast<std::int64_t>(kSmallestAmount)) {
    return 0;
  }
  const auto amount = static_cast<std::uint64_t>(aAmount);
  const std::size_t doubling = std::bit_width(amount) - 1;
  const std::size_t step = (amount >> (doubling - 2)) & 3U;
  const std::size_t first = std::bit_width(kSmallestAmount) - 1;
  const std::size_t level = 1 + (doubling - first) * kStepsPerDoubling + step;
  return std::min(level, kLevels - 1);
}

/// The fewest millicores that belong to a level of processors, rounded down.
std::int64_t
WorkerIndex::LowestMillicoresOf(std::size_t aLevel)
{
  if (aLevel == 0) {
    return 0;
  }
  const std::size_t doubling = (aLevel - 1) / kStepsPerDoubling;
  const std::size_t step = (aLevel - 1) % kStepsPerDoubling;
  const std::uint64_t lowest = (kSmallestAmount << doubling) *
                               (kStepsPerDoubling + step) / kStepsPerDoubling;
  return static_cast<std::int64_t>(lowest * 1000 / 1024);
}

std::size_t
WorkerIndex::GridOf(const FreeSlot& aSlot)
{
  // Workers without free accelerators share grid 0, whatever their kind.
  if (aSlot.m_free.m_accelerators == 0 ||
      aSlot.m_acceleratorKind == kNoAccelerator) {
    return 0;
  }
  const auto free = std::min<std::size_t>(
    static_cast<std::size_t>(aSlot.m_free.m_accelerators), kAcceleratorLevels);
  return (aSlot.m_acceleratorKind - 1) * kAcceleratorLevels + free;
}

WorkerIndex::Grid&
WorkerIndex::GridAt(std::size_t aGrid)
{
  if (aGrid >= m_grids.size()) {
    m_grids.resize(aGrid + 1);
  }
  if (!m_grids[aGrid]) {
    m_grids[aGrid] = std::make_unique<Grid>();
  }
  return *m_grids[aGrid];
}

void
WorkerIndex::Update(const FreeTable& aTable, std::uint32_t aWorker)
{
  if (aWorker >= m_positions.size()) {
    m_positions.resize(aWorker + 1);
  }
  Erase(aWorker);
  const FreeSlot& slot = aTable.Slots()[aWorker];
  if (slot.m_open) {
    Insert(slot, aWorker);
    ForgetFailuresWithin(slot);
  }
}

void
WorkerIndex::Insert(const FreeSlot& aSlot, std::uint32_t aWorker)
{
  const std::size_t row = LevelOf(ScaledMillicores(aSlot.m_free.m_millicores));
  const std::size_t column = LevelOf(aSlot.m_free.m_memoryMib);
  const std::size_t gridIndex = GridOf(aSlot);
  Grid& grid = GridAt(gridIndex);
  auto& cell = grid.m_cells[row * kLevels + column];
  m_positions[aWorker] = { static_cast<std::uint32_t>(gridIndex),
                           static_cast<std::uint16_t>(row * kLevels + column),
                           static_cast<std::uint32_t>(cell.size()) };
  cell.push_back(aWorker);
  grid.m_rows[row] |= std::uint64_t{ 1 } << column;
  grid.m_usedRows |= std::uint64_t{ 1 } << row;
}

void
WorkerIndex::Erase(std::uint32_t aWorker)
{
  Position& position = m_positions[aWorker];
  if (position.m_grid == kNone) {
    return;
  }
  Grid& grid = *m_grids[position.m_grid];
  auto& cell = grid.m_cells[position.m_cell];
  cell[position.m_place] = cell.back();
  m_positions[cell.back()].m_place = position.m_place;
  cell.pop_back();
  position.m_grid = kNone;
  if (!cell.empty()) {
    return;
  }
  const std::size_t row = position.m_cell / kLevels;
  const std::size_t column = position.m_cell % kLevels;
  grid.m_rows[row] &= ~(std::uint64_t{ 1 } << column);
  if (grid.m_rows[row] == 0) {
    grid.m_usedRows &= ~(std::uint64_t{ 1 } << row);
  }
}

void
WorkerIndex::SearchCell(const FreeTable& aTable,
                        const Request& aRequest,
                        const std::vector<std::uint32_t>& aCell,
                        Best& aBest) const
{
  std::size_t compared = 0;
  for (const std::uint32_t worker : aCell) {
    if (!aTable.Fits(worker, aRequest) || aRequest.Avoids(worker)) {
      continue;
    }
    const double looseness =
      Looseness(aTable, aTable.Slots()[worker].m_free, aRequest.m_need);
    if (aBest.m_worker == kNone || looseness < aBest.m_looseness) {
      aBest = { worker, looseness };
    }
    if (++compared == kComparedPerCell) {
      return;
    }
  }
}

void
WorkerIndex::SearchGrid(const FreeTable& aTable,
                        const Request& aRequest,
                        const Grid& aGrid,
                        Best& aBest) const
{
  const Resources& need = aRequest.m_need;
  const std::size_t firstRow = LevelOf(ScaledMillicores(need.m_millicores));
  const std::size_t firstColumn = LevelOf(need.m_memoryMib);
  std::uint64_t rows = aGrid.m_usedRows & (~std::uint64_t{ 0 } << firstRow);
  while (rows != 0) {
    const auto row = static_cast<std::size_t>(std::countr_zero(rows));
    rows &= rows - 1;
    const auto least =
      static_cast<double>(LowestMillicoresOf(row) - need.m_millicores);
    if (aBest.m_worker != kNone && least >= aBest.m_looseness) {
      return; // Nor can a later row be tighter.
    }
    std::uint64_t columns =
      aGrid.m_rows[row] & (~std::uint64_t{ 0 } << firstColumn);
    while (columns != 0) {
      const auto column = static_cast<std::size_t>(std::countr_zero(columns));
      columns &= columns - 1;
      SearchCell(
        aTable, aRequest, aGrid.m_cells[row * kLevels + column], aBest);
    }
  }
}

WorkerIndex::Best
WorkerIndex::SearchGrids(const FreeTable& aTable, const Request& aRequest) const
{
  Best best;
  // Fewest free accelerators first, so that they stay for work that needs
  // them.
  for (std::size_t free = 0; free <= kAcceleratorLevels; ++free) {
    for (std::size_t grid = free; grid < m_grids.size();
         grid += kAcceleratorLevels) {
      if (m_grids[grid]) {
        SearchGrid(aTable, aRequest, *m_grids[grid], best);
      }
      if (free == 0) {
        break;
      }
    }
    if (best.m_worker != kNone) {
      break;
    }
  }
  return best;
}

std::uint32_t
WorkerIndex::FindTightest(const FreeTable& aTable, const Request& aRequest)
{
  if (KnownNotToFit(aRequest)) {
    return kNone;
  }
  Best best = SearchGrids(aTable, aRequest);
  if (best.m_worker == kNone && !aRequest.m_avoided.empty()) {
    Request anywhere = aRequest;
    anywhere.m_avoided.clear();
    best = SearchGrids(aTable, anywhere);
  }
  if (best.m_worker == kNone) {
    Remember(aRequest);
  }
  return best.m_worker;
}

bool
WorkerIndex::KnownNotToFit(const Request& aRequest) const
{
  return std::any_of(
    m_failures.begin(), m_failures.end(), [&](const Request& aFailed) {
      return aFailed.m_need.FitsIn(aRequest.m_need) &&
             (aFailed.m_need.m_accelerators == 0 ||
              aFailed.m_acceleratorKind == aRequest.m_acceleratorKind);
    });
}

void
WorkerIndex::Remember(const Request& aRequest)
{
  if (m_failures.size() == kRememberedFailures) {
    m_failures.erase(m_failures.begin());
  }
  Request failed;
  failed.m_need = aRequest.m_need;
  failed.m_acceleratorKind = aRequest.m_acceleratorKind;
  m_failures.push_back(failed);
}

void
WorkerIndex::ForgetFailuresWithin(const FreeSlot& aSlot)
{
  std::erase_if(m_failures, [&](const Request& aFailed) {
    return aFailed.m_need.FitsIn(aSlot.m_free);
  });
}

} // namespace lacewing::sched

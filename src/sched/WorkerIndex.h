/// Index of workers by free resources. A grid of levels of free processors and
/// free memory, one grid for each number of free accelerators; the cost of a
/// lookup depends on the number of levels and not on the number of workers.
#pragma once

#include "sched/FreeTable.h"

#include <array>
#include <bit>
#include <memory>

namespace lacewing::sched {

class WorkerIndex
{
public:
  /// Files the worker under its present free resources, or takes it out if it
  /// is closed.
  void Update(const FreeTable& aTable, std::uint32_t aWorker);
  /// The worker with the fewest processors left over, unless its memory left
  /// over is out of proportion; `kNone` if nothing fits. Restrictions of the
  /// request are not looked at.
  std::uint32_t FindTightest(const FreeTable& aTable, const Request& aRequest);

private:
  static constexpr std::size_t kLevels = 64;
  /// Free accelerators above this number share a grid.
  static constexpr std::size_t kAcceleratorLevels = 8;
  /// Workers of one cell that are compared with each other.
  static constexpr std::size_t kComparedPerCell = 4;
  static constexpr std::size_t kRememberedFailures = 16;

  struct Grid
  {
    std::array<std::uint64_t, kLevels> m_rows{}; ///< non-empty cells by level
    std::uint64_t m_usedRows = 0;
    std::array<std::vector<std::uint32_t>, kLevels * kLevels> m_cells;
  };

  struct Position
  {
    std::uint32_t m_grid = kNone;
    std::uint16_t m_cell = 0;
    std::uint32_t m_place = 0;
  };

  struct Best
  {
    std::uint32_t m_worker = kNone;
    double m_looseness = 0;
  };

  static std::size_t LevelOf(std::int64_t aAmount);
  static std::int64_t LowestMillicoresOf(std::size_t aLevel);
  static std::size_t GridOf(const FreeSlot& aSlot);
  Grid& GridAt(std::size_t aGrid);
  void Insert(const FreeSlot& aSlot, std::uint32_t aWorker);
  void Erase(std::uint32_t aWorker);
  void SearchGrid(const FreeTable& aTable,
                  const Request& aRequest,
                  const Grid& aGrid,
                  Best& aBest) const;
  void SearchCell(const FreeTable& aTable,
                  const Request& aRequest,
                  const std::vector<std::uint32_t>& aCell,
                  Best& aBest) const;
  Best SearchGrids(const FreeTable& aTable, const Request& aRequest) const;
  bool KnownNotToFit(const Request& aRequest) const;
  void Remember(const Request& aRequest);
  void ForgetFailuresWithin(const FreeSlot& aSlot);

  std::vector<std::unique_ptr<Grid>> m_grids;
  std::vector<Position> m_positions; ///< by worker
  /// Requests that fit nowhere; dropped when a worker has room for them.
  std::vector<Request> m_failures;
};

} // namespace lacewing::sched

/// Amounts of the resources that a worker has and a task needs.
#pragma once

#include <algorithm>
#include <cstdint>

namespace lacewing {

/// Processors in thousandths of a core, memory in MiB, accelerators in pieces.
struct Resources
{
  std::int64_t m_millicores = 0;
  std::int64_t m_memoryMib = 0;
  std::int64_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    m_millicores += aOther.m_millicores;
    m_memoryMib += aOther.m_memoryMib;
    m_accelerators += aOther.m_accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    m_millicores -= aOther.m_millicores;
    m_memoryMib -= aOther.m_memoryMib;
    m_accelerators -= aOther.m_accelerators;
    return *this;
  }

  friend Resources operator+(Resources aLeft, const Resources& aRight)
  {
    return aLeft += aRight;
  }

  friend Resources operator-(Resources aLeft, const Resources& aRight)
  {
    return aLeft -= aRight;
  }

  /// True if each amount is at most that of the other.
  bool FitsIn(const Resources& aOther) const
  {
    return m_millicores <= aOther.m_millicores &&
           m_memoryMib <= aOther.m_memoryMib &&
           m_accelerators <= aOther.m_accelerators;
  }

  /// True if no amount is negative.
  bool IsNonNegative() const
  {
    return m_millicores >= 0 && m_memoryMib >= 0 && m_accelerators >= 0;
  }
};

} // namespace lacewing

/// The latest different values of a sequence, in bounded memory.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace lacewing {

/// Keeps the `Most` latest different values; a further one replaces the oldest.
template<typename Value, std::size_t Most>
class LatestDistinct
{
public:
  /// False if the value is there already.
  bool Add(const Value& aValue)
  {
    if (Contains(aValue)) {
      return false;
    }
    if (m_size == Most) {
      std::rotate(m_values.begin(), m_values.begin() + 1, m_values.end());
      --m_size;
    }
    m_values[m_size++] = aValue;
    return true;
  }
  /// False if the value is not there.
  bool Remove(const Value& aValue)
  {
    const auto end = m_values.begin() + m_size;
    const auto found = std::find(m_values.begin(), end, aValue);
    if (found == end) {
      return false;
    }
    std::rotate(found, found + 1, end);
    m_values[--m_size] = Value();
    return true;
  }
  bool Contains(const Value& aValue) const
  {
    const auto end = m_values.begin() + m_size;
    return std::find(m_values.begin(), end, aValue) != end;
  }
  void Clear()
  {
    m_values.fill(Value());
    m_size = 0;
  }
  std::size_t Size() const { return m_size; }

private:
  std::array<Value, Most> m_values{};
  std::size_t m_size = 0;
};

} // namespace lacewing

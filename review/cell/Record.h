/// The record of a case: what was sent, answered and run, one line each.
#pragma once

#include "core/Time.h"

#include <fstream>
#include <string>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aPath);
  /// Writes a line that begins with the milliseconds since the start.
  void Write(const std::string& aLine);
  /// Milliseconds since the start of the case.
  std::int64_t ElapsedMs() const;

private:
  std::ofstream m_out;
  lacewing::Time m_start;
};

/// Wall-clock time in milliseconds since the Unix epoch.
std::int64_t
UnixMs();

} // namespace review

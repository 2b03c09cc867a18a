#include "Record.h"

#include "net/Loop.h"

namespace review {

Record::Record(const std::string& aPath)
  : m_out(aPath)
  , m_start(lacewing::net::Loop::Now())
{
}

std::int64_t
Record::ElapsedMs() const
{
  return lacewing::ToMilliseconds(lacewing::net::Loop::Now() - m_start);
}

void
Record::Write(const std::string& aLine)
{
  m_out << ElapsedMs() << ' ' << aLine << '\n';
  m_out.flush();
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace review

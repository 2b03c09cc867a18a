#include "net/HttpMessage.h"

#include <strings.h>

namespace lacewing::net {

bool
HeaderLess::operator()(const std::string& aLeft,
                       const std::string& aRight) const
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
}

std::string
HttpRequest::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? std::string() : found->second;
}

std::string
HttpRequest::Query(const std::string& aName) const
{
  const auto found = m_query.find(aName);
  return found == m_query.end() ? std::string() : found->second;
}

std::vector<std::string>
HttpRequest::PathParts() const
{
  std::vector<std::string> parts;
  std::string part;
  for (const char letter : m_path) {
    if (letter != '/') {
      part.push_back(letter);
      continue;
    }
    if (!part.empty()) {
      parts.push_back(std::move(part));
      part.clear();
    }
  }
  if (!part.empty()) {
    parts.push_back(std::move(part));
  }
  return parts;
}

} // namespace lacewing::net

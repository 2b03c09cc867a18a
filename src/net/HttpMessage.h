/// HTTP requests and responses as values.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace lacewing::net {

/// Header names are compared without regard to case.
struct HeaderLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

using Headers = std::map<std::string, std::string, HeaderLess>;

struct HttpRequest
{
  std::string m_method; ///< "GET", "POST", "PUT" or "DELETE"
  std::string m_path;   ///< decoded path without the query
  std::map<std::string, std::string> m_query;
  Headers m_headers;
  std::string m_body;

  /// Value of a header, or an empty string.
  std::string Header(const std::string& aName) const;
  /// Value of a query parameter, or an empty string.
  std::string Query(const std::string& aName) const;
  /// Path split at '/', without empty parts.
  std::vector<std::string> PathParts() const;
};

struct HttpResponse
{
  int m_status = 200;
  Headers m_headers;
  std::string m_body;
};

} // namespace lacewing::net

/// Blocking client of the entry daemons' HTTP interface.
#pragma once

#include "net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lacewing::cli {

/// One call; the path contains the query.
struct Call
{
  std::string m_method = "GET";
  std::string m_path;
  std::string m_body;
  net::Headers m_headers;
};

class EntryClient
{
public:
  EntryClient(std::vector<net::Address> aEntries, std::string aKey);

  /// The answer's body. A call that surely did not run is tried at the next
  /// entry daemon. Errors: as in the answer, or `Unavailable`.
  Result<std::string> Text(const Call& aCall);
  /// The answer as JSON. Errors: as `Text`, and `Internal` for a body that is
  /// not JSON.
  Result<nlohmann::json> Json(const Call& aCall);
  /// The answer of one entry daemon.
  Result<nlohmann::json> JsonFrom(const net::Address& aEntry,
                                  const Call& aCall);

private:
  net::HttpOutcome Send(const net::Address& aEntry, const Call& aCall);

  net::Loop m_loop;
  net::HttpClient m_http;
  std::vector<net::Address> m_entries;
  std::string m_key;
};

} // namespace lacewing::cli

/// Stand-in for the users' row store: tables with parts, row versions,
/// conditional transactions, paged reads and a change feed.
#pragma once

#include "net/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace lacewing::standin {

/// How the store treats requests.
enum class StoreMode : std::uint8_t
{
  Works,
  Busy,           ///< responds with 503 and does nothing else
  DropsResponses, ///< applies transactions without a response
};

class PlatformStore
{
public:
  using Json = nlohmann::json;

  /// Executes a request and returns the response; empty if the store drops it.
  std::optional<net::HttpResponse> Handle(const net::HttpRequest& aRequest);
  void SetMode(StoreMode aMode) { m_mode = aMode; }
  /// Version of the last write.
  std::uint64_t Version() const { return m_version; }
  /// Drops the history of changes before the current version.
  void Compact() { m_oldestChange = m_version; }
  /// Writes a row, as an operator or a worker would.
  void Put(const std::string& aTable,
           const std::string& aName,
           const std::string& aValue);
  /// Number of rows of a table that are not deleted.
  std::size_t RowsOf(const std::string& aTable) const;

private:
  struct Row
  {
    std::string m_value; ///< base64
    std::uint64_t m_version = 0;
    bool m_deleted = false;
  };
  /// Table, part and name.
  using Key = std::tuple<std::string, std::string, std::string>;

  static Key KeyOf(const Json& aRow);
  static Json RowOf(const Key& aKey, const Row& aRow);
  net::HttpResponse Apply(const Json& aBody);
  net::HttpResponse Page(const net::HttpRequest& aRequest) const;
  net::HttpResponse Changes(const net::HttpRequest& aRequest) const;

  std::map<Key, Row> m_rows;
  std::uint64_t m_version = 1;
  std::uint64_t m_oldestChange = 0;
  StoreMode m_mode = StoreMode::Works;
};

} // namespace lacewing::standin

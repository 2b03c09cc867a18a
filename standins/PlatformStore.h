/// Stand-in for the users' store of rows: tables with parts, versions,
/// transactions under conditions, pages and a feed of changes.
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

/// What the store does with calls.
enum class StoreMode : std::uint8_t
{
  Works,
  Busy,        ///< answers 503 and does nothing
  LosesAnswer, ///< applies transactions and does not answer them
};

class PlatformStore
{
public:
  using Json = nlohmann::json;

  /// The answer to a call of the store; nothing if it is not answered.
  std::optional<net::HttpResponse> Handle(const net::HttpRequest& aRequest);
  void SetMode(StoreMode aMode) { m_mode = aMode; }
  /// Forgets the changes before the present version.
  void Compact() { m_oldestChange = m_version; }
  /// Writes a row as an operator or a worker.
  void Put(const std::string& aTable,
           const std::string& aName,
           const std::string& aValue);
  /// Rows of a table that are not deleted.
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

/// Stand-in for the platform's store of rows, with the limits of PROTOCOL.md:
/// one part a transaction, 100 entries, 1 MB, 64 kB a row, 5 ms a transaction,
/// one after the other in each part.
#pragma once

#include "Record.h"
#include "net/HttpServer.h"
#include "net/Loop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// What becomes of a transaction.
struct WriteFate
{
  bool m_answered = true;
  /// When it is applied, after its arrival.
  lacewing::Duration m_delay = lacewing::milliseconds(5);
};

class Store
{
public:
  Store(lacewing::net::Loop& aLoop,
        Record& aRecord,
        lacewing::net::Address aAddress);

  bool Listen();
  const lacewing::net::Address& At() const { return m_address; }
  /// Writes a row with an empty part, as the operator or a worker does.
  void Put(const std::string& aTable,
           const std::string& aName,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aName);
  /// The decoded value of a row.
  std::optional<std::string> Value(const std::string& aTable,
                                   const std::string& aPart,
                                   const std::string& aName) const;
  /// While the store is down it answers with 503 and does nothing.
  void SetDown(bool aDown) { m_down = aDown; }
  void SetFate(std::function<WriteFate(const Json& aTransaction)> aFate)
  {
    m_fate = std::move(aFate);
  }
  std::size_t TooLarge() const { return m_tooLarge; }

private:
  /// Table, part and name.
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string m_value; ///< base64
    std::uint64_t m_version = 0;
    bool m_deleted = false;
  };
  struct Waiting
  {
    std::string m_table;
    std::uint64_t m_after = 0;
    lacewing::net::HttpReply m_reply;
  };

  static Key KeyOf(const Json& aRow);
  Json RowOf(const Key& aKey, const Row& aRow) const;
  void Handle(const lacewing::net::HttpRequest& aRequest,
              const lacewing::net::HttpReply& aReply);
  void Transact(const std::string& aBody,
                const lacewing::net::HttpReply& aReply);
  /// An error of the request; empty if it is valid.
  std::string Invalid(const std::string& aBody, const Json& aTransaction);
  lacewing::net::HttpResponse Apply(const Json& aTransaction);
  lacewing::net::HttpResponse Page(
    const lacewing::net::HttpRequest& aRequest) const;
  void Watch(const lacewing::net::HttpRequest& aRequest,
             const lacewing::net::HttpReply& aReply);
  lacewing::net::HttpResponse Changes(const std::string& aTable,
                                      std::uint64_t aAfter) const;
  bool HasChanges(const std::string& aTable, std::uint64_t aAfter) const;
  void Set(const Key& aKey, std::string aValue, bool aDeleted);
  void Notify();

  lacewing::net::Loop& m_loop;
  Record& m_record;
  lacewing::net::Address m_address;
  std::unique_ptr<lacewing::net::HttpServer> m_server;
  std::map<Key, Row> m_rows;
  /// The newest change of each row, by table and version.
  std::map<std::string, std::map<std::pair<std::uint64_t, Key>, bool>>
    m_changes;
  std::map<std::uint64_t, Waiting> m_waiting;
  std::uint64_t m_nextWaiting = 1;
  std::map<std::string, lacewing::Time> m_partFreeAt;
  std::uint64_t m_version = 1;
  bool m_down = false;
  std::size_t m_tooLarge = 0;
  std::function<WriteFate(const Json&)> m_fate;
};

} // namespace review

#include "Store.h"

#include <openssl/evp.h>

#include <algorithm>

namespace review {

namespace {

using lacewing::Duration;
using lacewing::milliseconds;
using lacewing::Time;
using lacewing::net::HttpReply;
using lacewing::net::HttpRequest;
using lacewing::net::HttpResponse;
using lacewing::net::JsonResponse;
using lacewing::net::Loop;

constexpr std::size_t kMaxCallBytes = 1024 * 1024;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRowBytes = 65536;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kPageRows = 500;
constexpr Duration kReadTime = milliseconds(2);
constexpr Duration kLongestQueue = milliseconds(1000);

std::string
ToBase64(const std::string& aText)
{
  std::string result(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()), // NOLINT
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  result.resize(static_cast<std::size_t>(length));
  return result;
}

std::string
FromBase64(const std::string& aText)
{
  std::string result(aText.size() / 4 * 3, '\0');
  EVP_DecodeBlock(reinterpret_cast<unsigned char*>(result.data()), // NOLINT
                  reinterpret_cast<const unsigned char*>(aText.data()),
                  static_cast<int>(aText.size()));
  for (std::size_t back = 1; back <= 2 && back <= aText.size(); ++back) {
    if (aText[aText.size() - back] == '=') {
      result.pop_back();
    }
  }
  return result;
}

const std::vector<const char*>&
EntryLists()
{
  static const std::vector<const char*> lists = { "expected_rev",
                                                  "writes",
                                                  "remove" };
  return lists;
}

} // namespace

Store::Store(Loop& aLoop, Record& aRecord, lacewing::net::Address aAddress)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_address(std::move(aAddress))
{
  lacewing::net::HttpServerLimits limits;
  limits.m_maxBodyBytes = 16 * kMaxCallBytes;
  m_server = std::make_unique<lacewing::net::HttpServer>(
    aLoop, limits, [this](const auto& aRequest, const auto& aReply) {
      Handle(aRequest, aReply);
    });
}

bool
Store::Listen()
{
  return static_cast<bool>(m_server->Listen(m_address));
}

Store::Key
Store::KeyOf(const Json& aRow)
{
  return { aRow.at("table").get<std::string>(),
           aRow.value("part", std::string()),
           aRow.at("key").get<std::string>() };
}

Json
Store::RowOf(const Key& aKey, const Row& aRow) const
{
  Json row = { { "table", std::get<0>(aKey) },
               { "part", std::get<1>(aKey) },
               { "key", std::get<2>(aKey) },
               { "ver", aRow.m_version } };
  if (aRow.m_deleted) {
    row["deleted"] = true;
  } else {
    row["value"] = aRow.m_value;
  }
  return row;
}

void
Store::Set(const Key& aKey, std::string aValue, bool aDeleted)
{
  Row& row = m_rows[aKey];
  auto& changes = m_changes[std::get<0>(aKey)];
  changes.erase({ row.m_version, aKey });
  row = { std::move(aValue), m_version, aDeleted };
  changes[{ m_version, aKey }] = true;
}

void
Store::Put(const std::string& aTable,
           const std::string& aName,
           const std::string& aValue)
{
  ++m_version;
  Set({ aTable, "", aName }, ToBase64(aValue), false);
  Notify();
}

void
Store::Remove(const std::string& aTable, const std::string& aName)
{
  const auto it = m_rows.find({ aTable, "", aName });
  if (it == m_rows.end() || it->second.m_deleted) {
    return;
  }
  ++m_version;
  Set({ aTable, "", aName }, {}, true);
  Notify();
}

std::optional<std::string>
Store::Value(const std::string& aTable,
             const std::string& aPart,
             const std::string& aName) const
{
  const auto it = m_rows.find({ aTable, aPart, aName });
  if (it == m_rows.end() || it->second.m_deleted) {
    return std::nullopt;
  }
  return FromBase64(it->second.m_value);
}

void
Store::Handle(const HttpRequest& aRequest, const HttpReply& aReply)
{
  if (m_down) {
    m_loop.After(kReadTime, [aReply] { aReply(JsonResponse(503, "{}")); });
    return;
  }
  if (aRequest.m_path == "/api/rows-tx") {
    Transact(aRequest.m_body, aReply);
  } else if (aRequest.m_path == "/api/rows-get") {
    m_loop.After(kReadTime,
                 [this, aRequest, aReply] { aReply(Page(aRequest)); });
  } else if (aRequest.m_path == "/api/rows-feed") {
    Watch(aRequest, aReply);
  } else {
    aReply(JsonResponse(404, "{}"));
  }
}

std::string
Store::Invalid(const std::string& aBody, const Json& aTransaction)
{
  if (aBody.size() > kMaxCallBytes) {
    ++m_tooLarge;
    return "a call holds at most 1 MB";
  }
  std::size_t entries = 0;
  std::optional<std::string> part;
  for (const char* list : EntryLists()) {
    for (const Json& row : aTransaction.value(list, Json::array())) {
      ++entries;
      const Key key = KeyOf(row);
      if (part && *part != std::get<1>(key)) {
        return "all entries share a single part";
      }
      part = std::get<1>(key);
      if (std::get<2>(key).size() > kMaxNameBytes) {
        return "a key has at most 200 bytes";
      }
      if (std::string(list) != "expected_rev" &&
          (std::get<0>(key) == "op" || std::get<0>(key) == "servers")) {
        return "table of the platform";
      }
      if (row.value("value", std::string()).size() > kMaxRowBytes / 3 * 4 + 4) {
        ++m_tooLarge;
        return "a value has at most 64 kB";
      }
    }
  }
  return entries > kMaxEntries ? "a call holds at most 100 entries" : "";
}

void
Store::Transact(const std::string& aBody, const HttpReply& aReply)
{
  const Json transaction = Json::parse(aBody);
  if (const std::string error = Invalid(aBody, transaction); !error.empty()) {
    m_record.Write("store refuses a transaction of " +
                   std::to_string(aBody.size()) + " bytes: " + error);
    m_loop.After(kReadTime, [aReply] { aReply(JsonResponse(413, "{}")); });
    return;
  }
  std::string part;
  for (const char* list : EntryLists()) {
    for (const Json& row : transaction.value(list, Json::array())) {
      part = std::get<1>(KeyOf(row));
    }
  }
  const WriteFate fate = m_fate ? m_fate(transaction) : WriteFate{};
  if (!fate.m_answered) {
    m_loop.After(fate.m_delay, [this, transaction] { Apply(transaction); });
    return;
  }
  const Time now = Loop::Now();
  Time& freeAt = m_partFreeAt[part];
  const Time begin = std::max(now, freeAt);
  if (begin > now + kLongestQueue) {
    aReply(JsonResponse(429, "{}"));
    return;
  }
  freeAt = begin + fate.m_delay;
  m_loop.After(freeAt - now,
               [this, transaction, aReply] { aReply(Apply(transaction)); });
}

HttpResponse
Store::Apply(const Json& aTransaction)
{
  Json current = Json::array();
  for (const Json& expected : aTransaction.value("expected_rev", Json())) {
    const auto it = m_rows.find(KeyOf(expected));
    const bool absent = it == m_rows.end() || it->second.m_deleted;
    const std::uint64_t present = absent ? 0 : it->second.m_version;
    if (present != expected.at("ver").get<std::uint64_t>()) {
      if (!absent) {
        current.push_back(RowOf(it->first, it->second));
      }
      return JsonResponse(412, Json{ { "rows", current } }.dump());
    }
  }
  ++m_version;
  for (const Json& write : aTransaction.value("writes", Json::array())) {
    Set(KeyOf(write), write.at("value").get<std::string>(), false);
  }
  for (const Json& removed : aTransaction.value("remove", Json::array())) {
    Set(KeyOf(removed), {}, true);
  }
  Notify();
  return JsonResponse(
    200,
    Json{ { "ver", m_version }, { "now_ms", m_record.ElapsedMs() } }.dump());
}

HttpResponse
Store::Page(const HttpRequest& aRequest) const
{
  Json rows = Json::array();
  bool more = false;
  const std::string limit = aRequest.Query("limit");
  const std::size_t most =
    limit.empty() ? kPageRows : std::min(kPageRows, std::stoul(limit));
  std::size_t bytes = 0;
  const Key from{ aRequest.Query("table"),
                  aRequest.Query("part"),
                  aRequest.Query("from") };
  const std::string target = aRequest.Query("target");
  for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
    if (std::get<0>(it->first) != std::get<0>(from) ||
        std::get<1>(it->first) != std::get<1>(from) ||
        (!target.empty() && std::get<2>(it->first) >= target)) {
      break;
    }
    if (it->second.m_deleted) {
      continue;
    }
    if (rows.size() == most || bytes > kMaxCallBytes) {
      more = true;
      break;
    }
    bytes += it->second.m_value.size();
    rows.push_back(RowOf(it->first, it->second));
  }
  return JsonResponse(200,
                      Json{ { "rows", std::move(rows) },
                            { "has_more", more },
                            { "ver", m_version },
                            { "now_ms", m_record.ElapsedMs() } }
                        .dump());
}

bool
Store::HasChanges(const std::string& aTable, std::uint64_t aAfter) const
{
  const auto table = m_changes.find(aTable);
  return table != m_changes.end() && !table->second.empty() &&
         table->second.rbegin()->first.first > aAfter;
}

HttpResponse
Store::Changes(const std::string& aTable, std::uint64_t aAfter) const
{
  Json rows = Json::array();
  if (const auto table = m_changes.find(aTable); table != m_changes.end()) {
    for (auto it = table->second.upper_bound(
           { aAfter + 1, Key{ std::string(), std::string(), std::string() } });
         it != table->second.end();
         ++it) {
      const Key& key = it->first.second;
      rows.push_back(RowOf(key, m_rows.at(key)));
    }
  }
  return JsonResponse(200,
                      Json{ { "rows", std::move(rows) },
                            { "ver", m_version },
                            { "now_ms", m_record.ElapsedMs() } }
                        .dump());
}

void
Store::Watch(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const std::string table = aRequest.Query("table");
  const std::uint64_t after = std::stoull(aRequest.Query("after"));
  const std::string wait = aRequest.Query("wait_ms");
  const Duration longest = milliseconds(wait.empty() ? 0 : std::stoll(wait));
  if (longest <= Duration::zero() || HasChanges(table, after)) {
    m_loop.After(kReadTime, [this, table, after, aReply] {
      aReply(Changes(table, after));
    });
    return;
  }
  const std::uint64_t number = m_nextWaiting++;
  m_waiting[number] = { table, after, aReply };
  m_loop.After(longest, [this, number] {
    const auto waiting = m_waiting.extract(number);
    if (!waiting.empty()) {
      const Waiting& entry = waiting.mapped();
      entry.m_reply(Changes(entry.m_table, entry.m_after));
    }
  });
}

void
Store::Notify()
{
  std::vector<std::uint64_t> ready;
  for (const auto& [number, entry] : m_waiting) {
    if (HasChanges(entry.m_table, entry.m_after)) {
      ready.push_back(number);
    }
  }
  for (const std::uint64_t number : ready) {
    const auto waiting = m_waiting.extract(number);
    const Waiting& entry = waiting.mapped();
    entry.m_reply(Changes(entry.m_table, entry.m_after));
  }
}

} // namespace review

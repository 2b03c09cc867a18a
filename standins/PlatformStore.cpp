#include "PlatformStore.h"

#include "net/HttpServer.h"

#include <openssl/evp.h>

#include <algorithm>

namespace lacewing::standin {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kHistoryTruncated = 410;
constexpr int kConditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr std::size_t kPageRows = 500;

std::string
Base64(const std::string& aText)
{
  std::string result(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()), // NOLINT
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  result.resize(static_cast<std::size_t>(length));
  return result;
}

} // namespace

PlatformStore::Key
PlatformStore::KeyOf(const Json& aRow)
{
  return { aRow.at("table").get<std::string>(),
           aRow.value("part", std::string()),
           aRow.at("key").get<std::string>() };
}

PlatformStore::Json
PlatformStore::RowOf(const Key& aKey, const Row& aRow)
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
PlatformStore::Put(const std::string& aTable,
                   const std::string& aName,
                   const std::string& aValue)
{
  m_rows[{ aTable, "", aName }] = { Base64(aValue), ++m_version, false };
}

std::size_t
PlatformStore::RowsOf(const std::string& aTable) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_rows, [&](const auto& aItem) {
      return std::get<0>(aItem.first) == aTable && !aItem.second.m_deleted;
    }));
}

std::optional<net::HttpResponse>
PlatformStore::Handle(const net::HttpRequest& aRequest)
{
  if (m_mode == StoreMode::Busy) {
    return net::JsonResponse(kUnavailable, "{}");
  }
  if (aRequest.m_path == "/api/rows-tx") {
    const net::HttpResponse answer = Apply(Json::parse(aRequest.m_body));
    if (m_mode == StoreMode::DropsResponses) {
      return std::nullopt;
    }
    return answer;
  }
  if (aRequest.m_path == "/api/rows-get") {
    return Page(aRequest);
  }
  if (aRequest.m_path == "/api/rows-feed") {
    return Changes(aRequest);
  }
  return net::JsonResponse(kNotFound, "{}");
}

net::HttpResponse
PlatformStore::Apply(const Json& aBody)
{
  bool conflict = false;
  Json current = Json::array();
  for (const Json& expected : aBody.at("expected_rev")) {
    const auto it = m_rows.find(KeyOf(expected));
    const bool absent = it == m_rows.end() || it->second.m_deleted;
    const std::uint64_t present = absent ? 0 : it->second.m_version;
    conflict = conflict || present != expected.at("ver").get<std::uint64_t>();
    if (!absent) {
      current.push_back(RowOf(it->first, it->second));
    }
  }
  if (conflict) {
    return net::JsonResponse(kConditionFailed,
                             Json{ { "rows", std::move(current) } }.dump());
  }
  ++m_version;
  for (const Json& write : aBody.at("writes")) {
    m_rows[KeyOf(write)] = { write.at("value").get<std::string>(),
                             m_version,
                             false };
  }
  for (const Json& removed : aBody.at("remove")) {
    m_rows[KeyOf(removed)] = { {}, m_version, true };
  }
  return net::JsonResponse(
    kOk, Json{ { "ver", m_version }, { "now_ms", 1 } }.dump());
}

net::HttpResponse
PlatformStore::Page(const net::HttpRequest& aRequest) const
{
  Json rows = Json::array();
  bool more = false;
  const std::string limit = aRequest.Query("limit");
  const std::size_t most = limit.empty() ? kPageRows : std::stoul(limit);
  const Key from{ aRequest.Query("table"),
                  aRequest.Query("part"),
                  aRequest.Query("from") };
  for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
    const bool inPart = std::get<0>(it->first) == std::get<0>(from) &&
                        std::get<1>(it->first) == std::get<1>(from);
    if (!inPart) {
      break;
    }
    if (rows.size() == most) {
      more = true;
      break;
    }
    if (!it->second.m_deleted) {
      rows.push_back(RowOf(it->first, it->second));
    }
  }
  return net::JsonResponse(kOk,
                           Json{ { "rows", std::move(rows) },
                                 { "has_more", more },
                                 { "ver", m_version },
                                 { "now_ms", 1 } }
                             .dump());
}

net::HttpResponse
PlatformStore::Changes(const net::HttpRequest& aRequest) const
{
  const std::uint64_t after = std::stoull(aRequest.Query("after"));
  if (after < m_oldestChange) {
    return net::JsonResponse(kHistoryTruncated, "{}");
  }
  std::vector<std::pair<std::uint64_t, Json>> changed;
  for (const auto& [key, row] : m_rows) {
    if (std::get<0>(key) == aRequest.Query("table") && row.m_version > after) {
      changed.emplace_back(row.m_version, RowOf(key, row));
    }
  }
  std::ranges::sort(changed, {}, [](const auto& aOne) { return aOne.first; });
  Json rows = Json::array();
  for (auto& [version, row] : changed) {
    rows.push_back(std::move(row));
  }
  return net::JsonResponse(
    kOk,
    Json{ { "rows", std::move(rows) }, { "ver", m_version }, { "now_ms", 1 } }
      .dump());
}

} // namespace lacewing::standin

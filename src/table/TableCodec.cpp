#include "table/TableCodec.h"

#include <nlohmann/json.hpp>

namespace lacewing::table {

namespace {

using Json = nlohmann::json;

/// Runs a decoder and turns the JSON library's exceptions into results.
template<typename Decode>
auto
Guarded(const std::string& aBody, Decode aDecode)
  -> Result<decltype(aDecode(Json()))>
{
  try {
    return aDecode(Json::parse(aBody));
  } catch (const Json::exception& error) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                std::string("table message is malformed: ") + error.what());
  }
}

} // namespace

std::string
EncodeCommit(const Commit& aCommit)
{
  Json body = { { "checks", Json::array() },
                { "puts", Json::array() },
                { "deletes", aCommit.m_deletes } };
  for (const Check& check : aCommit.m_checks) {
    body["checks"].push_back(
      { { "key", check.m_key }, { "version", check.m_version } });
  }
  for (const Put& put : aCommit.m_puts) {
    body["puts"].push_back({ { "key", put.m_key }, { "value", put.m_value } });
  }
  return body.dump();
}

std::string
EncodeRead(const Read& aRead)
{
  const Json body = { { "keys", aRead.m_keys },
                      { "prefixes", aRead.m_prefixes } };
  return body.dump();
}

std::string
EncodeCommitResult(const CommitResult& aResult)
{
  const Json body = { { "state", NameOf(aResult.m_state) },
                      { "version", aResult.m_version },
                      { "conflicts", aResult.m_conflicts } };
  return body.dump();
}

std::string
EncodeReadResult(const ReadResult& aResult)
{
  Json rows = Json::array();
  for (const auto& [key, row] : aResult.m_rows) {
    rows.push_back({ { "key", key },
                     { "value", row.m_value },
                     { "version", row.m_version } });
  }
  const Json body = { { "rows", rows } };
  return body.dump();
}

Result<Commit>
DecodeCommit(const std::string& aBody)
{
  return Guarded(aBody, [](const Json& aJson) {
    Commit commit;
    for (const Json& check : aJson.at("checks")) {
      commit.m_checks.push_back({ check.at("key").get<std::string>(),
                                  check.at("version").get<RowVersion>() });
    }
    for (const Json& put : aJson.at("puts")) {
      commit.m_puts.push_back({ put.at("key").get<std::string>(),
                                put.at("value").get<std::string>() });
    }
    commit.m_deletes = aJson.at("deletes").get<std::vector<std::string>>();
    return commit;
  });
}

Result<Read>
DecodeRead(const std::string& aBody)
{
  return Guarded(aBody, [](const Json& aJson) {
    Read read;
    read.m_keys = aJson.at("keys").get<std::vector<std::string>>();
    read.m_prefixes = aJson.at("prefixes").get<std::vector<std::string>>();
    return read;
  });
}

Result<CommitResult>
DecodeCommitResult(const std::string& aBody)
{
  return Guarded(aBody, [](const Json& aJson) {
    CommitResult result;
    const auto state =
      ParseName<CommitState>(aJson.at("state").get<std::string>());
    result.m_state = state.value_or(CommitState::Unknown);
    result.m_version = aJson.at("version").get<RowVersion>();
    result.m_conflicts = aJson.at("conflicts").get<std::vector<std::string>>();
    return result;
  });
}

Result<ReadResult>
DecodeReadResult(const std::string& aBody)
{
  return Guarded(aBody, [](const Json& aJson) {
    ReadResult result;
    for (const Json& row : aJson.at("rows")) {
      result.m_rows[row.at("key").get<std::string>()] =
        Row{ row.at("value").get<std::string>(),
             row.at("version").get<RowVersion>() };
    }
    result.m_ok = true;
    return result;
  });
}

} // namespace lacewing::table

#include "table/TableCodec.h"

#include "core/JsonFields.h"

namespace lacewing::table {

namespace {

using Json = nlohmann::json;

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
  Json body = { { "keys", aRead.m_keys }, { "prefixes", aRead.m_prefixes } };
  if (aRead.m_page) {
    body["after"] = aRead.m_page->m_after;
    body["limit"] = aRead.m_page->m_limit;
  }
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
  Json body = { { "rows", rows } };
  if (aResult.m_more) {
    body["more"] = true;
  }
  return body.dump();
}

Result<Commit>
DecodeCommit(const std::string& aBody)
{
  return DecodeJson("table message", aBody, [](const Json& aJson) {
    Commit commit;
    for (const Json& check : ArrayField(aJson, "checks")) {
      commit.m_checks.push_back({ TypedField<std::string>(check, "key"),
                                  NumberField<RowVersion>(check, "version") });
    }
    for (const Json& put : ArrayField(aJson, "puts")) {
      commit.m_puts.push_back({ TypedField<std::string>(put, "key"),
                                TypedField<std::string>(put, "value") });
    }
    commit.m_deletes = TypedField<std::vector<std::string>>(aJson, "deletes");
    return commit;
  });
}

Result<Read>
DecodeRead(const std::string& aBody)
{
  return DecodeJson("table message", aBody, [](const Json& aJson) {
    Read read;
    read.m_keys = TypedField<std::vector<std::string>>(aJson, "keys");
    read.m_prefixes = TypedField<std::vector<std::string>>(aJson, "prefixes");
    if (aJson.contains("after") || aJson.contains("limit")) {
      read.m_page = Page{ TypedField<std::string>(aJson, "after"),
                          NumberField<std::size_t>(aJson, "limit", 1) };
      if (read.m_prefixes.size() != 1 || !read.m_keys.empty()) {
        ThrowBadField(
          "prefixes", aJson.at("prefixes"), "one prefix and no key for a page");
      }
    }
    return read;
  });
}

Result<CommitResult>
DecodeCommitResult(const std::string& aBody)
{
  return DecodeJson("table message", aBody, [](const Json& aJson) {
    CommitResult result;
    const auto state =
      ParseName<CommitState>(TypedField<std::string>(aJson, "state"));
    if (!state) {
      ThrowBadField("state", aJson.at("state"), "the name of a commit state");
    }
    result.m_state = *state;
    result.m_version = NumberField<RowVersion>(aJson, "version");
    result.m_conflicts =
      TypedField<std::vector<std::string>>(aJson, "conflicts");
    return result;
  });
}

Result<ReadResult>
DecodeReadResult(const std::string& aBody)
{
  return DecodeJson("table message", aBody, [](const Json& aJson) {
    ReadResult result;
    for (const Json& row : ArrayField(aJson, "rows")) {
      result.m_rows[TypedField<std::string>(row, "key")] =
        Row{ TypedField<std::string>(row, "value"),
             NumberField<RowVersion>(row, "version") };
    }
    if (aJson.contains("more")) {
      result.m_more = TypedField<bool>(aJson, "more");
    }
    result.m_ok = true;
    return result;
  });
}

} // namespace lacewing::table

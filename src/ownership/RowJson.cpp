#include "ownership/RowJson.h"

namespace lacewing::ownership {

RowReader::RowReader(const std::string& aText, std::string aWhat)
  : m_what(std::move(aWhat))
  , m_json(nlohmann::json::parse(aText, nullptr, false))
{
  if (!m_json.is_object()) {
    Reject("is not a JSON object");
  }
}

std::string
RowReader::Text(const char* aField)
{
  const auto* value = Find(aField);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Reject(std::string("field ") + aField + " is not a string");
    return {};
  }
  return value->get<std::string>();
}

std::uint64_t
RowReader::Unsigned(const char* aField)
{
  const auto* value = Find(aField);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_unsigned()) {
    Reject(std::string("field ") + aField + " is not an unsigned integer");
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::int64_t
RowReader::Signed(const char* aField)
{
  const auto* value = Find(aField);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_integer()) {
    Reject(std::string("field ") + aField + " is not an integer");
    return 0;
  }
  return value->get<std::int64_t>();
}

bool
RowReader::Flag(const char* aField)
{
  const auto* value = Find(aField);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    Reject(std::string("field ") + aField + " is not a boolean");
    return false;
  }
  return value->get<bool>();
}

std::map<std::string, std::int64_t>
RowReader::Amounts(const char* aField)
{
  std::map<std::string, std::int64_t> amounts;
  const auto* value = Find(aField);
  if (value == nullptr) {
    return amounts;
  }
  if (!value->is_object()) {
    Reject(std::string("field ") + aField + " is not an object");
    return amounts;
  }
  for (const auto& [name, amount] : value->items()) {
    if (!amount.is_number_integer() || amount.get<std::int64_t>() < 0) {
      Reject(std::string("field ") + aField + "." + name +
             " is not a non-negative integer");
      continue;
    }
    amounts[name] = amount.get<std::int64_t>();
  }
  return amounts;
}

bool
RowReader::Complete()
{
  if (m_reason.empty() && m_json.size() != m_fields) {
    Reject("has unknown fields");
  }
  return m_reason.empty();
}

leaf::error_id
RowReader::Failure() const
{
  return Fail(Verdict::NotRun, ErrorCode::BadInput, m_what + " " + m_reason);
}

const nlohmann::json*
RowReader::Find(const char* aField)
{
  if (!m_reason.empty()) {
    return nullptr;
  }
  const auto found = m_json.find(aField);
  if (found == m_json.end()) {
    Reject(std::string("lacks field ") + aField);
    return nullptr;
  }
  ++m_fields;
  return &*found;
}

void
RowReader::Reject(const std::string& aReason)
{
  if (m_reason.empty()) {
    m_reason = aReason;
  }
}

} // namespace lacewing::ownership

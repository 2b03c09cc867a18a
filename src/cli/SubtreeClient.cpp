#include "cli/SubtreeClient.h"

namespace lacewing::cli {

namespace {

/// Attempts of an edit against changes by other operators.
constexpr int kMaxEditAttempts = 5;

Call
SubtreeCall(const std::string& aMethod, const Subtree& aSubtree)
{
  Call call;
  call.m_method = aMethod;
  call.m_path = "/v1/settings/" + aSubtree.m_name;
  call.m_body = aSubtree.m_text;
  call.m_headers["If-Match"] = std::to_string(aSubtree.m_version);
  return call;
}

Result<std::uint64_t>
EditOnce(EntryClient& aClient,
         const std::string& aName,
         const std::function<Result<std::string>(const std::string&)>& aEdit)
{
  BOOST_LEAF_AUTO(subtree, FetchSubtree(aClient, aName));
  if (subtree.m_version == 0) {
    return Fail(Verdict::NotRun,
                ErrorCode::NotFound,
                "there is no subtree '" + aName + "' in the settings");
  }
  BOOST_LEAF_ASSIGN(subtree.m_text, aEdit(subtree.m_text));
  return ReplaceSubtree(aClient, subtree);
}

} // namespace

Result<Subtree>
FetchSubtree(EntryClient& aClient, const std::string& aName)
{
  return leaf::try_handle_some(
    [&]() -> Result<Subtree> {
      Call call;
      call.m_path = "/v1/settings/" + aName;
      BOOST_LEAF_AUTO(body, aClient.Json(call));
      return Subtree{ aName,
                      body.value("version", std::uint64_t{ 0 }),
                      body.value("text", "") };
    },
    // The same id is returned: LEAF hands the handled error on under it, and a
    // new error of the same type would be overwritten.
    [&](const leaf::error_info& aInfo, const Error& aError) -> Result<Subtree> {
      if (aError.m_code == ErrorCode::NotFound) {
        return Subtree{ aName, 0, "" };
      }
      return aInfo.error();
    });
}

Result<std::uint64_t>
ReplaceSubtree(EntryClient& aClient, const Subtree& aSubtree)
{
  BOOST_LEAF_AUTO(body, aClient.Json(SubtreeCall("PUT", aSubtree)));
  return body.value("version", std::uint64_t{ 0 });
}

Result<std::uint64_t>
EditSubtree(EntryClient& aClient,
            const std::string& aName,
            const std::function<Result<std::string>(const std::string&)>& aEdit)
{
  for (int attempt = 1; attempt < kMaxEditAttempts; ++attempt) {
    bool conflict = false;
    auto result =
      leaf::try_handle_some([&] { return EditOnce(aClient, aName, aEdit); },
                            [&](const leaf::error_info& aInfo,
                                const Error& aError) -> Result<std::uint64_t> {
                              conflict = aError.m_code == ErrorCode::Conflict;
                              return aInfo.error();
                            });
    if (!conflict) {
      return result;
    }
  }
  return EditOnce(aClient, aName, aEdit);
}

} // namespace lacewing::cli

#include "settings/Bootstrap.h"

namespace lacewing::settings {

namespace {

/// An address that the schema has already accepted.
net::Address
AddressOf(const CheckedText& aText, const char* aSection, const char* aKey)
{
  return leaf::try_handle_all(
    [&] { return net::ParseAddress(aText.Get(aSection, aKey)); },
    [] { return net::Address(); });
}

/// The advertised address, or the given one if none is set.
net::Address
AdvertisedOr(const CheckedText& aText,
             const char* aKey,
             const net::Address& aDefault)
{
  return aText.Has("advertise", aKey) ? AddressOf(aText, "advertise", aKey)
                                      : aDefault;
}

AdvertisedAddresses
AdvertisedOf(const CheckedText& aText)
{
  AdvertisedAddresses addresses;
  addresses.m_callers =
    AdvertisedOr(aText, "callers", AddressOf(aText, "listen", "callers"));
  addresses.m_peers =
    AdvertisedOr(aText, "peers", AddressOf(aText, "listen", "peers"));
  addresses.m_peersOfOtherRegions =
    AdvertisedOr(aText, "peers_of_other_regions", addresses.m_peers);
  return addresses;
}

/// Others cannot connect to a wildcard address, so that another one must be
/// advertised.
void
CheckAdvertised(const std::string& aFile,
                const CheckedText& aText,
                const char* aKey,
                std::vector<SettingError>& aErrors)
{
  if (!aText.Has("listen", aKey) || aText.Has("advertise", aKey)) {
    return;
  }
  const net::Address listen = AddressOf(aText, "listen", aKey);
  if (listen.IsWildcard()) {
    aErrors.push_back({ aFile,
                        0,
                        "advertise",
                        aKey,
                        "",
                        "missing; nobody can connect to " + listen.ToString() +
                          ", the address of [listen] " + aKey });
  }
}

Bootstrap
FromText(const CheckedText& aText)
{
  Bootstrap boot;
  boot.m_vm = VmId(aText.Get("process", "vm"));
  boot.m_region = RegionId(aText.Get("process", "region"));
  boot.m_domain = DomainId(aText.Get("process", "domain"));
  boot.m_cluster = aText.Get("process", "cluster");
  boot.m_callers = AddressOf(aText, "listen", "callers");
  boot.m_peers = AddressOf(aText, "listen", "peers");
  boot.m_advertised = AdvertisedOf(aText);
  boot.m_table = AddressOf(aText, "platform", "table");
  boot.m_objects = AddressOf(aText, "platform", "objects");
  boot.m_vmList = AddressOf(aText, "platform", "vm_list");
  boot.m_clusterSecret = aText.Get("secrets", "cluster_secret");
  boot.m_clusterSecretFile = aText.Get("secrets", "cluster_secret_file");
  boot.m_adminKeyDigest = aText.Get("secrets", "admin_key_digest");
  boot.m_logFormat =
    ParseName<LogFormat>(aText.Get("log", "format")).value_or(LogFormat::Json);
  boot.m_logLevel =
    ParseName<LogLevel>(aText.Get("log", "level")).value_or(LogLevel::Info);
  return boot;
}

} // namespace

std::string
BootstrapResult::ErrorText() const
{
  std::string text;
  for (const SettingError& error : m_errors) {
    text += (text.empty() ? "" : "\n") + error.ToString();
  }
  return text;
}

BootstrapResult
ParseBootstrap(const std::string& aFile, const std::string& aText)
{
  IniResult ini = ParseIni(Scope::Bootstrap, aFile, aText);
  BootstrapResult result;
  result.m_errors = std::move(ini.m_errors);
  CheckAdvertised(aFile, ini.m_text, "callers", result.m_errors);
  CheckAdvertised(aFile, ini.m_text, "peers", result.m_errors);
  const bool hasSecret = ini.m_text.Has("secrets", "cluster_secret");
  const bool hasFile = ini.m_text.Has("secrets", "cluster_secret_file");
  if (hasSecret == hasFile) {
    result.m_errors.push_back(
      { aFile,
        0,
        "secrets",
        "cluster_secret",
        hasSecret ? "(hidden)" : "",
        "expected either cluster_secret or cluster_secret_file" });
  }
  if (result.m_errors.empty()) {
    result.m_bootstrap = FromText(ini.m_text);
  }
  return result;
}

} // namespace lacewing::settings

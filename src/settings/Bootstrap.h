/// The settings that a process needs before it can read the settings tree.
#pragma once

#include "core/Ids.h"
#include "net/Address.h"
#include "settings/IniText.h"

#include <optional>

namespace lacewing::settings {

enum class LogFormat : std::uint8_t
{
  Json,
  Text,
};

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error,
};

/// The addresses that others are told.
struct AdvertisedAddresses
{
  net::Address m_callers;
  net::Address m_peers;
  net::Address m_peersOfOtherRegions;
};

struct Bootstrap
{
  VmId m_vm;
  RegionId m_region;
  DomainId m_domain;
  std::string m_cluster;
  net::Address m_callers; ///< to listen on
  net::Address m_peers;   ///< to listen on
  AdvertisedAddresses m_advertised;
  net::Address m_table;
  net::Address m_objects;
  net::Address m_vmList;
  /// Exactly one of the two is set. The file is read by the daemon.
  std::string m_clusterSecret;
  std::string m_clusterSecretFile;
  std::string m_adminKeyDigest; ///< `<salt>:<digest>`
  LogFormat m_logFormat = LogFormat::Json;
  LogLevel m_logLevel = LogLevel::Info;
};

struct BootstrapResult
{
  std::optional<Bootstrap> m_bootstrap; ///< absent if there are errors
  std::vector<SettingError> m_errors;

  std::string ErrorText() const;
};

/// Checks the text of a process's file.
BootstrapResult
ParseBootstrap(const std::string& aFile, const std::string& aText);

} // namespace lacewing::settings

template<>
struct lacewing::EnumNames<lacewing::settings::LogFormat>
{
  using Format = lacewing::settings::LogFormat;
  static constexpr std::array kTable = {
    std::pair{ Format::Json, std::string_view("json") },
    std::pair{ Format::Text, std::string_view("text") },
  };
};

template<>
struct lacewing::EnumNames<lacewing::settings::LogLevel>
{
  using Level = lacewing::settings::LogLevel;
  static constexpr std::array kTable = {
    std::pair{ Level::Debug, std::string_view("debug") },
    std::pair{ Level::Info, std::string_view("info") },
    std::pair{ Level::Warn, std::string_view("warn") },
    std::pair{ Level::Error, std::string_view("error") },
  };
};

/// Watches the operator's table in the store: the pool configuration (the
/// desired state), of which it keeps the latest version, and the failure
/// domains that are to be evacuated. Older versions are ignored.
#pragma once

#include "edge/TableScan.h"
#include "net/Loop.h"
#include "observe/Log.h"
#include "platform/TableStore.h"
#include "pool/PoolConfig.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace lacewing::edge {

struct ConfigHooks
{
  std::function<void(const pool::PoolConfig&)> m_onConfig;
  /// Called with all domains under evacuation whenever they change.
  std::function<void(const std::set<DomainId>&)> m_onEvacuations;
};

class ConfigWatch
{
public:
  ConfigWatch(net::Loop& aLoop,
              platform::TableStore& aStore,
              observe::Log& aLog,
              ConfigHooks aHooks);

  void Start() { Read(); }
  /// True once a configuration and all evacuations have been read.
  bool HasConfig() const { return m_config.m_version != 0; }
  const pool::PoolConfig& Config() const { return m_config; }
  /// Duration of the fastest read of the operator's table so far.
  Duration ReadTime() const { return m_readTime; }

private:
  /// Reads the whole table, and watches it afterwards.
  void Read();
  void OnPage(const platform::PageResult& aPage, bool aFirst);
  void OnRead();
  void Watch();
  void ApplyChange(const platform::ChangedRow& aChange);
  void ApplyConfig(const table::Row& aRow);
  void SetEvacuations(std::set<DomainId> aDomains);

  net::Loop& m_loop;
  platform::TableStore& m_store;
  observe::Log& m_log;
  ConfigHooks m_hooks;
  pool::PoolConfig m_config;
  std::set<DomainId> m_evacuations;
  RowVersion m_seenVersion = 0;
  Duration m_readTime = seconds(1);

  std::shared_ptr<TableScan> m_scan;
  Time m_scanBegan{};
  std::set<DomainId> m_scannedEvacuations;
  std::optional<table::Row> m_scannedConfig;
};

} // namespace lacewing::edge

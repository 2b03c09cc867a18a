/// Watches the pool configuration (the desired state) in the store and keeps a
/// copy of its latest version. Older versions are ignored.
#pragma once

#include "net/Loop.h"
#include "observe/Log.h"
#include "platform/TableStore.h"
#include "pool/PoolConfig.h"

#include <functional>

namespace lacewing::edge {

class ConfigWatch
{
public:
  using OnChange = std::function<void(const pool::PoolConfig&)>;

  ConfigWatch(net::Loop& aLoop,
              platform::TableStore& aStore,
              observe::Log& aLog,
              OnChange aOnChange);

  void Start() { Read(); }
  /// True once a configuration has been loaded.
  bool HasConfig() const { return m_config.m_version != 0; }
  const pool::PoolConfig& Config() const { return m_config; }
  /// Duration of the fastest read of the configuration row so far.
  Duration ReadTime() const { return m_readTime; }

private:
  void Read();
  void Watch();
  void Apply(const table::Row& aRow);

  net::Loop& m_loop;
  platform::TableStore& m_store;
  observe::Log& m_log;
  OnChange m_onChange;
  pool::PoolConfig m_config;
  RowVersion m_seenVersion = 0;
  Duration m_readTime = seconds(1);
};

} // namespace lacewing::edge

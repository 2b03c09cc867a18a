/// Keeps the desired state of the pool up to date from the store. Versions
/// never go back.
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
  /// True once a desired state is in force.
  bool HasConfig() const { return m_config.m_version != 0; }
  const pool::PoolConfig& Config() const { return m_config; }
  /// Time that the fastest read of the row has taken.
  Duration ReadTime() const { return m_readTime; }

private:
  void Read();
  void Watch();
  void Take(const table::Row& aRow);

  net::Loop& m_loop;
  platform::TableStore& m_store;
  observe::Log& m_log;
  OnChange m_onChange;
  pool::PoolConfig m_config;
  RowVersion m_after = 0;
  Duration m_readTime = seconds(1);
};

} // namespace lacewing::edge

/// Operators' HTTP interface: settings, members, nodes, usage, limits, time
/// line and planned stop.
#pragma once

#include "daemon/CellState.h"
#include "net/HttpServer.h"
#include "settings/SettingsRows.h"

namespace lacewing::daemon {

class OperatorApi
{
public:
  /// `aBeginDrain` starts the planned stop of this process.
  OperatorApi(CellState aCell, std::function<void()> aBeginDrain);

  /// True if the path belongs to operators.
  static bool Handles(const net::HttpRequest& aRequest);
  /// Replies exactly once, or returns an error and does not reply.
  Result<void> Serve(const net::HttpRequest& aRequest,
                     const net::HttpReply& aReply);

private:
  Result<void> ServeSettings(const net::HttpRequest& aRequest,
                             const net::HttpReply& aReply);
  void GetSubtree(const std::string& aSubtree, const net::HttpReply& aReply);
  net::HttpResponse SubtreeResponse(
    const std::string& aSubtree,
    const std::optional<settings::SubtreeRow>& aRow) const;
  Result<void> GetHistory(const std::string& aSubtree,
                          const net::HttpReply& aReply);
  Result<void> PutSubtree(const net::HttpRequest& aRequest,
                          const std::string& aSubtree,
                          const net::HttpReply& aReply);
  /// From the table, so that an operator sees his own change at every entry
  /// daemon; from memory while the table cannot be read.
  void GetIndex(const net::HttpReply& aReply);
  net::HttpResponse Members() const;
  net::HttpResponse Nodes() const;
  net::HttpResponse Top() const;
  net::HttpResponse TimelineOf(const net::HttpRequest& aRequest) const;
  void GetLimits(const TeamId& aTeam, const net::HttpReply& aReply);

  CellState m_cell;
  std::function<void()> m_beginDrain;
};

} // namespace lacewing::daemon

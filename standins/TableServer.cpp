#include "Servers.h"

#include "net/HttpServer.h"
#include "table/MemoryTable.h"
#include "table/TableCodec.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace lacewing::standin {

namespace {

/// How the service misbehaves at present; set by POST /control.
struct Faults
{
  bool m_down = false;        ///< no request gets an answer or an effect
  bool m_loseAnswers = false; ///< writes take effect, answers are not sent
  milliseconds m_delay{ 0 };
};

class TableServer
{
public:
  explicit TableServer(net::Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  void Handle(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    if (aRequest.m_path == "/control") {
      SetFaults(aRequest, aReply);
      return;
    }
    if (aRequest.m_path == "/stats") {
      aReply(Stats());
      return;
    }
    if (m_faults.m_down) {
      Refuse(aReply);
      return;
    }
    const net::HttpResponse response = Answer(aRequest);
    if (m_faults.m_loseAnswers) {
      Refuse(aReply);
      return;
    }
    if (m_faults.m_delay.count() == 0) {
      aReply(response);
      return;
    }
    m_loop.After(m_faults.m_delay, [aReply, response] { aReply(response); });
  }

private:
  /// A status that says nothing about the effect, as a gateway in front of the
  /// service would send.
  static void Refuse(const net::HttpReply& aReply)
  {
    aReply(net::JsonResponse(503, "{}"));
  }

  void SetFaults(const net::HttpRequest& aRequest, const net::HttpReply& aReply)
  {
    m_faults.m_down = aRequest.Query("down") == "1";
    m_faults.m_loseAnswers = aRequest.Query("lose_answers") == "1";
    const std::string delay = aRequest.Query("delay_ms");
    m_faults.m_delay = milliseconds(delay.empty() ? 0 : std::stol(delay));
    aReply(net::JsonResponse(200, "{}"));
  }

  net::HttpResponse Stats() const
  {
    const nlohmann::json body = { { "reads", m_reads },
                                  { "writes", m_writes },
                                  { "rows", m_table.AllRows().size() } };
    return net::JsonResponse(200, body.dump());
  }

  net::HttpResponse Answer(const net::HttpRequest& aRequest)
  {
    if (aRequest.m_path.starts_with("/v1/objects/")) {
      return AnswerObject(aRequest);
    }
    return leaf::try_handle_all(
      [&]() -> Result<net::HttpResponse> {
        if (aRequest.m_path == "/v1/commit") {
          BOOST_LEAF_AUTO(commit, table::DecodeCommit(aRequest.m_body));
          ++m_writes;
          const auto result = m_table.Apply(commit);
          const bool ok = result.m_state == table::CommitState::Committed;
          return net::JsonResponse(ok ? 200 : 409,
                                   table::EncodeCommitResult(result));
        }
        if (aRequest.m_path == "/v1/read") {
          BOOST_LEAF_AUTO(read, table::DecodeRead(aRequest.m_body));
          ++m_reads;
          return net::JsonResponse(200,
                                   table::EncodeReadResult(m_table.Get(read)));
        }
        return Fail(Verdict::NotRun,
                    ErrorCode::NotFound,
                    "no such path: " + aRequest.m_path);
      },
      [](const Error& aError) { return net::ErrorResponse(aError); },
      [] { return net::JsonResponse(500, "{}"); });
  }

  net::HttpResponse AnswerObject(const net::HttpRequest& aRequest)
  {
    if (aRequest.m_method == "PUT") {
      ++m_writes;
      m_objects[aRequest.m_path] = aRequest.m_body;
      return net::JsonResponse(200, "{}");
    }
    ++m_reads;
    const auto found = m_objects.find(aRequest.m_path);
    if (found == m_objects.end()) {
      return net::JsonResponse(404, "{}");
    }
    return net::JsonResponse(200, found->second);
  }

  net::Loop& m_loop;
  table::MemoryTable m_table;
  std::map<std::string, std::string> m_objects;
  Faults m_faults;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

} // namespace

int
RunTable(net::Loop& aLoop, const net::Address& aListen)
{
  TableServer table(aLoop);
  net::HttpServerLimits limits;
  limits.m_maxBodyBytes = 8 * 1024 * 1024;
  net::HttpServer server(
    aLoop,
    limits,
    [&](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
      table.Handle(aRequest, aReply);
    });
  if (!server.Listen(aListen)) {
    std::cerr << "cannot listen on " << aListen.ToString() << "\n";
    return 1;
  }
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin

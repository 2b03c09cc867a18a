#include "Servers.h"

#include "net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace lacewing::standin {

namespace {

net::HttpResponse
Control(WorkerModel& aWorker, const std::string& aBody)
{
  return leaf::try_handle_all(
    [&]() -> Result<net::HttpResponse> {
      BOOST_LEAF_AUTO(request, worker::DecodeRequest(aBody));
      const auto reply = aWorker.Control(net::Loop::Now(), request);
      return net::JsonResponse(reply.m_accepted ? 200 : 409,
                               worker::EncodeReply(reply));
    },
    [](const Error& aError) { return net::ErrorResponse(aError); },
    [] { return net::JsonResponse(500, "{}"); });
}

net::HttpResponse
Starts(const WorkerModel& aWorker)
{
  nlohmann::json starts = nlohmann::json::object();
  for (const auto& [task, count] : aWorker.Starts()) {
    starts[task.m_job.Value() + "/" + std::to_string(task.m_index)] = count;
  }
  const nlohmann::json body = { { "starts", starts },
                                { "running", aWorker.RunningCount() } };
  return net::JsonResponse(200, body.dump());
}

} // namespace

int
RunWorker(net::Loop& aLoop,
          const net::Address& aListen,
          const WorkerOptions& aOptions)
{
  WorkerModel worker(aOptions);
  net::HttpServer server(
    aLoop,
    {},
    [&](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
      if (aRequest.m_path == "/v1/control") {
        aReply(Control(worker, aRequest.m_body));
        return;
      }
      aReply(Starts(worker));
    });
  if (!server.Listen(aListen)) {
    std::cerr << "cannot listen on " << aListen.ToString() << "\n";
    return 1;
  }
  aLoop.Every(milliseconds(50), [&] { worker.Advance(net::Loop::Now()); });
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin

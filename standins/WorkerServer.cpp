#include "Servers.h"

#include "net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <random>
#include <vector>

namespace lacewing::standin {

namespace {

/// The workers that one process serves, and what they have exchanged with
/// their owners. Bytes are those of the bodies, without HTTP headers.
struct WorkerGroup
{
  std::vector<WorkerModel> m_workers;
  std::uint64_t m_controls = 0;
  std::uint64_t m_bytesReceived = 0;
  std::uint64_t m_bytesSent = 0;
};

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

net::HttpResponse
Stats(const WorkerGroup& aGroup)
{
  std::size_t running = 0;
  std::size_t started = 0;
  std::size_t doubled = 0;
  for (const WorkerModel& worker : aGroup.m_workers) {
    running += worker.RunningCount();
    for (const auto& [task, count] : worker.Starts()) {
      started += static_cast<std::size_t>(count);
      doubled += count > 1 ? 1 : 0;
    }
  }
  const nlohmann::json body = { { "workers", aGroup.m_workers.size() },
                                { "running", running },
                                { "started", started },
                                { "started_twice_on_one_worker", doubled },
                                { "controls", aGroup.m_controls },
                                { "bytes_received", aGroup.m_bytesReceived },
                                { "bytes_sent", aGroup.m_bytesSent } };
  return net::JsonResponse(200, body.dump());
}

net::HttpResponse
Answer(WorkerGroup& aGroup,
       WorkerModel& aWorker,
       const net::HttpRequest& aRequest)
{
  if (aRequest.m_path == "/stats") {
    return Stats(aGroup);
  }
  if (aRequest.m_path != "/v1/control") {
    return Starts(aWorker);
  }
  net::HttpResponse response = Control(aWorker, aRequest.m_body);
  ++aGroup.m_controls;
  aGroup.m_bytesReceived += aRequest.m_body.size();
  aGroup.m_bytesSent += response.m_body.size();
  return response;
}

} // namespace

int
RunWorker(net::Loop& aLoop,
          const net::Address& aListen,
          const WorkerOptions& aOptions,
          int aCount)
{
  WorkerGroup group;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  group.m_workers.reserve(static_cast<std::size_t>(aCount));
  std::random_device random;
  std::uniform_int_distribution<std::uint64_t> instances(1);
  for (int i = 0; i < aCount; ++i) {
    WorkerOptions options = aOptions;
    options.m_instance = instances(random);
    group.m_workers.emplace_back(options);
  }
  for (int i = 0; i < aCount; ++i) {
    WorkerModel& worker = group.m_workers[static_cast<std::size_t>(i)];
    servers.push_back(std::make_unique<net::HttpServer>(
      aLoop,
      net::HttpServerLimits(),
      [&group, &worker](const net::HttpRequest& aRequest,
                        const net::HttpReply& aReply) {
        aReply(Answer(group, worker, aRequest));
      }));
    net::Address listen = aListen;
    listen.m_port = static_cast<std::uint16_t>(aListen.m_port + i);
    if (!servers.back()->Listen(listen)) {
      std::cerr << "cannot listen on " << listen.ToString() << "\n";
      return 1;
    }
  }
  aLoop.Every(milliseconds(50), [&] {
    for (WorkerModel& worker : group.m_workers) {
      worker.Advance(net::Loop::Now());
    }
  });
  aLoop.Run();
  return 0;
}

} // namespace lacewing::standin

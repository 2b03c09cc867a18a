/// Command line of the stand-ins.
#include "Servers.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

constexpr const char* kUsage =
  R"(Stand-ins for the platform, each a process of its own.

Usage:
  lacewing-standin table --listen=ADDR
  lacewing-standin vmlist --listen=ADDR --file=FILE [--lag-ms=MS]
  lacewing-standin worker --listen=ADDR [--millicores=N] [--memory-mib=N]
                   [--accelerators=N] [--lease-ms=MS] [--fail] [--count=N]
  lacewing-standin endpoint --listen=ADDR [--name=NAME] [--slots=N]
                   [--service-ms=MS]
  lacewing-standin platform --listen=ADDR [--count=N]
  lacewing-standin link --listen=ADDR --to=ADDR --control=ADDR
  lacewing-standin flood --to=ADDR --mode=MODE --path=PATH --connections=N
                   --bytes=N [--hold] [--reconnect]
  lacewing-standin chunks --to=ADDR --path=PATH --connections=N --pieces=N

Options:
  --listen=ADDR      IP:PORT to listen on.
  --file=FILE        JSON file with the initial VM list.
  --lag-ms=MS        Lag of the VM list [default: 0].
  --millicores=N     Processors of the worker in 1/1000 core [default: 32000].
  --memory-mib=N     Memory of the worker in MiB [default: 131072].
  --accelerators=N   Accelerators of the worker [default: 0].
  --lease-ms=MS      Lease of the worker [default: 20000].
  --count=N          Workers, on consecutive ports [default: 1].
  --fail             Every task on the worker fails.
  --name=NAME        Name in the endpoint's answers [default: endpoint].
  --slots=N          Requests that the endpoint runs at once [default: 8].
  --service-ms=MS    Time to answer a request [default: 5].
  --to=ADDR          IP:PORT to which connections are relayed.
  --control=ADDR     IP:PORT for POST /control?cut=CUT[&close=1]; CUT is none,
                     forward (from the connecting side), backward or both.
  --mode=MODE        What a client sends that reads nothing: pipelined requests,
                     a body whose length is announced, or a chunked body.
  --path=PATH        Path of these requests.
  --connections=N    Connections of this client.
  --bytes=N          Bytes that it sends on each at most.
  --pieces=N         Writes on each of a body in chunks of one byte.
  --hold             It stays connected until it is killed.
  --reconnect        It connects again wherever the server closes.
)";

using lacewing::milliseconds;

int
Run(std::map<std::string, docopt::value>& aOptions)
{
  lacewing::net::Loop loop;
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  return lacewing::leaf::try_handle_all(
    [&]() -> lacewing::Result<int> {
      if (aOptions["flood"].asBool()) {
        BOOST_LEAF_AUTO(
          to, lacewing::net::ParseAddress(aOptions["--to"].asString()));
        const auto mode = lacewing::ParseName<lacewing::standin::FloodMode>(
          aOptions["--mode"].asString());
        if (!mode) {
          return lacewing::Fail(lacewing::Verdict::NotRun,
                                lacewing::ErrorCode::BadInput,
                                "--mode is pipelined, announced or chunked");
        }
        return lacewing::standin::RunFlood(
          to,
          { *mode,
            aOptions["--path"].asString(),
            static_cast<std::size_t>(aOptions["--connections"].asLong()),
            static_cast<std::size_t>(aOptions["--bytes"].asLong()),
            aOptions["--hold"].asBool(),
            aOptions["--reconnect"].asBool() });
      }
      if (aOptions["chunks"].asBool()) {
        BOOST_LEAF_AUTO(
          to, lacewing::net::ParseAddress(aOptions["--to"].asString()));
        return lacewing::standin::RunChunks(
          to,
          { aOptions["--path"].asString(),
            static_cast<std::size_t>(aOptions["--connections"].asLong()),
            static_cast<std::size_t>(aOptions["--pieces"].asLong()) });
      }
      BOOST_LEAF_AUTO(
        listen, lacewing::net::ParseAddress(aOptions["--listen"].asString()));
      if (aOptions["table"].asBool()) {
        return lacewing::standin::RunTable(loop, listen);
      }
      if (aOptions["platform"].asBool()) {
        return lacewing::standin::RunPlatform(
          loop, listen, static_cast<int>(aOptions["--count"].asLong()));
      }
      if (aOptions["vmlist"].asBool()) {
        return lacewing::standin::RunVmList(
          loop,
          listen,
          aOptions["--file"].asString(),
          milliseconds(aOptions["--lag-ms"].asLong()));
      }
      if (aOptions["worker"].asBool()) {
        lacewing::standin::WorkerOptions worker;
        worker.m_capacity = { aOptions["--millicores"].asLong(),
                              aOptions["--memory-mib"].asLong(),
                              aOptions["--accelerators"].asLong() };
        worker.m_lease = milliseconds(aOptions["--lease-ms"].asLong());
        worker.m_failEverything = aOptions["--fail"].asBool();
        return lacewing::standin::RunWorker(
          loop, listen, worker, static_cast<int>(aOptions["--count"].asLong()));
      }
      if (aOptions["link"].asBool()) {
        BOOST_LEAF_AUTO(
          to, lacewing::net::ParseAddress(aOptions["--to"].asString()));
        BOOST_LEAF_AUTO(
          control,
          lacewing::net::ParseAddress(aOptions["--control"].asString()));
        return lacewing::standin::RunLink(loop, listen, to, control);
      }
      lacewing::standin::EndpointOptions endpoint;
      endpoint.m_name = aOptions["--name"].asString();
      endpoint.m_slots = static_cast<int>(aOptions["--slots"].asLong());
      endpoint.m_serviceTime = milliseconds(aOptions["--service-ms"].asLong());
      return lacewing::standin::RunEndpoint(loop, listen, endpoint);
    },
    [](const lacewing::Error& aError) {
      std::cerr << aError.m_message << "\n";
      return 2;
    },
    [] { return 1; });
}

} // namespace

int
main(int argc, char** argv)
{
  auto options =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "0.1.0");
  return Run(options);
}

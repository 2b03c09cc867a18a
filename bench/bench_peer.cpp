/// Measures calls between entry daemons (src/peer) beside the same calls over
/// net::HttpClient and net::HttpServer. Client and server share one loop on one
/// thread and talk over loopback; both transports carry the same encoded
/// messages. Rounds of the two alternate, so that load from elsewhere hits
/// both.
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "peer/PeerClient.h"
#include "peer/PeerCodec.h"
#include "peer/PeerServer.h"

#include <arpa/inet.h>
#include <ctime>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace lacewing::peer {

namespace {

constexpr Duration kTimeout = seconds(60);
constexpr int kRounds = 7;

HandshakeConfig
ConfigOf(const std::string& aVm)
{
  HandshakeConfig config;
  config.m_cluster = "cell";
  config.m_secret = "cluster secret";
  config.m_self = { VmId(aVm), 1 };
  return config;
}

PeerServerOptions
ServerOptions()
{
  PeerServerOptions options;
  options.m_handshake = ConfigOf("server");
  return options;
}

PeerClientOptions
ClientOptions(const std::string& aVm)
{
  PeerClientOptions options;
  options.m_handshake = ConfigOf(aVm);
  return options;
}

PeerMessage
RequestOf(std::size_t aBodyBytes)
{
  ForwardRequest request;
  request.m_service = ServiceId("lot-ledger");
  request.m_method = "assess";
  request.m_team = TeamId("quality");
  request.m_requestId = "5f0c7b1e-0000-4000-8000-1234567890ab";
  request.m_remaining = seconds(30);
  request.m_body = std::string(aBodyBytes, 'b');
  return request;
}

/// An answer with a body of the same size as the request's.
PeerMessage
AnswerTo(const PeerMessage& aRequest)
{
  Answer answer;
  answer.m_status = 200;
  answer.m_body = std::get<ForwardRequest>(aRequest).m_body;
  answer.m_bytes = answer.m_body.size();
  return answer;
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

double
CpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * kNanosecond;
}

struct RunResult
{
  double m_callsPerSecond = 0;
  double m_cpuMicrosecondsPerCall = 0; ///< client and server together
  double m_p50Microseconds = 0;
  double m_p99Microseconds = 0;
  std::size_t m_failed = 0;
};

/// Keeps a fixed number of calls open until the total is done. `Start` is
/// called with a function to be called at the end of the call.
class ClosedLoop
{
public:
  using Finish = std::function<void(bool)>;

  ClosedLoop(net::Loop& aLoop, std::function<void(Finish)> aStart)
    : m_loop(aLoop)
    , m_start(std::move(aStart))
  {
  }

  RunResult Run(std::size_t aConcurrent, std::size_t aTotal)
  {
    m_left = aTotal;
    m_open = 0;
    m_failed = 0;
    m_latencies.clear();
    const Time begin = net::Loop::Now();
    const double cpuBegin = CpuSeconds();
    for (std::size_t call = 0; call < aConcurrent; ++call) {
      Next();
    }
    m_loop.Run();
    const double cpu = CpuSeconds() - cpuBegin;
    const auto elapsed = net::Loop::Now() - begin;
    std::sort(m_latencies.begin(), m_latencies.end());
    constexpr double kMicroseconds = 1e6;
    constexpr std::size_t kHundred = 100;
    RunResult result;
    result.m_callsPerSecond = static_cast<double>(aTotal) * kMicroseconds /
                              static_cast<double>(elapsed.count());
    result.m_cpuMicrosecondsPerCall =
      cpu * kMicroseconds / static_cast<double>(aTotal);
    result.m_p50Microseconds = m_latencies[m_latencies.size() / 2];
    result.m_p99Microseconds =
      m_latencies[m_latencies.size() * (kHundred - 1) / kHundred];
    result.m_failed = m_failed;
    return result;
  }

private:
  void Next()
  {
    if (m_left == 0) {
      if (m_open == 0) {
        m_loop.Stop();
      }
      return;
    }
    --m_left;
    ++m_open;
    const Time begin = net::Loop::Now();
    m_start([this, begin](bool aOk) {
      m_latencies.push_back(
        static_cast<double>((net::Loop::Now() - begin).count()));
      m_failed += aOk ? 0 : 1;
      --m_open;
      Next();
    });
  }

  net::Loop& m_loop;
  std::function<void(Finish)> m_start;
  std::size_t m_left = 0;
  std::size_t m_open = 0;
  std::size_t m_failed = 0;
  std::vector<double> m_latencies;
};

struct PeerSide
{
  PeerSide()
    : m_server(m_loop,
               ServerOptions(),
               [this](const PeerIdentity&,
                      const PeerMessage& aMessage,
                      const PeerReply& aReply) {
                 if (m_hold) {
                   m_held.push_back(aReply);
                   return;
                 }
                 aReply(AnswerTo(aMessage));
               })
  {
    const auto listening = m_server.Listen({ "127.0.0.1", 0 });
    m_address = { "127.0.0.1", m_server.Port() };
    if (!listening) {
      std::printf("cannot listen\n");
    }
  }

  void Call(PeerClient& aClient,
            const PeerMessage& aMessage,
            const ClosedLoop::Finish& aFinish)
  {
    aClient.Call(VmId("server"),
                 m_address,
                 aMessage,
                 kTimeout,
                 [aFinish](const PeerOutcome& aOutcome) {
                   aFinish(aOutcome.m_reply.has_value());
                 });
  }

  net::Loop m_loop;
  PeerServer m_server;
  net::Address m_address;
  bool m_hold = false;
  std::vector<PeerReply> m_held;
};

int
ListeningSocket(std::uint16_t& aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  if (bind(handle, generic, size) != 0 || listen(handle, 1) != 0 ||
      getsockname(handle, generic, &size) != 0) {
    std::printf("cannot listen\n");
  }
  aPort = ntohs(address.sin_port);
  return handle;
}

/// A port that was free a moment ago; HttpServer takes no port 0 back.
std::uint16_t
FreePort()
{
  std::uint16_t port = 0;
  close(ListeningSocket(port));
  return port;
}

struct HttpSide
{
  HttpSide()
    : m_server(
        m_loop,
        {},
        [](const net::HttpRequest& aRequest, const net::HttpReply& aReply) {
          const auto message = DecodeMessage(aRequest.m_body);
          net::HttpResponse response;
          response.m_body = EncodeMessage(AnswerTo(*message.m_value));
          aReply(response);
        })
    , m_client(m_loop)
    , m_address{ "127.0.0.1", FreePort() }
  {
    const auto listening = m_server.Listen(m_address);
    if (!listening) {
      std::printf("cannot listen\n");
    }
  }

  static net::HttpRequest Request(const PeerMessage& aMessage)
  {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_path = "/";
    request.m_body = EncodeMessage(aMessage);
    return request;
  }

  void Call(const PeerMessage& aMessage, const ClosedLoop::Finish& aFinish)
  {
    m_client.Send(
      m_address,
      Request(aMessage),
      kTimeout,
      [aFinish](const net::HttpOutcome& aOutcome) {
        aFinish(aOutcome.m_response.has_value() &&
                DecodeMessage(aOutcome.m_response->m_body).m_value.has_value());
      });
  }

  net::Loop m_loop;
  net::HttpServer m_server;
  net::HttpClient m_client;
  net::Address m_address;
};

/// Bytes of one HTTP call on an open connection: the request as it arrives at a
/// raw socket, and the response to the same bytes.
std::pair<std::size_t, std::size_t>
HttpBytes(const PeerMessage& aMessage)
{
  constexpr std::size_t kTurns = 200'000;
  char buffer[65536];
  HttpSide side;
  std::uint16_t port = 0;
  const int listening = ListeningSocket(port);
  const net::HttpRequest request = HttpSide::Request(aMessage);
  side.m_client.Send(
    { "127.0.0.1", port }, request, kTimeout, [](const net::HttpOutcome&) {});
  side.m_loop.Poll();
  const int accepted = accept(listening, nullptr, nullptr);
  std::string sent;
  std::size_t whole = 0;
  for (std::size_t turn = 0;
       turn < kTurns && (whole == 0 || sent.size() < whole);
       ++turn) {
    side.m_loop.Poll();
    const ssize_t got = recv(accepted, buffer, sizeof(buffer), MSG_DONTWAIT);
    sent.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    const auto end = sent.find("\r\n\r\n");
    whole = end == std::string::npos ? 0 : end + 4 + request.m_body.size();
  }
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(side.m_address.m_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0 ||
      send(client, sent.data(), sent.size(), 0) < 0) {
    std::printf("cannot send\n");
  }
  const std::size_t replyBody = EncodeMessage(AnswerTo(aMessage)).size();
  std::string received;
  whole = 0;
  for (std::size_t turn = 0;
       turn < kTurns && (whole == 0 || received.size() < whole);
       ++turn) {
    side.m_loop.Poll();
    const ssize_t got = recv(client, buffer, sizeof(buffer), MSG_DONTWAIT);
    received.append(buffer,
                    static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    const auto end = received.find("\r\n\r\n");
    whole = end == std::string::npos ? 0 : end + 4 + replyBody;
  }
  close(client);
  close(accepted);
  close(listening);
  return { sent.size(), received.size() };
}

void
PrintRow(const char* aName, const std::vector<RunResult>& aResults)
{
  const auto median = [&](double RunResult::*aField) {
    std::vector<double> values;
    values.reserve(aResults.size());
    for (const RunResult& result : aResults) {
      values.push_back(result.*aField);
    }
    return Median(values);
  };
  std::size_t failed = 0;
  for (const RunResult& result : aResults) {
    failed += result.m_failed;
  }
  std::printf("  %-4s %9.0f calls/s %7.1f us cpu/call  p50 %8.0f us  p99 "
              "%8.0f us  failed %zu\n",
              aName,
              median(&RunResult::m_callsPerSecond),
              median(&RunResult::m_cpuMicrosecondsPerCall),
              median(&RunResult::m_p50Microseconds),
              median(&RunResult::m_p99Microseconds),
              failed);
}

void
PrintRatios(const std::vector<RunResult>& aPeer,
            const std::vector<RunResult>& aHttp)
{
  const auto ratio = [&](double RunResult::*aField) {
    std::vector<double> values;
    for (std::size_t round = 0; round < aPeer.size(); ++round) {
      values.push_back(aPeer[round].*aField / (aHttp[round].*aField));
    }
    return values;
  };
  const auto calls = ratio(&RunResult::m_callsPerSecond);
  std::printf(
    "  peer/http: calls %.2f (%.2f to %.2f), cpu/call %.2f, p50 %.2f, "
    "p99 %.2f\n",
    Median(calls),
    *std::min_element(calls.begin(), calls.end()),
    *std::max_element(calls.begin(), calls.end()),
    Median(ratio(&RunResult::m_cpuMicrosecondsPerCall)),
    Median(ratio(&RunResult::m_p50Microseconds)),
    Median(ratio(&RunResult::m_p99Microseconds)));
}

void
MeasureCalls(std::size_t aBodyBytes, std::size_t aConcurrent)
{
  constexpr std::size_t kCalls = 10'000;
  constexpr std::size_t kWarmUp = 100;
  // HTTP calls with large bodies take about 90 ms each (Nagle's algorithm), so
  // they are fewer.
  constexpr std::size_t kSegmentBytes = 1400;
  const std::size_t httpCalls =
    aBodyBytes < kSegmentBytes ? kCalls : 20 + 10 * aConcurrent;
  const PeerMessage message = RequestOf(aBodyBytes);
  PeerSide peerSide;
  PeerClient client(peerSide.m_loop, ClientOptions("client"));
  HttpSide httpSide;
  ClosedLoop peerLoop(peerSide.m_loop, [&](const ClosedLoop::Finish& aFinish) {
    peerSide.Call(client, message, aFinish);
  });
  ClosedLoop httpLoop(httpSide.m_loop, [&](const ClosedLoop::Finish& aFinish) {
    httpSide.Call(message, aFinish);
  });
  peerLoop.Run(aConcurrent, kWarmUp);
  httpLoop.Run(aConcurrent, std::min(kWarmUp, httpCalls));
  std::vector<RunResult> peerResults;
  std::vector<RunResult> httpResults;
  const WireBytes before = client.Bytes();
  for (int round = 0; round < kRounds; ++round) {
    peerResults.push_back(peerLoop.Run(aConcurrent, kCalls));
    httpResults.push_back(httpLoop.Run(aConcurrent, httpCalls));
  }
  const WireBytes after = client.Bytes();
  std::printf("body %zu B, %zu at once\n", aBodyBytes, aConcurrent);
  PrintRow("peer", peerResults);
  PrintRow("http", httpResults);
  PrintRatios(peerResults, httpResults);
  constexpr double kTotal = static_cast<double>(kRounds * kCalls);
  std::printf("  peer bytes/call: sent %.1f, received %.1f\n",
              static_cast<double>(after.m_sent - before.m_sent) / kTotal,
              static_cast<double>(after.m_received - before.m_received) /
                kTotal);
}

void
MeasureHttpBytes(std::size_t aBodyBytes)
{
  const PeerMessage message = RequestOf(aBodyBytes);
  const auto [sent, received] = HttpBytes(message);
  std::printf("body %zu B: http bytes/call: sent %zu, received %zu; encoded "
              "messages alone %zu and %zu\n",
              aBodyBytes,
              sent,
              received,
              EncodeMessage(message).size(),
              EncodeMessage(AnswerTo(message)).size());
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

/// Heap of both ends together.
void
MeasureMemory()
{
  constexpr std::size_t kConnections = 200;
  constexpr std::size_t kStreams = 1000;
  constexpr std::size_t kBodyBytes = 200;
  const PeerMessage message = RequestOf(kBodyBytes);
  {
    PeerSide side;
    std::vector<std::unique_ptr<PeerClient>> clients;
    clients.reserve(kConnections);
    const std::size_t before = HeapBytes();
    for (std::size_t one = 0; one < kConnections; ++one) {
      clients.push_back(std::make_unique<PeerClient>(
        side.m_loop, ClientOptions("client" + std::to_string(one))));
      ClosedLoop loop(side.m_loop, [&](const ClosedLoop::Finish& aFinish) {
        side.Call(*clients.back(), message, aFinish);
      });
      loop.Run(1, 1);
    }
    std::printf("heap per connection, both ends: %.1f KiB\n",
                static_cast<double>(HeapBytes() - before) / kConnections /
                  1024);
  }
  {
    PeerSide side;
    PeerClient client(side.m_loop, ClientOptions("client"));
    ClosedLoop loop(side.m_loop, [&](const ClosedLoop::Finish& aFinish) {
      side.Call(client, message, aFinish);
    });
    loop.Run(1, 1);
    side.m_hold = true;
    side.m_held.reserve(kStreams);
    const std::size_t before = HeapBytes();
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      side.Call(client, message, [](bool) {});
    }
    constexpr std::size_t kTurns = 1'000'000;
    for (std::size_t turn = 0; turn < kTurns && side.m_held.size() < kStreams;
         ++turn) {
      side.m_loop.Poll();
    }
    std::printf(
      "heap per open stream with a body of 200 B, both ends: %.2f KiB "
      "(%zu open)\n",
      static_cast<double>(HeapBytes() - before) / kStreams / 1024,
      side.m_held.size());
  }
}

/// First call on a new connection beside a call on an open one.
void
MeasureHandshake()
{
  constexpr std::size_t kConnections = 200;
  const PeerMessage message = RequestOf(200);
  PeerSide side;
  std::vector<double> first;
  std::vector<double> second;
  double cpuFirst = 0;
  double cpuSecond = 0;
  WireBytes bytes;
  for (std::size_t one = 0; one < kConnections; ++one) {
    PeerClient client(side.m_loop, ClientOptions("client"));
    ClosedLoop loop(side.m_loop, [&](const ClosedLoop::Finish& aFinish) {
      side.Call(client, message, aFinish);
    });
    const RunResult opened = loop.Run(1, 1);
    bytes = client.Bytes();
    const RunResult next = loop.Run(1, 1);
    first.push_back(opened.m_p50Microseconds);
    second.push_back(next.m_p50Microseconds);
    cpuFirst += opened.m_cpuMicrosecondsPerCall;
    cpuSecond += next.m_cpuMicrosecondsPerCall;
  }
  std::printf("call on a new connection: p50 %.0f us, cpu %.0f us; on an open "
              "one: p50 %.0f us, cpu %.0f us; ratio p50 %.1f, cpu %.1f\n",
              Median(first),
              cpuFirst / kConnections,
              Median(second),
              cpuSecond / kConnections,
              Median(first) / Median(second),
              cpuFirst / cpuSecond);
  std::printf("bytes of a new connection with one call: sent %llu, received "
              "%llu\n",
              static_cast<unsigned long long>(bytes.m_sent),
              static_cast<unsigned long long>(bytes.m_received));
}

} // namespace

} // namespace lacewing::peer

int
main()
{
  using namespace lacewing::peer;
  constexpr std::size_t kSmallBytes = 200;
  constexpr std::size_t kLargeBytes = 16 * 1024;
  for (const std::size_t body : { kSmallBytes, kLargeBytes }) {
    for (const std::size_t concurrent : { 1, 32, 256 }) {
      MeasureCalls(body, concurrent);
    }
    MeasureHttpBytes(body);
  }
  MeasureMemory();
  MeasureHandshake();
  return 0;
}

/// The stand-in processes: each serves one peer's protocol until it is stopped.
#pragma once

#include "WorkerModel.h"
#include "net/Address.h"
#include "net/Loop.h"

#include <string>

namespace lacewing::standin {

/// Table service and, below /v1/objects/, object store.
int
RunTable(net::Loop& aLoop, const net::Address& aListen);

/// VM list; starts with the list in the file (the body of GET /v1/vms).
int
RunVmList(net::Loop& aLoop,
          const net::Address& aListen,
          const std::string& aFile,
          Duration aLag);

/// Serves `aCount` workers, each on a port of its own, beginning with that of
/// `aListen`. `GET /stats` on any of them sums up all of them.
int
RunWorker(net::Loop& aLoop,
          const net::Address& aListen,
          const WorkerOptions& aOptions,
          int aCount);

struct EndpointOptions
{
  std::string m_name;
  int m_slots = 8;
  Duration m_serviceTime = milliseconds(5);
};

int
RunEndpoint(net::Loop& aLoop,
            const net::Address& aListen,
            const EndpointOptions& aOptions);

/// The users' platform: the store of rows at `aListen`, the policy service at
/// the next port and workers at those after it. POST /control on the store's
/// address writes the desired state from its body; store=works|busy|
/// loses-answers|compact sets what the store does. GET /starts tells how often
/// tasks were started, GET /rows how many rows jobs and progress have.
int
RunPlatform(net::Loop& aLoop, const net::Address& aListen, int aWorkers);

/// TCP relay to an address. POST /control on `aControl` cuts one direction or
/// both, or closes the connections.
int
RunLink(net::Loop& aLoop,
        const net::Address& aListen,
        const net::Address& aTo,
        const net::Address& aControl);

/// What a client sends that keeps to no limit.
enum class FloodMode : std::uint8_t
{
  Pipelined, ///< many requests, whose responses it does not read
  Announced, ///< a body that is announced as far too long
  Chunked,   ///< a body without end whose length is not announced
};

struct FloodOptions
{
  FloodMode m_mode = FloodMode::Pipelined;
  std::string m_path;
  std::size_t m_connections = 1;
  std::size_t m_bytes = 0; ///< on each connection, at most
  /// Stays connected, and sends as soon as the server takes more, until it is
  /// killed. Prints "holding" first.
  bool m_holds = false;
  /// Connects again wherever the server has closed the connection.
  bool m_reconnects = false;
};

/// Sends until the server takes nothing more, or all is sent; then prints the
/// number of bytes sent.
int
RunFlood(const net::Address& aTo, const FloodOptions& aOptions);

struct ChunkOptions
{
  std::string m_path;
  std::size_t m_connections = 1;
  std::size_t m_pieces = 0; ///< writes on each connection
};

/// Sends bodies without end in chunks of one byte, a part of two chunks in each
/// write.
int
RunChunks(const net::Address& aTo, const ChunkOptions& aOptions);

} // namespace lacewing::standin

template<>
struct lacewing::EnumNames<lacewing::standin::FloodMode>
{
  using Mode = lacewing::standin::FloodMode;
  static constexpr std::array kTable = {
    std::pair{ Mode::Pipelined, std::string_view("pipelined") },
    std::pair{ Mode::Announced, std::string_view("announced") },
    std::pair{ Mode::Chunked, std::string_view("chunked") },
  };
};

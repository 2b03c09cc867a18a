/// HTTP/2 over nghttp2 as a state machine of bytes in and bytes out, for both
/// sides of a connection between entry daemons. Each message and its reply are
/// one stream.
#pragma once

#include "peer/PeerAdmission.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace lacewing::peer {

using StreamId = std::int32_t;

enum class SessionSide : std::uint8_t
{
  Client,
  Server,
};

enum class SessionEventKind : std::uint8_t
{
  Request,      ///< server: a whole request has arrived
  StreamClosed, ///< client: the stream has ended
  GoAway,       ///< client: the peer takes no further streams
};

struct SessionEvent
{
  SessionEventKind m_kind = SessionEventKind::Request;
  StreamId m_stream = 0;
  std::string m_body;   ///< of the request, or of the whole reply
  bool m_whole = false; ///< client: the reply arrived with its end
  /// Client: the peer has said that it did not look at the request.
  bool m_refused = false;
  bool m_mayHaveLeft = false; ///< client: see `MayHaveLeft`
};

class Http2Session
{
public:
  Http2Session(SessionSide aSide, PeerLimits aLimits);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Takes bytes of the connection. A fault ends the session: output that is
  /// left should still be sent, then the connection closed.
  std::optional<PeerFault> Feed(std::string_view aBytes);
  /// A fault of the connection found so far, also one found while sending.
  std::optional<PeerFault> Fault() const { return m_fault; }
  /// Events since the last call, in the order of arrival.
  std::vector<SessionEvent> TakeEvents();
  /// Refusals of single streams since the last call.
  std::vector<PeerFault> TakeStreamFaults();
  /// Next piece of output, empty if there is none at present. Valid until the
  /// next call of any function.
  std::string_view NextOutput();

  /// Client: opens a stream with a whole request; nothing if the session takes
  /// no further streams.
  std::optional<StreamId> SubmitRequest(std::string aBody);
  /// Server: sends the whole reply; ignored if the stream is gone.
  void SubmitReply(StreamId aStream, std::string aBody);
  /// Ends a stream at once. The client learns nothing more about it.
  void Reset(StreamId aStream);
  /// Server: ends a stream and says that the request was not looked at.
  void Refuse(StreamId aStream);
  /// Asks the peer for a sign of life; it answers without its handler.
  void Ping();
  /// Sends GOAWAY: open streams go on, new ones are refused.
  void Shutdown();

  /// Client: true when bytes of the request have been handed out as output.
  bool MayHaveLeft(StreamId aStream) const;
  bool HasStream(StreamId aStream) const { return m_streams.contains(aStream); }
  /// Bytes of messages that have not been handed out as output.
  std::size_t UnsentBytes() const { return m_outputBytes; }
  std::size_t OpenStreams() const { return m_streams.size(); }
  /// Neither input nor output is left to handle.
  bool Finished() const;

private:
  struct Stream
  {
    std::string m_output;
    std::size_t m_sent = 0;
    std::string m_input;
    bool m_inputEnded = false;
    bool m_headersSent = false;
    bool m_replied = false;
  };
  struct Callbacks;

  Stream* Find(StreamId aStream);
  void Forget(StreamId aStream);
  void OnInput(StreamId aStream, std::string_view aBytes);
  void OnInputEnd(StreamId aStream);
  void CloseStream(StreamId aStream, std::uint32_t aCode);

  SessionSide m_side;
  PeerLimits m_limits;
  nghttp2_session* m_session = nullptr;
  std::map<StreamId, Stream> m_streams;
  std::size_t m_inputBytes = 0;  ///< of incomplete messages
  std::size_t m_outputBytes = 0; ///< not handed out yet
  std::vector<SessionEvent> m_events;
  std::vector<PeerFault> m_streamFaults;
  std::optional<PeerFault> m_fault;
  /// Set by `Shutdown`: the last stream of the peer that is still served.
  std::optional<StreamId> m_lastTaken;
};

} // namespace lacewing::peer

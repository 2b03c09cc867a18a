#include "peer/Http2Session.h"

#include "peer/PeerCodec.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace lacewing::peer {

namespace {

/// Receive windows of a stream and of the connection in bytes. The stream
/// window holds a whole message, so that one message needs no round trip of its
/// own.
constexpr std::int32_t kStreamWindowBytes = kMaxMessageBytes + 16 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 16 * 1024 * 1024;

nghttp2_nv
Header(std::string_view aName, std::string_view aValue)
{
  // nghttp2 does not change the text; its interface lacks the const.
  return { const_cast<std::uint8_t*>(
             reinterpret_cast<const std::uint8_t*>(aName.data())),
           const_cast<std::uint8_t*>(
             reinterpret_cast<const std::uint8_t*>(aValue.data())),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE };
}

} // namespace

struct Http2Session::Callbacks
{
  static Http2Session& Self(void* aSelf)
  {
    return *static_cast<Http2Session*>(aSelf);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* aFrame,
                            void* aSelf)
  {
    Http2Session& self = Self(aSelf);
    if (self.m_side == SessionSide::Client ||
        aFrame->headers.cat != NGHTTP2_HCAT_REQUEST) {
      return 0;
    }
    // The GOAWAY may still be waiting for output. It tells the peer that
    // streams above its last one were not looked at, so none of them may be
    // taken.
    if (self.m_lastTaken && aFrame->hd.stream_id > *self.m_lastTaken) {
      self.Refuse(aFrame->hd.stream_id);
      return 0;
    }
    if (self.m_streams.size() >= self.m_limits.m_maxStreams) {
      self.m_streamFaults.push_back(PeerFault::TooManyStreams);
      self.Refuse(aFrame->hd.stream_id);
      return 0;
    }
    self.m_streams.try_emplace(aFrame->hd.stream_id);
    return 0;
  }

  static int OnData(nghttp2_session*,
                    std::uint8_t,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aSelf)
  {
    Self(aSelf).OnInput(aStream,
                        { reinterpret_cast<const char*>(aData), aSize });
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aSelf)
  {
    Http2Session& self = Self(aSelf);
    const bool carriesMessage =
      aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
    if (carriesMessage && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.OnInputEnd(aFrame->hd.stream_id);
    }
    if (aFrame->hd.type == NGHTTP2_GOAWAY &&
        self.m_side == SessionSide::Client) {
      SessionEvent event;
      event.m_kind = SessionEventKind::GoAway;
      self.m_events.push_back(std::move(event));
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           std::int32_t aStream,
                           std::uint32_t aCode,
                           void* aSelf)
  {
    Self(aSelf).CloseStream(aStream, aCode);
    return 0;
  }

  static int BeforeFrameSend(nghttp2_session*,
                             const nghttp2_frame* aFrame,
                             void* aSelf)
  {
    Http2Session& self = Self(aSelf);
    if (aFrame->hd.type == NGHTTP2_HEADERS) {
      if (Stream* stream = self.Find(aFrame->hd.stream_id)) {
        stream->m_headersSent = true;
      }
    }
    // nghttp2 reports broken rules of the peer only by the GOAWAY that it
    // sends.
    if (aFrame->hd.type == NGHTTP2_GOAWAY &&
        aFrame->goaway.error_code != NGHTTP2_NO_ERROR && !self.m_fault) {
      self.m_fault = aFrame->goaway.error_code == NGHTTP2_FRAME_SIZE_ERROR
                       ? PeerFault::OversizedFrame
                       : PeerFault::ProtocolError;
    }
    return 0;
  }

  static int OnFrameNotSent(nghttp2_session*,
                            const nghttp2_frame* aFrame,
                            int,
                            void* aSelf)
  {
    Http2Session& self = Self(aSelf);
    if (aFrame->hd.type == NGHTTP2_HEADERS &&
        self.m_side == SessionSide::Client) {
      self.CloseStream(aFrame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aSize,
                          std::uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aSelf)
  {
    Stream* stream = Self(aSelf).Find(aStream);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t left = stream->m_output.size() - stream->m_sent;
    const std::size_t size = std::min(left, aSize);
    std::memcpy(aBuffer, stream->m_output.data() + stream->m_sent, size);
    stream->m_sent += size;
    Self(aSelf).m_outputBytes -= size;
    if (stream->m_sent == stream->m_output.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
  }
};

Http2Session::Http2Session(SessionSide aSide, PeerLimits aLimits)
  : m_side(aSide)
  , m_limits(aLimits)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    throw std::runtime_error("nghttp2 could not create callbacks");
  }
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, Callbacks::OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(
    callbacks, Callbacks::BeforeFrameSend);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
    callbacks, Callbacks::OnFrameNotSent);
  const int created =
    aSide == SessionSide::Client
      ? nghttp2_session_client_new(&m_session, callbacks, this)
      : nghttp2_session_server_new(&m_session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (created != 0) {
    throw std::runtime_error("nghttp2 could not create a session");
  }
  const nghttp2_settings_entry settings[] = {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
      static_cast<std::uint32_t>(aLimits.m_maxStreams) },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes },
    { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
  };
  // A server must not announce the setting for push, the last in the list.
  const std::size_t count = aSide == SessionSide::Client ? 3 : 2;
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, count);
  nghttp2_session_set_local_window_size(
    m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(m_session);
}

std::optional<PeerFault>
Http2Session::Feed(std::string_view aBytes)
{
  if (m_fault) {
    return m_fault;
  }
  const ssize_t taken = nghttp2_session_mem_recv(
    m_session,
    reinterpret_cast<const std::uint8_t*>(aBytes.data()),
    aBytes.size());
  if (taken < 0 && !m_fault) {
    m_fault = PeerFault::ProtocolError;
  }
  return m_fault;
}

std::vector<SessionEvent>
Http2Session::TakeEvents()
{
  return std::exchange(m_events, {});
}

std::vector<PeerFault>
Http2Session::TakeStreamFaults()
{
  return std::exchange(m_streamFaults, {});
}

std::string_view
Http2Session::NextOutput()
{
  const std::uint8_t* data = nullptr;
  const ssize_t size = nghttp2_session_mem_send(m_session, &data);
  if (size <= 0) {
    return {};
  }
  return { reinterpret_cast<const char*>(data),
           static_cast<std::size_t>(size) };
}

std::optional<StreamId>
Http2Session::SubmitRequest(std::string aBody)
{
  const nghttp2_nv headers[] = {
    Header(":method", "POST"),
    Header(":scheme", "http"),
    Header(":authority", "peer"),
    Header(":path", "/"),
  };
  nghttp2_data_provider body{};
  body.read_callback = Callbacks::ReadBody;
  const StreamId stream = nghttp2_submit_request(
    m_session, nullptr, headers, std::size(headers), &body, nullptr);
  if (stream < 0) {
    return std::nullopt;
  }
  m_outputBytes += aBody.size();
  m_streams[stream].m_output = std::move(aBody);
  return stream;
}

void
Http2Session::SubmitReply(StreamId aStream, std::string aBody)
{
  Stream* stream = Find(aStream);
  if (stream == nullptr || !stream->m_inputEnded || stream->m_replied) {
    return;
  }
  stream->m_replied = true;
  const nghttp2_nv headers[] = { Header(":status", "200") };
  nghttp2_data_provider body{};
  body.read_callback = Callbacks::ReadBody;
  const bool empty = aBody.empty();
  m_outputBytes += aBody.size();
  stream->m_output = std::move(aBody);
  nghttp2_submit_response(
    m_session, aStream, headers, std::size(headers), empty ? nullptr : &body);
}

void
Http2Session::Reset(StreamId aStream)
{
  Forget(aStream);
  nghttp2_submit_rst_stream(
    m_session, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
}

void
Http2Session::Refuse(StreamId aStream)
{
  Forget(aStream);
  nghttp2_submit_rst_stream(
    m_session, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_REFUSED_STREAM);
}

void
Http2Session::Ping()
{
  nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

void
Http2Session::Shutdown()
{
  if (m_lastTaken) {
    return;
  }
  m_lastTaken = nghttp2_session_get_last_proc_stream_id(m_session);
  nghttp2_submit_goaway(
    m_session, NGHTTP2_FLAG_NONE, *m_lastTaken, NGHTTP2_NO_ERROR, nullptr, 0);
}

bool
Http2Session::MayHaveLeft(StreamId aStream) const
{
  const auto found = m_streams.find(aStream);
  return found != m_streams.end() && found->second.m_headersSent;
}

bool
Http2Session::Finished() const
{
  return nghttp2_session_want_read(m_session) == 0 &&
         nghttp2_session_want_write(m_session) == 0;
}

Http2Session::Stream*
Http2Session::Find(StreamId aStream)
{
  const auto found = m_streams.find(aStream);
  return found == m_streams.end() ? nullptr : &found->second;
}

void
Http2Session::Forget(StreamId aStream)
{
  const auto found = m_streams.find(aStream);
  if (found != m_streams.end()) {
    const Stream& stream = found->second;
    m_inputBytes -= stream.m_input.size();
    m_outputBytes -= stream.m_output.size() - stream.m_sent;
    m_streams.erase(found);
  }
}

void
Http2Session::OnInput(StreamId aStream, std::string_view aBytes)
{
  Stream* stream = Find(aStream);
  if (stream == nullptr) {
    return;
  }
  if (stream->m_input.size() + aBytes.size() > kMaxMessageBytes) {
    m_fault = PeerFault::OversizedFrame;
    nghttp2_session_terminate_session(m_session, NGHTTP2_ENHANCE_YOUR_CALM);
    return;
  }
  if (m_inputBytes + aBytes.size() > m_limits.m_maxQueuedBytes) {
    m_streamFaults.push_back(PeerFault::TooManyBytes);
    if (m_side == SessionSide::Server) {
      Refuse(aStream);
    } else {
      // The request may have run; only its reply is lost.
      CloseStream(aStream, NGHTTP2_CANCEL);
      Reset(aStream);
    }
    return;
  }
  stream->m_input.append(aBytes);
  m_inputBytes += aBytes.size();
}

void
Http2Session::OnInputEnd(StreamId aStream)
{
  Stream* stream = Find(aStream);
  if (stream == nullptr || stream->m_inputEnded) {
    return;
  }
  stream->m_inputEnded = true;
  if (m_side == SessionSide::Client) {
    return;
  }
  SessionEvent event;
  event.m_kind = SessionEventKind::Request;
  event.m_stream = aStream;
  event.m_body = std::move(stream->m_input);
  m_inputBytes -= event.m_body.size();
  stream->m_input.clear();
  m_events.push_back(std::move(event));
}

void
Http2Session::CloseStream(StreamId aStream, std::uint32_t aCode)
{
  Stream* stream = Find(aStream);
  if (stream == nullptr) {
    return;
  }
  if (m_side == SessionSide::Client) {
    SessionEvent event;
    event.m_kind = SessionEventKind::StreamClosed;
    event.m_stream = aStream;
    event.m_mayHaveLeft = stream->m_headersSent;
    event.m_refused = aCode == NGHTTP2_REFUSED_STREAM;
    event.m_whole = stream->m_inputEnded && aCode == NGHTTP2_NO_ERROR;
    m_inputBytes -= stream->m_input.size();
    event.m_body = std::move(stream->m_input);
    stream->m_input.clear();
    m_events.push_back(std::move(event));
  }
  Forget(aStream);
}

} // namespace lacewing::peer

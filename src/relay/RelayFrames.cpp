#include "relay/RelayFrames.h"

#include "core/TryDecode.h"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "relay/relay.pb.h"
#pragma GCC diagnostic pop

#include <algorithm>

namespace lacewing::relay {

namespace {

/// Bounds timeouts and lags on the wire, so that sums with them can't overflow.
constexpr Duration kLongestDuration = seconds(60);

/// Reads fields; remembers the first one that is wrong.
class FieldReader
{
public:
  bool Ok() const { return m_detail.empty(); }
  const std::string& Detail() const { return m_detail; }

  void Require(bool aCondition, const char* aField, const char* aReason)
  {
    if (!aCondition && m_detail.empty()) {
      m_detail = std::string(aField) + " " + aReason;
    }
  }

  /// A value of an enumeration with a table of names.
  template<typename Enum>
  Enum Value(std::uint32_t aNumber, const char* aField)
  {
    const auto value = static_cast<Enum>(aNumber);
    const auto& table = EnumNames<Enum>::kTable;
    const bool known = std::ranges::any_of(
      table, [&](const auto& aItem) { return aItem.first == value; });
    Require(known && aNumber <= UINT8_MAX, aField, "is not a known value");
    return known ? value : Enum{};
  }

  Duration Span(Duration aSpan, const char* aField)
  {
    Require(aSpan >= Duration::zero() && aSpan <= kLongestDuration,
            aField,
            "is above one minute");
    return std::clamp(aSpan, Duration::zero(), kLongestDuration);
  }

private:
  std::string m_detail;
};

std::uint64_t
ToMicroseconds(Time aTime)
{
  return static_cast<std::uint64_t>(aTime.time_since_epoch().count());
}

/// The bound keeps differences to the present from overflowing.
Time
ReadBeat(std::uint64_t aMicroseconds, FieldReader& aReader)
{
  constexpr std::uint64_t kLatest = std::uint64_t{ 1 } << 62U;
  aReader.Require(aMicroseconds <= kLatest, "beat_us", "is too late");
  return Time(
    Duration(static_cast<Duration::rep>(std::min(aMicroseconds, kLatest))));
}

void
Write(const pool::TaskRef& aIn, wire::Task& aOut)
{
  aOut.set_job(aIn.m_job.Value());
  aOut.set_step(aIn.m_step);
  aOut.set_index(aIn.m_index);
}

pool::TaskRef
Read(const wire::Task& aIn)
{
  return { JobId(aIn.job()), aIn.step(), aIn.index() };
}

// One overload of WriteCommand for each kind of command.

void
WriteCommand(const platform::LeaseExtension& aIn, wire::Order& aOut)
{
  wire::Extension& out = *aOut.mutable_extension();
  out.set_saved_ends(aIn.m_savedEnds);
  out.set_deadline_ms(aIn.m_deadlineMs);
  out.set_wait_ms(static_cast<std::uint32_t>(ToMilliseconds(aIn.m_wait)));
}

void
WriteCommand(const StartCommand& aIn, wire::Order& aOut)
{
  wire::Start& out = *aOut.mutable_start();
  Write(aIn.m_start.m_task, *out.mutable_task());
  out.set_run(aIn.m_start.m_run);
  out.set_deadline_ms(aIn.m_deadlineMs);
  out.set_payload(aIn.m_start.m_payload);
  if (!aIn.m_start.m_checkpoint.empty()) {
    out.set_checkpoint(aIn.m_start.m_checkpoint);
  }
  if (!aIn.m_start.m_ticket.empty()) {
    out.set_ticket(aIn.m_start.m_ticket);
  }
}

void
WriteCommand(const pool::StopTask& aIn, wire::Order& aOut)
{
  wire::Stop& out = *aOut.mutable_stop();
  Write(aIn.m_task, *out.mutable_task());
  out.set_run(aIn.m_run);
}

void
Write(const Order& aIn, wire::Order& aOut)
{
  aOut.set_call(aIn.m_call);
  aOut.set_worker(WorkerOf(aIn.m_command).Value());
  aOut.set_address(aIn.m_address.ToString());
  aOut.set_timeout_ms(
    static_cast<std::uint32_t>(ToMilliseconds(aIn.m_timeout)));
  std::visit([&](const auto& aCommand) { WriteCommand(aCommand, aOut); },
             aIn.m_command);
}

platform::LeaseExtension
ReadExtension(const wire::Order& aIn,
              const net::Address& aAddress,
              std::uint64_t aTerm,
              FieldReader& aReader)
{
  platform::LeaseExtension extension;
  extension.m_worker = pool::WorkerId(aIn.worker());
  extension.m_address = aAddress;
  extension.m_term = aTerm;
  extension.m_savedEnds = aIn.extension().saved_ends();
  extension.m_deadlineMs = aIn.extension().deadline_ms();
  extension.m_wait =
    aReader.Span(milliseconds(aIn.extension().wait_ms()), "wait_ms");
  return extension;
}

StartCommand
ReadStart(const wire::Order& aIn)
{
  const wire::Start& in = aIn.start();
  return { { pool::WorkerId(aIn.worker()),
             Read(in.task()),
             in.run(),
             in.payload(),
             in.checkpoint(),
             in.ticket() },
           in.deadline_ms() };
}

pool::StopTask
ReadStop(const wire::Order& aIn)
{
  return { pool::WorkerId(aIn.worker()),
           Read(aIn.stop().task()),
           aIn.stop().run() };
}

Order
Read(const wire::Order& aIn, std::uint64_t aTerm, FieldReader& aReader)
{
  Order order;
  order.m_call = aIn.call();
  const auto address =
    TryDecode<net::Address>([&] { return net::ParseAddress(aIn.address()); });
  aReader.Require(address.has_value(), "address", "is not an IP and a port");
  order.m_address = address.value_or(net::Address{});
  order.m_timeout = aReader.Span(milliseconds(aIn.timeout_ms()), "timeout_ms");
  const int commands = static_cast<int>(aIn.has_extension()) +
                       static_cast<int>(aIn.has_start()) +
                       static_cast<int>(aIn.has_stop());
  aReader.Require(commands == 1, "order", "has not exactly one command");
  if (aIn.has_extension()) {
    order.m_command = ReadExtension(aIn, order.m_address, aTerm, aReader);
  } else if (aIn.has_start()) {
    order.m_command = ReadStart(aIn);
  } else {
    order.m_command = ReadStop(aIn);
  }
  return order;
}

void
Write(const pool::Inventory& aIn, wire::Inventory& aOut)
{
  aOut.set_incarnation(aIn.m_incarnation);
  aOut.set_clock_ms(aIn.m_clockMs);
  aOut.set_ends_truncated(aIn.m_endsTruncated);
  for (const pool::ReportedRun& run : aIn.m_running) {
    wire::Run& out = *aOut.add_running();
    Write(run.m_task, *out.mutable_task());
    out.set_run(run.m_run);
    out.set_percent(static_cast<std::uint32_t>(std::max(run.m_percent, 0)));
    if (!run.m_checkpoint.empty()) {
      out.set_checkpoint(run.m_checkpoint);
    }
  }
  for (const pool::ReportedEnd& end : aIn.m_ended) {
    wire::End& out = *aOut.add_ended();
    out.set_number(end.m_number);
    Write(end.m_task, *out.mutable_task());
    out.set_run(end.m_run);
    out.set_how(static_cast<std::uint32_t>(end.m_how));
    if (!end.m_checkpoint.empty()) {
      out.set_checkpoint(end.m_checkpoint);
    }
  }
}

pool::Inventory
Read(const wire::Inventory& aIn, FieldReader& aReader)
{
  constexpr std::uint32_t kWhole = 100;
  pool::Inventory inventory;
  inventory.m_incarnation = aIn.incarnation();
  inventory.m_clockMs = aIn.clock_ms();
  inventory.m_endsTruncated = aIn.ends_truncated();
  inventory.m_running.reserve(static_cast<std::size_t>(aIn.running_size()));
  for (const wire::Run& run : aIn.running()) {
    inventory.m_running.push_back(
      { Read(run.task()),
        run.run(),
        run.checkpoint(),
        static_cast<int>(std::min(run.percent(), kWhole)) });
  }
  inventory.m_ended.reserve(static_cast<std::size_t>(aIn.ended_size()));
  for (const wire::End& end : aIn.ended()) {
    inventory.m_ended.push_back({ end.number(),
                                  Read(end.task()),
                                  end.run(),
                                  aReader.Value<pool::RunEnd>(end.how(), "how"),
                                  end.checkpoint() });
  }
  return inventory;
}

void
Write(const Answer& aIn, wire::Answer& aOut)
{
  aOut.set_call(aIn.m_call);
  aOut.set_state(static_cast<std::uint32_t>(aIn.m_state));
  aOut.set_outcome(static_cast<std::uint32_t>(aIn.m_outcome));
  aOut.set_clock_ms(aIn.m_clockMs);
  if (aIn.m_inventory) {
    Write(*aIn.m_inventory, *aOut.mutable_inventory());
  }
}

Answer
Read(const wire::Answer& aIn, FieldReader& aReader)
{
  Answer answer;
  answer.m_call = aIn.call();
  answer.m_state = aReader.Value<platform::CommandState>(aIn.state(), "state");
  answer.m_outcome =
    aReader.Value<pool::StartOutcome>(aIn.outcome(), "outcome");
  answer.m_clockMs = aIn.clock_ms();
  if (aIn.has_inventory()) {
    answer.m_inventory = Read(aIn.inventory(), aReader);
  }
  return answer;
}

leaf::error_id
Malformed(const char* aWhat, const std::string& aDetail)
{
  return Fail(Verdict::NotRun,
              ErrorCode::BadInput,
              std::string(aWhat) + " cannot be read: " + aDetail);
}

/// Parses without the library's log line for missing fields.
template<typename Wire>
bool
Parse(std::string_view aBytes, Wire& aOut)
{
  return aOut.ParsePartialFromArray(aBytes.data(),
                                    static_cast<int>(aBytes.size())) &&
         aOut.IsInitialized();
}

} // namespace

const pool::WorkerId&
WorkerOf(const Command& aCommand)
{
  struct Visitor
  {
    const pool::WorkerId& operator()(const StartCommand& aStart) const
    {
      return aStart.m_start.m_worker;
    }
    const pool::WorkerId& operator()(const pool::StopTask& aStop) const
    {
      return aStop.m_worker;
    }
    const pool::WorkerId& operator()(
      const platform::LeaseExtension& aExtension) const
    {
      return aExtension.m_worker;
    }
  };
  return std::visit(Visitor{}, aCommand);
}

std::string
EncodeOrders(const OrderFrame& aFrame)
{
  wire::OrderFrame out;
  out.set_term(aFrame.m_term);
  out.set_leader(aFrame.m_leader.Value());
  out.set_beat_us(ToMicroseconds(aFrame.m_beat));
  for (const Order& order : aFrame.m_orders) {
    Write(order, *out.add_orders());
  }
  return out.SerializeAsString();
}

std::string
EncodeAnswers(const AnswerFrame& aFrame)
{
  wire::AnswerFrame out;
  out.set_beat_us(ToMicroseconds(aFrame.m_beat));
  out.set_lag_us(static_cast<std::uint64_t>(aFrame.m_loopLag.count()));
  out.set_stopping(aFrame.m_stopping);
  for (const Answer& answer : aFrame.m_answers) {
    Write(answer, *out.add_answers());
  }
  return out.SerializeAsString();
}

Result<OrderFrame>
DecodeOrders(std::string_view aBytes)
{
  wire::OrderFrame in;
  if (!Parse(aBytes, in)) {
    return Malformed("frame of orders", "not such a message");
  }
  FieldReader reader;
  OrderFrame frame;
  frame.m_term = in.term();
  frame.m_leader = VmId(in.leader());
  frame.m_beat = ReadBeat(in.beat_us(), reader);
  frame.m_orders.reserve(static_cast<std::size_t>(in.orders_size()));
  for (const wire::Order& order : in.orders()) {
    frame.m_orders.push_back(Read(order, frame.m_term, reader));
  }
  if (!reader.Ok()) {
    return Malformed("frame of orders", reader.Detail());
  }
  return frame;
}

Result<AnswerFrame>
DecodeAnswers(std::string_view aBytes)
{
  wire::AnswerFrame in;
  if (!Parse(aBytes, in)) {
    return Malformed("frame of answers", "not such a message");
  }
  FieldReader reader;
  AnswerFrame frame;
  frame.m_beat = ReadBeat(in.beat_us(), reader);
  // A lag above the bound is as bad as the bound.
  frame.m_loopLag = std::min(
    Duration(static_cast<Duration::rep>(std::min<std::uint64_t>(
      in.lag_us(), static_cast<std::uint64_t>(kLongestDuration.count())))),
    kLongestDuration);
  frame.m_stopping = in.stopping();
  frame.m_answers.reserve(static_cast<std::size_t>(in.answers_size()));
  for (const wire::Answer& answer : in.answers()) {
    frame.m_answers.push_back(Read(answer, reader));
  }
  if (!reader.Ok()) {
    return Malformed("frame of answers", reader.Detail());
  }
  return frame;
}

} // namespace lacewing::relay

/// Guards against an owner whose copy of a worker's inventory differs from the
/// worker's after lost, repeated or late replies, restarts, changes of owner
/// and wrong deltas, and against measured sizes that are reported too small.
#include "WorkerModel.h"
#include "harness/DecoderFuzz.h"

#include <rapidcheck.h>

namespace lacewing::standin {

namespace {

enum class Op : std::uint8_t
{
  Start,
  Stop,
  Throttle,
  Unthrottle,
  Measure,
  Wait,
  LoseReply,
  RepeatReply,
  DelayReply,
  Restart,
  RestartWithoutDeltas,
  ChangeOwner,
  DropRow,
  EndMany,
  Count
};

struct Step
{
  Op m_op = Op::Wait;
  std::uint32_t m_value = 0;
};

struct Rules
{
  worker::InventoryChecks m_checks;
  bool m_newInstance = true; ///< a restarted worker has another instance id
  bool m_wrongDeltas = true; ///< `DropRow` removes a row of a delta
};

/// A worker and its owner. Each message goes through the codec.
class Pair
{
public:
  explicit Pair(Rules aRules)
    : m_rules(aRules)
    , m_worker(WithInstance(1))
    , m_view(aRules.m_checks)
  {
  }

  /// False once an accepted inventory differs from the worker's.
  bool Run(const Step& aStep)
  {
    m_now += milliseconds(100);
    worker::Command command;
    command.m_task = { JobId("job"), aStep.m_value % 20 };
    command.m_reserved = { 1000, 1000, 0 };
    command.m_runMs = 600'000;
    switch (aStep.m_op) {
      case Op::Throttle:
        command.m_kind = worker::CommandKind::Throttle;
        break;
      case Op::Unthrottle:
        command.m_kind = worker::CommandKind::Unthrottle;
        break;
      case Op::Stop:
        command.m_kind = worker::CommandKind::Stop;
        break;
      case Op::Measure:
        for (const worker::RunningTask& task : m_worker.Running()) {
          if (task.m_task == command.m_task) {
            m_worker.Measure(task.m_task, { 700, aStep.m_value % 2000, 0 });
          }
        }
        return Take(Exchange({}));
      case Op::Wait:
        m_now += seconds(aStep.m_value % 8);
        return Take(Exchange({}));
      case Op::LoseReply:
        Exchange({ command });
        return Take(Exchange({}));
      case Op::RepeatReply: {
        const Answer answer = Exchange({ command });
        return Take(answer) && Take(answer);
      }
      case Op::DelayReply: {
        const Answer late = Exchange({});
        const bool same = Take(Exchange({ command }));
        return same && Take(late) && Take(Exchange({}));
      }
      case Op::Restart:
      case Op::RestartWithoutDeltas:
        m_instance += m_rules.m_newInstance ? 1 : 0;
        m_worker = WithInstance(aStep.m_op == Op::Restart ? m_instance : 0);
        // Replies that are lost let the new process reach the old state number.
        command.m_kind = worker::CommandKind::Start;
        for (std::uint32_t i = 0; i < aStep.m_value % 32; ++i) {
          command.m_task.m_index = i;
          Exchange({ command });
        }
        return Take(Exchange({}));
      case Op::ChangeOwner:
        ++m_epoch;
        m_token = 0;
        m_view = worker::InventoryView(m_rules.m_checks);
        m_sequence = 0;
        m_taken = 0;
        return Take(Exchange({}));
      case Op::DropRow: {
        Answer answer = Exchange({ command });
        const auto& inventory = answer.m_reply.m_inventory;
        if (m_rules.m_wrongDeltas && inventory && inventory->m_delta) {
          answer.m_reply.m_inventory->m_delta->m_added.clear();
        }
        return Take(answer) && Take(Exchange({}));
      }
      case Op::EndMany:
        // More removals than the worker keeps, between two replies.
        for (int batch = 0; batch < 7; ++batch) {
          EndTen(batch);
        }
        return Take(Exchange({}));
      case Op::Start:
      case Op::Count:
        break;
    }
    return Take(Exchange({ command }));
  }

  std::size_t Deltas() const { return m_deltas; }

private:
  struct Answer
  {
    std::uint64_t m_sequence = 0;
    worker::ControlReply m_reply;
    std::vector<worker::RunningTask> m_running; ///< on the worker then
  };

  /// Starts ten short tasks with one message and stops them with the next.
  void EndTen(int aBatch)
  {
    std::vector<worker::Command> commands(10);
    for (worker::Command& command : commands) {
      const auto place = static_cast<std::uint32_t>(&command - commands.data());
      command.m_task = { JobId("short"),
                         static_cast<std::uint32_t>(aBatch) * 10 + place };
      command.m_reserved = { 1000, 1000, 0 };
      command.m_runMs = 600'000;
      command.m_attempt = ++m_attempt;
    }
    Exchange(commands);
    for (worker::Command& command : commands) {
      command.m_kind = worker::CommandKind::Stop;
    }
    Exchange(commands);
  }

  static WorkerModel WithInstance(std::uint64_t aInstance)
  {
    WorkerOptions options;
    options.m_capacity = { 32'000, 65'536, 2 };
    options.m_instance = aInstance;
    return WorkerModel(options);
  }

  /// Adopts the worker if it refuses the token.
  Answer Exchange(std::vector<worker::Command> aCommands)
  {
    Answer answer = Send(std::move(aCommands));
    if (!answer.m_reply.m_accepted) {
      m_token = 0;
      answer = Send({});
    }
    m_token = answer.m_reply.m_token;
    if (!answer.m_reply.m_ended.empty()) {
      m_endedSeen = answer.m_reply.m_ended.back().m_sequence;
    }
    return answer;
  }

  Answer Send(std::vector<worker::Command> aCommands)
  {
    worker::ControlRequest request;
    request.m_epoch = m_epoch;
    request.m_token = m_token;
    request.m_sequence = ++m_sequence;
    request.m_endedSeen = m_endedSeen;
    request.m_commands =
      m_token == 0 ? std::vector<worker::Command>() : std::move(aCommands);
    request.m_inventory = m_view.Basis(m_now);
    const auto received =
      DecodedOrFail(worker::DecodeRequest, worker::EncodeRequest(request));
    const auto reply = m_worker.Control(m_now, received);
    return { m_sequence,
             DecodedOrFail(worker::DecodeReply, worker::EncodeReply(reply)),
             m_worker.Running() };
  }

  bool Take(const Answer& aAnswer)
  {
    const bool late = aAnswer.m_sequence <= m_taken;
    m_taken = std::max(m_taken, aAnswer.m_sequence);
    const auto& inventory = aAnswer.m_reply.m_inventory;
    m_deltas += inventory && inventory->m_delta ? 1 : 0;
    const auto whole = m_view.Apply(m_now, aAnswer.m_sequence, aAnswer.m_reply);
    if (!whole) {
      return true;
    }
    return !late && whole->m_running == aAnswer.m_running &&
           whole->m_capacity == Resources{ 32'000, 65'536, 2 } &&
           whole->m_token == aAnswer.m_reply.m_token &&
           whole->m_ended.size() == aAnswer.m_reply.m_ended.size();
  }

  Rules m_rules;
  Time m_now = Time() + seconds(1000);
  std::uint64_t m_instance = 1;
  WorkerModel m_worker;
  worker::InventoryView m_view;
  Epoch m_epoch = 1;
  std::uint64_t m_token = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_taken = 0; ///< highest sequence number that was taken
  std::uint32_t m_attempt = 0;
  std::uint64_t m_endedSeen = 0;
  std::size_t m_deltas = 0;
};

/// True if each accepted inventory of a random sequence is the worker's.
bool
Equal(const Rules& aRules, std::mt19937_64& aRandom, std::size_t* aDeltas)
{
  Pair pair(aRules);
  for (int i = 0; i < 150; ++i) {
    const auto op = aRandom() % static_cast<std::uint64_t>(Op::Count);
    const auto value = static_cast<std::uint32_t>(aRandom());
    if (!pair.Run({ static_cast<Op>(op), value })) {
      return false;
    }
  }
  *aDeltas += pair.Deltas();
  return true;
}

/// Sequences of 40 in which an accepted inventory was wrong.
int
Noticed(const Rules& aRules)
{
  std::mt19937_64 random(20261204);
  std::size_t deltas = 0;
  int noticed = 0;
  for (int i = 0; i < 40; ++i) {
    noticed += Equal(aRules, random, &deltas) ? 0 : 1;
  }
  return noticed;
}

} // namespace

TEST(InventoryDeltas, RebuildTheWorkersInventory)
{
  std::size_t deltas = 0;
  EXPECT_TRUE(rc::check([&](std::uint32_t aSeed) {
    std::mt19937_64 random(aSeed);
    RC_ASSERT(Equal({}, random, &deltas));
  }));
  EXPECT_GT(deltas, 1000U) << "most replies must be deltas";
}

TEST(InventoryDeltas, TheCheckerNoticesAMissingHash)
{
  EXPECT_GT(Noticed({ { true, false }, true, true }), 0);
}

TEST(InventoryDeltas, TheCheckerNoticesAMissingOrder)
{
  EXPECT_GT(Noticed({ { false, true }, true, true }), 0);
}

/// Without the hash, only the instance id tells two processes apart.
TEST(InventoryDeltas, TheCheckerNoticesAMissingInstanceId)
{
  EXPECT_EQ(Noticed({ { true, false }, true, false }), 0);
  EXPECT_GT(Noticed({ { true, false }, false, false }), 0);
}

TEST(InventoryDeltas, ComeWithAWholeInventoryOnceAMinute)
{
  worker::InventoryView view;
  worker::ControlReply reply;
  reply.m_inventory = { { 7, 3 }, std::nullopt };
  ASSERT_TRUE(view.Apply(Time() + seconds(100), 1, reply));
  EXPECT_EQ(view.Basis(Time() + seconds(159)),
            (worker::InventoryBasis{ 7, 3 }));
  EXPECT_EQ(view.Basis(Time() + seconds(160)), worker::InventoryBasis());
}

TEST(InventoryDeltas, ReportNoSizeBelowTheMeasuredOne)
{
  const Resources reserved{ 1000, 1000, 1 };
  EXPECT_EQ(ReportedSize({ 901, 65, 1 }, reserved),
            Resources({ 1000, 128, 1 }));
  // A task within its declared size takes no more than that.
  EXPECT_EQ(ReportedSize({ 1, 999, 0 }, reserved), Resources({ 100, 1000, 0 }));
  EXPECT_EQ(ReportedSize({ 1001, 1001, 0 }, reserved),
            Resources({ 1100, 1024, 0 }));
}

} // namespace lacewing::standin

/// The protocol steps of ownership, as announced by the state machines. A test
/// injects a fault at a step; the daemon may count or trace them.
#pragma once

#include "core/EnumNames.h"

#include <cstdint>

namespace lacewing::ownership {

enum class Step : std::uint8_t
{
  JoinRowWrite,    ///< the own row is written as joining
  MemberWrite,     ///< renewal, alone or with claims and deposals
  ActiveWrite,     ///< the own row becomes active
  DrainWrite,      ///< the own row becomes draining
  LeaveWrite,      ///< the own row becomes deposed at the end of a drain
  DeposeWrite,     ///< a renewal that deposes others
  ClaimWrite,      ///< a renewal that claims slices
  ReleaseWrite,    ///< a slice is released
  AllotmentWrite,  ///< allotments of one slice change
  RelayWrite,      ///< the row of another member is renewed for it
  ViewRead,        ///< members, slices and limits are read
  RelayRead,       ///< the row of another member is read back for it
  HelloSend,       ///< a joining member announces itself
  HelloAnswerSend, ///< the announcement is acknowledged
  ProbeSend,       ///< a member asks for promises
  PromiseSend,     ///< a promise is given
  RelaySend,       ///< a member asks for a relayed renewal
  RelayAnswerSend, ///< the result of a relayed renewal
  ReleasedSend,    ///< the next owner is told of a release
  WorkerAdopt,     ///< a worker is adopted
  WorkerRenew,     ///< the lease of a worker is renewed
  WorkerCommand,   ///< a command of the scheduler (announced by its caller)
  AuthorityEnded,  ///< the owner stops acting
  SliceOpened,     ///< the owner may start tasks of the slice
  DrainStarted,    ///< a planned stop begins
};

} // namespace lacewing::ownership

template<>
struct lacewing::EnumNames<lacewing::ownership::Step>
{
  using Step = lacewing::ownership::Step;
  static constexpr std::array kTable = {
    std::pair{ Step::JoinRowWrite, std::string_view("join_row_write") },
    std::pair{ Step::MemberWrite, std::string_view("member_write") },
    std::pair{ Step::ActiveWrite, std::string_view("active_write") },
    std::pair{ Step::DrainWrite, std::string_view("drain_write") },
    std::pair{ Step::LeaveWrite, std::string_view("leave_write") },
    std::pair{ Step::DeposeWrite, std::string_view("depose_write") },
    std::pair{ Step::ClaimWrite, std::string_view("claim_write") },
    std::pair{ Step::ReleaseWrite, std::string_view("release_write") },
    std::pair{ Step::AllotmentWrite, std::string_view("allotment_write") },
    std::pair{ Step::RelayWrite, std::string_view("relay_write") },
    std::pair{ Step::ViewRead, std::string_view("view_read") },
    std::pair{ Step::RelayRead, std::string_view("relay_read") },
    std::pair{ Step::HelloSend, std::string_view("hello_send") },
    std::pair{ Step::HelloAnswerSend, std::string_view("hello_answer_send") },
    std::pair{ Step::ProbeSend, std::string_view("probe_send") },
    std::pair{ Step::PromiseSend, std::string_view("promise_send") },
    std::pair{ Step::RelaySend, std::string_view("relay_send") },
    std::pair{ Step::RelayAnswerSend, std::string_view("relay_answer_send") },
    std::pair{ Step::ReleasedSend, std::string_view("released_send") },
    std::pair{ Step::WorkerAdopt, std::string_view("worker_adopt") },
    std::pair{ Step::WorkerRenew, std::string_view("worker_renew") },
    std::pair{ Step::WorkerCommand, std::string_view("worker_command") },
    std::pair{ Step::AuthorityEnded, std::string_view("authority_ended") },
    std::pair{ Step::SliceOpened, std::string_view("slice_opened") },
    std::pair{ Step::DrainStarted, std::string_view("drain_started") },
  };
};

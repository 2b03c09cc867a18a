/// Steps of the settings protocol, for the timeline and for fault injection.
#pragma once

#include "core/EnumNames.h"

#include <cstdint>

namespace lacewing::settings {

/// A step whose name ends in "Send" is announced before the effect, so that a
/// process that ends there has not sent; one that ends in "Answer" after the
/// answer has arrived.
enum class Step : std::uint8_t
{
  ChangeCheck,
  ChangeReadSend,
  ChangeReadAnswer,
  CommitSend,
  CommitAnswer,
  ReadBackSend,
  ReadBackAnswer,
  ChangeDone,
  ConfirmSend,
  ConfirmAnswer,
  IndexReadSend,
  IndexReadAnswer,
  RowsReadSend,
  RowsReadAnswer,
  TakeInForce,
  HeartbeatSend,
  HeartbeatAnswer,
  PeerRowsSend,
  PeerRowsAnswer,
};

} // namespace lacewing::settings

template<>
struct lacewing::EnumNames<lacewing::settings::Step>
{
  using Step = lacewing::settings::Step;
  static constexpr std::array kTable = {
    std::pair{ Step::ChangeCheck, std::string_view("change_check") },
    std::pair{ Step::ChangeReadSend, std::string_view("change_read_send") },
    std::pair{ Step::ChangeReadAnswer, std::string_view("change_read_answer") },
    std::pair{ Step::CommitSend, std::string_view("commit_send") },
    std::pair{ Step::CommitAnswer, std::string_view("commit_answer") },
    std::pair{ Step::ReadBackSend, std::string_view("read_back_send") },
    std::pair{ Step::ReadBackAnswer, std::string_view("read_back_answer") },
    std::pair{ Step::ChangeDone, std::string_view("change_done") },
    std::pair{ Step::ConfirmSend, std::string_view("confirm_send") },
    std::pair{ Step::ConfirmAnswer, std::string_view("confirm_answer") },
    std::pair{ Step::IndexReadSend, std::string_view("index_read_send") },
    std::pair{ Step::IndexReadAnswer, std::string_view("index_read_answer") },
    std::pair{ Step::RowsReadSend, std::string_view("rows_read_send") },
    std::pair{ Step::RowsReadAnswer, std::string_view("rows_read_answer") },
    std::pair{ Step::TakeInForce, std::string_view("take_in_force") },
    std::pair{ Step::HeartbeatSend, std::string_view("heartbeat_send") },
    std::pair{ Step::HeartbeatAnswer, std::string_view("heartbeat_answer") },
    std::pair{ Step::PeerRowsSend, std::string_view("peer_rows_send") },
    std::pair{ Step::PeerRowsAnswer, std::string_view("peer_rows_answer") },
  };
};

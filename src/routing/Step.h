/// Steps of the request protocols. Every effect and every input of the routing
/// code names its step, so that a test can inject a fault exactly there.
#pragma once

#include "core/EnumNames.h"

#include <cstdint>

namespace lacewing::routing {

enum class Step : std::uint8_t
{
  FrontReceive,      ///< a caller's request arrives at the front
  FrontWriteInsert,  ///< the insert of a record leaves for the table
  FrontInsertResult, ///< the result of the insert arrives
  FrontReadRecord,   ///< a read of a record leaves for the table
  FrontRecordRead,   ///< the record arrives
  FrontForward,      ///< the request leaves for the owner
  OwnerAdmit,        ///< the request arrives at the owner
  OwnerDispatch,     ///< the request leaves for an endpoint
  EndpointStart,     ///< the request arrives at the endpoint
  EndpointAnswer,    ///< the answer leaves the endpoint
  OwnerAnswer,       ///< the answer arrives at the owner
  OwnerFailure,      ///< an attempt fails or times out at the owner
  OwnerRelay,        ///< an answer leaves the owner for the front
  OwnerRefuse,       ///< a refusal leaves the owner for the front
  OwnerProbe,        ///< a status query leaves for an endpoint
  OwnerStatus,       ///< the status of an endpoint arrives
  OwnerListRead,     ///< the VM list arrives
  FrontOwnerReply,   ///< an answer or refusal arrives at the front
  FrontWriteAnswer,  ///< the stored answer leaves for the table
  FrontAnswerResult, ///< the result of storing the answer arrives
  FrontDeleteRecord, ///< the delete of a record leaves for the table
  FrontDeleteResult, ///< the result of the delete arrives
  FrontReply,        ///< the reply leaves for the caller
};

} // namespace lacewing::routing

template<>
struct lacewing::EnumNames<lacewing::routing::Step>
{
  using Step = lacewing::routing::Step;
  static constexpr std::array kTable = {
    std::pair{ Step::FrontReceive, std::string_view("front_receive") },
    std::pair{ Step::FrontWriteInsert, std::string_view("front_write_insert") },
    std::pair{ Step::FrontInsertResult,
               std::string_view("front_insert_result") },
    std::pair{ Step::FrontReadRecord, std::string_view("front_read_record") },
    std::pair{ Step::FrontRecordRead, std::string_view("front_record_read") },
    std::pair{ Step::FrontForward, std::string_view("front_forward") },
    std::pair{ Step::OwnerAdmit, std::string_view("owner_admit") },
    std::pair{ Step::OwnerDispatch, std::string_view("owner_dispatch") },
    std::pair{ Step::EndpointStart, std::string_view("endpoint_start") },
    std::pair{ Step::EndpointAnswer, std::string_view("endpoint_answer") },
    std::pair{ Step::OwnerAnswer, std::string_view("owner_answer") },
    std::pair{ Step::OwnerFailure, std::string_view("owner_failure") },
    std::pair{ Step::OwnerRelay, std::string_view("owner_relay") },
    std::pair{ Step::OwnerRefuse, std::string_view("owner_refuse") },
    std::pair{ Step::OwnerProbe, std::string_view("owner_probe") },
    std::pair{ Step::OwnerStatus, std::string_view("owner_status") },
    std::pair{ Step::OwnerListRead, std::string_view("owner_list_read") },
    std::pair{ Step::FrontOwnerReply, std::string_view("front_owner_reply") },
    std::pair{ Step::FrontWriteAnswer, std::string_view("front_write_answer") },
    std::pair{ Step::FrontAnswerResult,
               std::string_view("front_answer_result") },
    std::pair{ Step::FrontDeleteRecord,
               std::string_view("front_delete_record") },
    std::pair{ Step::FrontDeleteResult,
               std::string_view("front_delete_result") },
    std::pair{ Step::FrontReply, std::string_view("front_reply") },
  };
};

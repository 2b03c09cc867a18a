/// One example of every message between entry daemons, with all fields set.
#pragma once

#include "peer/PeerMessages.h"

#include <vector>

namespace lacewing::fakes {

inline peer::ForwardRequest
SampleRequest()
{
  peer::ForwardRequest request;
  request.m_service = ServiceId("lot-ledger");
  request.m_method = "assess";
  request.m_team = TeamId("quality");
  request.m_requestId = "request-1";
  request.m_idempotencyKey = "key-1";
  request.m_class = RequestClass::Patient;
  request.m_remaining = milliseconds(1500);
  request.m_body = std::string("body\0with\xff zero", 15);
  request.m_hops = 1;
  request.m_slice = SliceId("service-lot-ledger-a-1");
  request.m_idempotent = true;
  return request;
}

inline peer::Heartbeat
SampleHeartbeat()
{
  peer::Heartbeat heartbeat;
  heartbeat.m_vm = VmId("vm-1");
  heartbeat.m_incarnation = 3;
  heartbeat.m_settingsVersion = 12;
  heartbeat.m_confirmationAge = milliseconds(250);
  heartbeat.m_slices = { { SliceId("workers-1"), 0.75, 12000, 4 },
                         { SliceId("lot-ledger-2"), 0.0, -5, 0 } };
  heartbeat.m_teams = { { TeamId("quality"), 64000, 9 } };
  heartbeat.m_released = {
    { SliceId("lot-ledger-2"), 4, { { VmId("runner-8"), 2 } } }
  };
  heartbeat.m_sequence = 9;
  heartbeat.m_base = 7;
  heartbeat.m_removedSlices = { SliceId("workers-3") };
  heartbeat.m_removedTeams = { TeamId("buyers") };
  return heartbeat;
}

inline std::vector<peer::PeerMessage>
SampleMessages()
{
  using namespace peer;
  Answer answer;
  answer.m_status = 200;
  answer.m_body = "whole answer";
  answer.m_bytes = answer.m_body.size();
  Answer failure;
  failure.m_status = 502;
  failure.m_error =
    Error{ Verdict::MayHaveRun, ErrorCode::EndpointFailed, "runner-8 closed" };
  ForwardRequest withoutKey = SampleRequest();
  withoutKey.m_idempotencyKey.reset();
  return {
    SampleHeartbeat(),
    SampleRequest(),
    withoutKey,
    answer,
    failure,
    SubmitJob{ R"({"tasks":3})" },
    QueryJob{ R"({"job":"j"})" },
    JobReply{ 202, R"({"id":"j"})" },
    Opaque{ "kind", "text" },
    Refusal{ { Verdict::NotRun, ErrorCode::NotOwner, "slice has moved" } },
    Acknowledgement{},
    HeartbeatReply{ 9, true },
  };
}

} // namespace lacewing::fakes

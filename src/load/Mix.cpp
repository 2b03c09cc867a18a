#include "load/Mix.h"

namespace lacewing::load {

namespace {

using caller::JobKind;
using caller::JobSpec;

JobSpec
MakeJob(std::string aName, std::uint32_t aTasks, Resources aPerTask)
{
  JobSpec spec;
  spec.m_name = std::move(aName);
  spec.m_tasks = aTasks;
  spec.m_perTask = aPerTask;
  spec.m_runMs = 200;
  return spec;
}

Mix
Vanigliera()
{
  Mix mix{ "vanigliera", "lot-ledger", {}, {} };
  mix.m_requests = {
    { "assess", 0.6, RequestClass::Interactive, true, seconds(2) },
    { "reconcile", 0.25, RequestClass::Interactive, false, seconds(10) },
    { "allocate", 0.15, RequestClass::Interactive, false, seconds(5) },
  };
  JobSpec assessment = MakeJob("assessment", 2, { 2000, 4096, 0 });
  JobSpec urgent = MakeJob("urgent-assessment", 1, { 1000, 2048, 0 });
  urgent.m_urgent = true;
  JobSpec report = MakeJob("report", 8, { 500, 1024, 0 });
  report.m_patient = true;
  mix.m_jobs = { { 0.6, assessment }, { 0.2, urgent }, { 0.2, report } };
  return mix;
}

Mix
Guild()
{
  Mix mix{ "guild", "die-proof", {}, {} };
  mix.m_requests = {
    { "quote", 0.3, RequestClass::Interactive, true, seconds(2) },
    { "edge-check", 0.5, RequestClass::Patient, true, seconds(30) },
    { "proof", 0.2, RequestClass::Patient, false, seconds(30) },
  };
  JobSpec proof = MakeJob("full-sheet", 1, { 8000, 16384, 0 });
  proof.m_patient = true;
  proof.m_atMostOnce = true;
  JobSpec checks = MakeJob("edge-bridge", 16, { 250, 512, 0 });
  checks.m_patient = true;
  JobSpec gang = MakeJob("nesting", 4, { 4000, 4096, 0 });
  gang.m_kind = JobKind::Gang;
  mix.m_jobs = { { 0.3, proof }, { 0.5, checks }, { 0.2, gang } };
  return mix;
}

} // namespace

std::optional<Mix>
FindMix(const std::string& aName)
{
  if (aName == "vanigliera") {
    return Vanigliera();
  }
  if (aName == "guild") {
    return Guild();
  }
  return std::nullopt;
}

} // namespace lacewing::load

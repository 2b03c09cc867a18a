/// Guards G3 and G10 on schedules of up to six faults that RapidCheck draws.
/// Each of the four tests runs 1,300 schedules, with sanitizers 100.
#include "fakes/SettingsCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace lacewing::fakes {

struct Schedule
{
  std::uint64_t m_seed = 0;
  bool m_oneReader = true;
  bool m_loseFirstAnswer = false;
  std::vector<PlannedSettingsFault> m_faults;
};

std::ostream&
operator<<(std::ostream& aOut, const Schedule& aSchedule)
{
  aOut << "seed " << aSchedule.m_seed << ", one reader "
       << aSchedule.m_oneReader << ", first answer lost "
       << aSchedule.m_loseFirstAnswer;
  for (const PlannedSettingsFault& fault : aSchedule.m_faults) {
    aOut << "; fault " << static_cast<int>(fault.m_kind) << " at "
         << NameOf(fault.m_step) << " " << fault.m_occurrence << " of process "
         << fault.m_process;
  }
  return aOut;
}

} // namespace lacewing::fakes

namespace rc {

template<>
struct Arbitrary<lacewing::fakes::PlannedSettingsFault>
{
  using Fault = lacewing::fakes::PlannedSettingsFault;
  // NOLINTNEXTLINE(readability-identifier-naming): RapidCheck's own name
  static Gen<Fault> arbitrary()
  {
    return gen::map(gen::tuple(gen::inRange(0, lacewing::fakes::kFaultKinds),
                               gen::inRange(0, lacewing::fakes::kSteps),
                               gen::inRange(1, 15),
                               gen::inRange(-1, 4)),
                    [](const std::tuple<int, int, int, int>& aParts) {
                      return Fault{ static_cast<lacewing::fakes::FaultKind>(
                                      std::get<0>(aParts)),
                                    static_cast<lacewing::settings::Step>(
                                      std::get<1>(aParts)),
                                    std::get<2>(aParts),
                                    std::get<3>(aParts) };
                    });
  }
};

template<>
struct Arbitrary<lacewing::fakes::Schedule>
{
  using Schedule = lacewing::fakes::Schedule;
  // NOLINTNEXTLINE(readability-identifier-naming): RapidCheck's own name
  static Gen<Schedule> arbitrary()
  {
    const auto faults = gen::mapcat(gen::inRange(0, 7), [](int aCount) {
      return gen::container<std::vector<lacewing::fakes::PlannedSettingsFault>>(
        static_cast<std::size_t>(aCount),
        gen::arbitrary<lacewing::fakes::PlannedSettingsFault>());
    });
    return gen::build<Schedule>(
      gen::set(&Schedule::m_seed, gen::inRange<std::uint64_t>(0, 1U << 30U)),
      gen::set(&Schedule::m_oneReader),
      gen::set(&Schedule::m_loseFirstAnswer),
      gen::set(&Schedule::m_faults, faults));
  }
};

} // namespace rc

namespace lacewing::fakes {

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kPerCase = 1;
#else
constexpr std::size_t kPerCase = 13;
#endif

/// The freshness limit of 5 s on a clock that is up to 1% slow.
constexpr Duration kWithdrawalBound = milliseconds(5100);
constexpr Duration kInForceBound = seconds(8);

/// At full size from the first case on, since a smaller size would leave out
/// the later faults and steps.
rc::Gen<Schedule>
AnySchedule()
{
  return rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<Schedule>());
}

/// Runs the schedules of one of RapidCheck's 100 cases. All properties get the
/// same seed, so each quarter passes over the draws of those before it.
void
CheckSchedules(std::size_t aQuarter)
{
  for (std::size_t i = 0; i < aQuarter * kPerCase; ++i) {
    const auto skipped = *rc::gen::noShrink(AnySchedule());
    RC_PRE(skipped.m_faults.size() < 100U);
  }
  for (std::size_t i = 0; i < kPerCase; ++i) {
    const auto schedule = *AnySchedule();
    ClusterOptions options;
    options.m_seed = schedule.m_seed;
    options.m_distribution = schedule.m_oneReader
                               ? settings::Distribution::Region
                               : settings::Distribution::Direct;
    options.m_loseFirstAnswer = schedule.m_loseFirstAnswer;
    SettingsCluster cluster(options, schedule.m_faults);
    const History& history = cluster.Run();
    for (const Faults& faults :
         { CheckKeys(history, kWithdrawalBound),
           CheckNeverReverts(history),
           CheckChanges(history),
           CheckInForceWithin(history, kInForceBound) }) {
      if (!faults.empty()) {
        std::ostringstream text;
        text << schedule << ": " << faults.front();
        RC_FAIL(text.str());
      }
    }
  }
}

} // namespace

RC_GTEST_PROP(SettingsSchedules, FirstQuarter, ())
{
  CheckSchedules(0);
}

RC_GTEST_PROP(SettingsSchedules, SecondQuarter, ())
{
  CheckSchedules(1);
}

RC_GTEST_PROP(SettingsSchedules, ThirdQuarter, ())
{
  CheckSchedules(2);
}

RC_GTEST_PROP(SettingsSchedules, FourthQuarter, ())
{
  CheckSchedules(3);
}

} // namespace lacewing::fakes

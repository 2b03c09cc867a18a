/// Guards against wrong percentiles, reports that fail without measurements,
/// and mixes whose shares do not add up to 1.
#include "load/LoadReport.h"
#include "load/Mix.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lacewing::load {

TEST(LoadReport, PercentileIsTheSmallestSufficientValue)
{
  std::vector<Duration> values;
  for (int i = 1000; i >= 1; --i) {
    values.emplace_back(i);
  }
  EXPECT_EQ(Percentile(values, 0.0), Duration(1));
  EXPECT_EQ(Percentile(values, 0.5), Duration(500));
  EXPECT_EQ(Percentile(values, 0.99), Duration(990));
  EXPECT_EQ(Percentile(values, 0.999), Duration(999));
  EXPECT_EQ(Percentile(values, 1.0), Duration(1000));
  EXPECT_EQ(Percentile({ Duration(7) }, 0.5), Duration(7));
  EXPECT_EQ(Percentile({}, 0.5), Duration::zero());
}

TEST(LoadReport, EmptyReportsAreWhole)
{
  LoadReport report;
  EXPECT_NE(ToText(report).find("lost 0, doubled 0"), std::string::npos);
  EXPECT_TRUE(nlohmann::json::parse(ToJson(report)).at("kinds").empty());
  EXPECT_TRUE(ToSvg(report).ends_with("</svg>\n"));
  report.m_kinds["assess"].m_sent = 1;
  const auto json = nlohmann::json::parse(ToJson(report));
  EXPECT_EQ(json.at("kinds").at("assess").at("latency_ms").at("p99.9"), 0.0);
  EXPECT_TRUE(ToSvg(report).ends_with("</svg>\n"));
}

TEST(LoadReport, CountsRefusalsOfAllReasons)
{
  LoadReport report;
  report.m_kinds["assess"].m_refused = { { "queue_full", 3 },
                                         { "draining", 4 } };
  EXPECT_NE(ToText(report).find(" 7 "), std::string::npos);
  EXPECT_NE(ToText(report).find("refused queue_full: 3"), std::string::npos);
  report.m_violations.m_untrue = 1;
  EXPECT_TRUE(report.m_violations.Any());
}

TEST(Mix, SharesAddUpToOne)
{
  for (const std::string name : { "vanigliera", "guild" }) {
    const auto mix = FindMix(name);
    ASSERT_TRUE(mix) << name;
    double requests = 0.0;
    for (const RequestKind& kind : mix->m_requests) {
      requests += kind.m_share;
    }
    double jobs = 0.0;
    for (const JobKindShare& kind : mix->m_jobs) {
      jobs += kind.m_share;
    }
    EXPECT_NEAR(requests, 1.0, 1e-9) << name;
    EXPECT_NEAR(jobs, 1.0, 1e-9) << name;
  }
  EXPECT_FALSE(FindMix("other"));
}

TEST(Mix, PicksByShare)
{
  const auto requests = FindMix("vanigliera")->m_requests;
  EXPECT_EQ(PickByShare(requests, 0.0).m_method, "assess");
  EXPECT_EQ(PickByShare(requests, 0.61).m_method, "reconcile");
  EXPECT_EQ(PickByShare(requests, 0.999).m_method, "allocate");
  EXPECT_EQ(PickByShare(requests, 1.0).m_method, "allocate");
}

} // namespace lacewing::load

/// Load tool: drives a running cell with one user's mix and checks the answers.
#include "load/LoadRunner.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace lacewing;

constexpr const char* kUsage = R"(Load tool of the lacewingvale scheduler.

Usage:
  lacewing-load --mix=NAME --entries=ADDRS [options]
  lacewing-load (-h | --help)

Options:
  --mix=NAME         vanigliera or guild.
  --entries=ADDRS    Entry daemons as IP:PORT, divided by commas.
  --endpoints=ADDRS  Stand-in endpoints, to check what ran [default: ].
  --workers=ADDRS    Stand-in workers, to check what started [default: ].
  --direct           Send requests straight to the endpoints, as a baseline.
  --rate=N           Requests a second [default: 100].
  --jobs=N           Jobs a second [default: 0].
  --seconds=N        Length of the run [default: 10].
  --seed=N           Seed of arrivals and choices [default: 1].
  --report=FILE      Write the report as JSON.
  --plot=FILE        Write a plot of the latencies as SVG.

The team's key is taken from the environment variable LACEWING_KEY.
Exit codes: 0 done, 1 something was lost, doubled or untrue, 2 bad arguments.
)";

Result<std::vector<net::Address>>
ParseList(const std::string& aText)
{
  std::vector<net::Address> addresses;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, ',');) {
    BOOST_LEAF_AUTO(address, net::ParseAddress(part));
    addresses.push_back(address);
  }
  return addresses;
}

void
WriteFile(const docopt::value& aFile, const std::string& aText)
{
  if (aFile) {
    std::ofstream(aFile.asString()) << aText;
  }
}

Result<int>
Run(std::map<std::string, docopt::value>& aArguments)
{
  const std::string name = aArguments["--mix"].asString();
  const auto mix = load::FindMix(name);
  if (!mix) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "--mix is '" + name + "'; expected vanigliera or guild");
  }
  load::LoadOptions options;
  BOOST_LEAF_ASSIGN(options.m_entries,
                    ParseList(aArguments["--entries"].asString()));
  BOOST_LEAF_ASSIGN(options.m_endpoints,
                    ParseList(aArguments["--endpoints"].asString()));
  BOOST_LEAF_ASSIGN(options.m_workers,
                    ParseList(aArguments["--workers"].asString()));
  options.m_direct = aArguments["--direct"].asBool();
  options.m_requestsPerSecond = std::stod(aArguments["--rate"].asString());
  options.m_jobsPerSecond = std::stod(aArguments["--jobs"].asString());
  options.m_duration = seconds(std::stol(aArguments["--seconds"].asString()));
  options.m_seed = std::stoull(aArguments["--seed"].asString());
  const char* key = std::getenv("LACEWING_KEY");
  options.m_key = key == nullptr ? "" : key;
  if (options.m_entries.empty() ||
      (options.m_direct && options.m_endpoints.empty())) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "--entries, or with --direct --endpoints, names no address");
  }
  net::Loop loop;
  load::LoadRunner runner(loop, *mix, options);
  const load::LoadReport report = runner.Run();
  std::cout << load::ToText(report);
  WriteFile(aArguments["--report"], load::ToJson(report));
  WriteFile(aArguments["--plot"], load::ToSvg(report));
  return report.m_violations.Any() ? 1 : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kBadArguments = 2;
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "0.1.0");
  try {
    return leaf::try_handle_all([&] { return Run(arguments); },
                                [](const Error& aError) {
                                  std::cerr
                                    << "lacewing-load: " << aError.m_message
                                    << "\n";
                                  return kBadArguments;
                                },
                                [] { return 1; });
  } catch (const std::logic_error& error) {
    std::cerr << "lacewing-load: a number is malformed: " << error.what()
              << "\n";
    return kBadArguments;
  }
}

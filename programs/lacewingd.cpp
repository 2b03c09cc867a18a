/// The entry daemon.
#include "daemon/EntryDaemon.h"

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace lacewing;

constexpr const char* kUsage = R"(Entry daemon of the lacewingvale scheduler.

Usage:
  lacewingd --config=FILE
  lacewingd (-h | --help)
  lacewingd --version

Options:
  --config=FILE  INI file with the settings of this process; see
                 docs/settings.md. Check it with
                 'lacewing settings check --bootstrap FILE'.

SIGTERM and SIGINT start a planned stop, which cuts no request.
Exit codes: 0 planned stop, 1 internal error, 2 bad settings or address.
)";

Result<std::string>
ReadFile(const std::string& aFile)
{
  const std::ifstream in(aFile);
  if (!in) {
    return Fail(
      Verdict::NotRun, ErrorCode::BadInput, "cannot read the file " + aFile);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Result<settings::Bootstrap>
LoadBootstrap(const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, ReadFile(aFile));
  auto parsed = settings::ParseBootstrap(aFile, text);
  if (!parsed.m_bootstrap) {
    return Fail(Verdict::NotRun, ErrorCode::BadInput, parsed.ErrorText());
  }
  return *parsed.m_bootstrap;
}

Result<std::string>
LoadSecret(const settings::Bootstrap& aBootstrap)
{
  if (!aBootstrap.m_clusterSecret.empty()) {
    return aBootstrap.m_clusterSecret;
  }
  BOOST_LEAF_AUTO(text, ReadFile(aBootstrap.m_clusterSecretFile));
  return text.substr(0, text.find('\n'));
}

Result<int>
Run(const std::string& aFile)
{
  BOOST_LEAF_AUTO(bootstrap, LoadBootstrap(aFile));
  BOOST_LEAF_AUTO(secret, LoadSecret(bootstrap));
  net::Loop loop;
  daemon::EntryDaemon entry(loop, bootstrap, secret);
  loop.OnSignal(SIGTERM, [&] { entry.BeginDrain(); });
  loop.OnSignal(SIGINT, [&] { entry.BeginDrain(); });
  BOOST_LEAF_CHECK(entry.Start());
  loop.Run();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kBadSettings = 2;
  auto options =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "lacewingd 0.1.0");
  return leaf::try_handle_all(
    [&] { return Run(options["--config"].asString()); },
    [](const Error& aError) {
      std::cerr << "lacewingd: " << aError.m_message << "\n";
      return kBadSettings;
    },
    [] { return 1; });
}

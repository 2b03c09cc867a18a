/// The entry daemon of a pool on the users' platform.
#include "edge/EdgeDaemon.h"
#include "platform/SettingsFile.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace lacewing;

constexpr const char* kUsage =
  R"(Entry daemon of the lacewingvale scheduler for a pool on the users' platform.

Usage:
  lacewing-edge [--settings=FILE]
  lacewing-edge (-h | --help)
  lacewing-edge --version

Options:
  --settings=FILE  Settings of this process (YAML, as the platform writes them);
                   by default the file that LACEWINGVALE_SETTINGS names.

SIGTERM and SIGINT start a planned stop, which cuts no request.
Exit codes: 0 planned stop, 1 internal error, 2 bad settings or address.
)";

std::string
SettingsPath(const docopt::value& aOption)
{
  if (aOption) {
    return aOption.asString();
  }
  const char* path = std::getenv(platform::kSettingsVariable); // NOLINT
  return path == nullptr ? std::string() : std::string(path);
}

Result<int>
Run(const std::string& aPath)
{
  BOOST_LEAF_AUTO(settings, platform::ReadSettingsFile(aPath));
  net::Loop loop;
  edge::EdgeDaemon daemon(loop, settings);
  loop.OnSignal(SIGTERM, [&] { daemon.BeginDrain(); });
  loop.OnSignal(SIGINT, [&] { daemon.BeginDrain(); });
  loop.OnSignal(SIGHUP, [&] { daemon.OnSettingsChanged(); });
  BOOST_LEAF_CHECK(daemon.Start());
  loop.Run();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kBadSettings = 2;
  std::signal(SIGPIPE, SIG_IGN);
  auto options = docopt::docopt(
    kUsage, { argv + 1, argv + argc }, true, "lacewing-edge 0.1.0");
  return leaf::try_handle_all(
    [&] { return Run(SettingsPath(options["--settings"])); },
    [](const Error& aError) {
      std::cerr << "lacewing-edge: " << aError.m_message << "\n";
      return kBadSettings;
    },
    [] { return 1; });
}

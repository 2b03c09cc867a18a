/// Prints the reference page of the settings or of the metrics.
#include "observe/Metrics.h"
#include "settings/Schema.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr const char* kUsage =
  R"(Prints a reference page that is generated from the source's tables.

Usage:
  lacewing-settings-doc settings
  lacewing-settings-doc metrics
)";

} // namespace

int
main(int argc, char** argv)
{
  auto options = docopt::docopt(kUsage, { argv + 1, argv + argc }, true);
  std::cout << (options["settings"].asBool()
                  ? lacewing::settings::SettingsPage()
                  : lacewing::observe::MetricsPage());
  return 0;
}

/// What every command of the client gets: arguments, a connection and the
/// output.
#pragma once

#include "cli/EntryClient.h"
#include "cli/Output.h"

#include <docopt/docopt.h>

#include <map>
#include <ostream>
#include <string>

namespace lacewing::cli {

using Arguments = std::map<std::string, docopt::value>;

struct CommandContext
{
  Arguments m_arguments;
  EntryClient& m_client;
  std::ostream& m_out;
  std::ostream& m_progress; ///< for messages about work that takes long
  OutputFormat m_format = OutputFormat::Table;

  /// True if the command or flag was given.
  bool Has(const std::string& aName) const;
  /// Text of an argument or option, or an empty string.
  std::string Get(const std::string& aName) const;
};

/// The contents of a file; "-" is the standard input. Errors: `BadInput`
/// naming the file.
Result<std::string>
ReadInput(const std::string& aFile);

} // namespace lacewing::cli

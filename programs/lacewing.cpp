/// The operator's and caller's command-line client.
#include "cli/CellCommands.h"
#include "cli/Completion.h"
#include "cli/ExitCode.h"
#include "cli/JobCommands.h"
#include "cli/SettingsCommands.h"
#include "cli/TeamCommands.h"
#include "cli/TimelineCommand.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace {

using namespace lacewing;
using cli::CommandContext;

constexpr const char* kUsage =
  R"(Client of the lacewingvale scheduler for operators and callers.

Usage:
  lacewing [options] teams list
  lacewing [options] teams show TEAM
  lacewing [options] teams create TEAM [--weight=N] [--millicores=N] [--requests=N]
  lacewing [options] teams remove TEAM
  lacewing [options] keys list TEAM
  lacewing [options] keys create TEAM
  lacewing [options] keys rotate TEAM KEYID
  lacewing [options] keys withdraw TEAM KEYID
  lacewing [options] keys digest
  lacewing [options] share set TEAM WEIGHT
  lacewing [options] limit show TEAM
  lacewing [options] limit set TEAM [--millicores=N] [--requests=N]
  lacewing [options] queues list
  lacewing [options] settings list
  lacewing [options] settings get SUBTREE
  lacewing [options] settings set SUBTREE SECTION KEY VALUE
  lacewing [options] settings diff SUBTREE FILE
  lacewing [options] settings history SUBTREE
  lacewing [options] settings check (--bootstrap | SUBTREE) FILE
  lacewing [options] settings apply SUBTREE FILE [--base=VERSION] [--wait]
  lacewing [options] submit FILE [--idempotency-key=KEY] [--wait]
  lacewing [options] status JOB
  lacewing [options] cancel JOB
  lacewing [options] resolve JOB (--run-again | --give-up)
  lacewing [options] explain JOB
  lacewing [options] members
  lacewing [options] nodes
  lacewing [options] top
  lacewing [options] drain VM
  lacewing [options] timeline [--job=JOB] [--request=ID] [--team=TEAM] [--vm=VM] [--process=VM] [--chrome]
  lacewing completion bash
  lacewing (-h | --help)
  lacewing --version

Options:
  --entry=ADDRS      Entry daemons as IP:PORT, divided by commas; the default
                     is the environment variable LACEWING_ENTRY.
  --output=FORMAT    table or json [default: table].
  --weight=N         Share of the team relative to others.
  --millicores=N     Upper limit of running tasks in 1/1000 core.
  --requests=N       Upper limit of running service requests.
  --base=VERSION     Version of the subtree that the file was made from.
  --wait             Return when it is in force or has ended.
  --run-again        Run the job's tasks again that may have run.
  --give-up          Count the job's tasks that may have run as failed.
  --bootstrap        The file is a daemon's own file.
  --chrome           Print the time line in the Chrome trace format.

The key is taken from the environment variable LACEWING_KEY, so that it shows
in no process list: a team's key for jobs, the administrator's for the rest.

Exit codes: 0 done, 1 other error, 2 bad arguments or input, 3 not run, 4 may
have run, 5 not found, 6 conflict with another change, 7 key refused.

Example:
  export LACEWING_ENTRY=127.0.0.1:7451,127.0.0.1:7452 LACEWING_KEY=...
  lacewing teams create assessors --weight=3 --millicores=200000
  lacewing keys create assessors
  echo '{"name":"grade","tasks":4,"run_ms":300}' | lacewing submit - --wait
)";

using Command = Result<void> (*)(CommandContext&);

struct CommandEntry
{
  const char* m_group;
  const char* m_verb; ///< empty for commands of one word
  Command m_command;
};

constexpr CommandEntry kCommands[] = {
  { "teams", "list", cli::ListTeams },
  { "teams", "show", cli::ShowTeam },
  { "teams", "create", cli::CreateTeam },
  { "teams", "remove", cli::RemoveTeam },
  { "keys", "list", cli::ListKeys },
  { "keys", "create", cli::MakeKey },
  { "keys", "rotate", cli::RotateKey },
  { "keys", "withdraw", cli::WithdrawKey },
  { "keys", "digest", cli::PrintKeyDigest },
  { "share", "set", cli::SetShare },
  { "limit", "show", cli::ShowLimit },
  { "limit", "set", cli::SetLimit },
  { "queues", "list", cli::ListQueues },
  { "settings", "list", cli::ListSettings },
  { "settings", "get", cli::GetSettings },
  { "settings", "set", cli::SetSetting },
  { "settings", "diff", cli::DiffSettings },
  { "settings", "history", cli::SettingsHistory },
  { "settings", "check", cli::CheckSettings },
  { "settings", "apply", cli::ApplySettings },
  { "submit", "", cli::Submit },
  { "status", "", cli::Status },
  { "cancel", "", cli::Cancel },
  { "resolve", "", cli::Resolve },
  { "explain", "", cli::Explain },
  { "members", "", cli::Members },
  { "nodes", "", cli::Nodes },
  { "top", "", cli::Top },
  { "drain", "", cli::Drain },
  { "timeline", "", cli::Timeline },
  { "completion", "bash", cli::PrintBashCompletion },
};

std::string
FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

Result<std::vector<net::Address>>
ParseEntries(const std::string& aText)
{
  std::vector<net::Address> entries;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, ',');) {
    BOOST_LEAF_AUTO(address, net::ParseAddress(part));
    entries.push_back(address);
  }
  return entries;
}

Result<void>
Run(const cli::Arguments& aArguments)
{
  const auto& entryOption = aArguments.at("--entry");
  BOOST_LEAF_AUTO(entries,
                  ParseEntries(entryOption
                                 ? entryOption.asString()
                                 : FromEnvironment("LACEWING_ENTRY")));
  cli::EntryClient client(entries, FromEnvironment("LACEWING_KEY"));
  const std::string formatText = aArguments.at("--output").asString();
  const auto format = ParseName<cli::OutputFormat>(formatText);
  if (!format) {
    return Fail(Verdict::NotRun,
                ErrorCode::BadInput,
                "--output is '" + formatText + "'; expected table or json");
  }
  CommandContext context{ aArguments, client, std::cout, std::cerr, *format };
  for (const CommandEntry& entry : kCommands) {
    const bool isVerb = *entry.m_verb == '\0' || context.Has(entry.m_verb);
    if (context.Has(entry.m_group) && isVerb) {
      return entry.m_command(context);
    }
  }
  return Fail(Verdict::NotRun, ErrorCode::BadInput, "unknown command");
}

int
RunAndReport(const cli::Arguments& aArguments)
{
  const auto code = leaf::try_handle_all(
    [&]() -> Result<cli::ExitCode> {
      BOOST_LEAF_CHECK(Run(aArguments));
      return cli::ExitCode::Success;
    },
    [](const Error& aError) {
      std::cerr << "lacewing: " << aError.m_message << " ("
                << NameOf(aError.m_code) << ", " << NameOf(aError.m_verdict)
                << ")\n";
      return cli::ExitCodeOf(aError);
    },
    [] { return cli::ExitCode::Failure; });
  return static_cast<int>(code);
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    const auto arguments = docopt::docopt_parse(
      kUsage, { argv + 1, argv + argc }, true, true, false);
    return RunAndReport(arguments);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "lacewing 0.1.0\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "lacewing: " << error.what() << "\nTry 'lacewing --help'.\n";
    return static_cast<int>(cli::ExitCode::Usage);
  }
}

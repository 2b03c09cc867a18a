/// Log lines through log4cxx: one JSON object or one text line each, written on
/// changes of state only. No key ever reaches the output.
#pragma once

#include "settings/Bootstrap.h"

#include <log4cxx/logger.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lacewing::observe {

using FieldValue = std::variant<std::string, std::int64_t, double, bool>;
using Field = std::pair<std::string, FieldValue>;
using Fields = std::vector<Field>;

struct LogOptions
{
  settings::LogFormat m_format = settings::LogFormat::Json;
  settings::LogLevel m_level = settings::LogLevel::Info;
  std::string m_process; ///< name of the VM
  std::string m_file;    ///< a standard stream if empty
  /// Standard output instead of standard error. A full pipe loses lines instead
  /// of blocking the process.
  bool m_standardOutput = false;
  int m_linesPerSecond = 0; ///< more are counted and left out; 0 for no bound
};

class Log
{
public:
  explicit Log(const LogOptions& aOptions);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Writes one line. The event is a short fixed name such as "lease_lost".
  void Write(settings::LogLevel aLevel,
             const std::string& aEvent,
             const Fields& aFields);

  /// Writes the line only if the state differs from the last one given for the
  /// subject. Returns true if it was written.
  bool WriteOnChange(const std::string& aSubject,
                     const std::string& aState,
                     settings::LogLevel aLevel,
                     const std::string& aEvent,
                     Fields aFields);

private:
  /// True if a line fits into the bound of the present second. Lines about
  /// single requests leave a part of it to all others.
  bool TakeLine(std::int64_t aWallMicros, bool aAboutRequest);
  void Append(settings::LogLevel aLevel,
              std::int64_t aWallMicros,
              const std::string& aEvent,
              const Fields& aFields);

  LogOptions m_options;
  log4cxx::LoggerPtr m_logger;
  std::int64_t m_second = 0; ///< of the lines counted below
  int m_lines = 0;
  std::int64_t m_leftOut = 0;
  std::map<std::string, std::string> m_states;
};

/// The line of an event, without keys and without an end of line. The time is
/// in microseconds since 1970, UTC.
std::string
FormatLine(const LogOptions& aOptions,
           std::int64_t aWallMicros,
           settings::LogLevel aLevel,
           const std::string& aEvent,
           const Fields& aFields);

} // namespace lacewing::observe

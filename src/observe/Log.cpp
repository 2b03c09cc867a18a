#include "observe/Log.h"

#include "core/Redact.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace lacewing::observe {

namespace {

/// The field that tells which request a line is about.
constexpr std::string_view kRequestField = "request";
/// Part of the bound that lines about single requests may take. The others tell
/// what the process believes, and are missed most when there are many requests.
constexpr double kRequestPart = 0.75;

/// The last place before the output; whatever was logged, keys are replaced.
class RedactingLayout : public log4cxx::PatternLayout
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming): log4cxx's own name
  void format(log4cxx::LogString& aOutput,
              const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& /*aPool*/) const override
  {
    aOutput += RedactKeys(aEvent->getMessage());
    aOutput += '\n';
  }
};

using Json = nlohmann::ordered_json;
using settings::LogFormat;
using settings::LogLevel;

log4cxx::LevelPtr
LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string
TimeText(std::int64_t aWallMicros)
{
  constexpr std::int64_t kMicros = 1'000'000;
  constexpr std::int64_t kMillis = 1'000;
  const std::time_t whole = aWallMicros / kMicros;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> millis{};
  std::snprintf(millis.data(),
                millis.size(),
                ".%03dZ",
                static_cast<int>(aWallMicros % kMicros / kMillis));
  return std::string(date.data()) + millis.data();
}

Json
ToJson(const FieldValue& aValue)
{
  return std::visit([](const auto& aItem) { return Json(aItem); }, aValue);
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string
FormatLine(const LogOptions& aOptions,
           std::int64_t aWallMicros,
           LogLevel aLevel,
           const std::string& aEvent,
           const Fields& aFields)
{
  if (aOptions.m_format == LogFormat::Text) {
    std::string line = TimeText(aWallMicros) + " " +
                       std::string(NameOf(aLevel)) + " " + aOptions.m_process +
                       " " + aEvent;
    for (const auto& [name, value] : aFields) {
      line += " " + name + "=" + Dump(ToJson(value));
    }
    return RedactKeys(line);
  }
  Json json;
  json["time"] = TimeText(aWallMicros);
  json["level"] = NameOf(aLevel);
  json["process"] = aOptions.m_process;
  json["event"] = aEvent;
  for (const auto& [name, value] : aFields) {
    json[name] = ToJson(value);
  }
  return RedactKeys(Dump(json));
}

Log::Log(const LogOptions& aOptions)
  : m_options(aOptions)
  , m_logger(log4cxx::Logger::getLogger("lacewing." + aOptions.m_process))
{
  const auto layout = std::make_shared<RedactingLayout>();
  log4cxx::AppenderPtr appender;
  if (aOptions.m_file.empty()) {
    if (aOptions.m_standardOutput) {
      fcntl(STDOUT_FILENO,
            F_SETFL,
            fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); // NOLINT
    }
    appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout,
      aOptions.m_standardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                : log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender =
      std::make_shared<log4cxx::FileAppender>(layout, aOptions.m_file, true);
  }
  m_logger->removeAllAppenders();
  m_logger->setAdditivity(false);
  m_logger->addAppender(appender);
  m_logger->setLevel(LevelOf(aOptions.m_level));
}

Log::~Log()
{
  m_logger->removeAllAppenders();
}

void
Log::Write(LogLevel aLevel, const std::string& aEvent, const Fields& aFields)
{
  const log4cxx::LevelPtr level = LevelOf(aLevel);
  if (!m_logger->isEnabledFor(level)) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const bool aboutRequest = std::ranges::any_of(
    aFields, [](const Field& aField) { return aField.first == kRequestField; });
  if (TakeLine(micros, aboutRequest)) {
    Append(aLevel, micros, aEvent, aFields);
  }
}

bool
Log::TakeLine(std::int64_t aWallMicros, bool aAboutRequest)
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::int64_t second = aWallMicros / kMicrosPerSecond;
  if (second != m_second) {
    m_second = second;
    m_lines = 0;
    if (const std::int64_t leftOut = std::exchange(m_leftOut, 0); leftOut > 0) {
      Append(LogLevel::Warn,
             aWallMicros,
             "lines_left_out",
             { { "lines", leftOut } });
    }
  }
  const int most =
    aAboutRequest ? static_cast<int>(m_options.m_linesPerSecond * kRequestPart)
                  : m_options.m_linesPerSecond;
  const bool fits = m_options.m_linesPerSecond == 0 || m_lines < most;
  m_lines += fits ? 1 : 0;
  m_leftOut += fits ? 0 : 1;
  return fits;
}

void
Log::Append(LogLevel aLevel,
            std::int64_t aWallMicros,
            const std::string& aEvent,
            const Fields& aFields)
{
  m_logger->forcedLog(
    LevelOf(aLevel),
    FormatLine(m_options, aWallMicros, aLevel, aEvent, aFields),
    log4cxx::spi::LocationInfo::getLocationUnavailable());
}

bool
Log::WriteOnChange(const std::string& aSubject,
                   const std::string& aState,
                   LogLevel aLevel,
                   const std::string& aEvent,
                   Fields aFields)
{
  std::string& last = m_states[aSubject];
  if (last == aState) {
    return false;
  }
  last = aState;
  aFields.emplace_back("subject", aSubject);
  aFields.emplace_back("state", aState);
  Write(aLevel, aEvent, aFields);
  return true;
}

} // namespace lacewing::observe

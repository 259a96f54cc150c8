// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <sstream>
#include <string>
#include <string_view>

#include <boost/log/trivial.hpp>

namespace poppyway {

/// \brief The destination of log lines.
struct LogTarget {
  std::string m_file{};      ///< Path of the log file; empty: a standard stream.
  bool m_to_stdout = false;  ///< Standard output instead of standard error.
  std::string m_instance{};  ///< Name of the instance, written in every line.
};

/// \brief Starts logging; each line is `time=… level=… instance=… event=… key=…`. Lines below level
/// info are dropped. Precondition: it is called once, before other threads start.
void StartLogging(const LogTarget& target);

/// \brief One log line, written by the destructor. Several threads may log at the same time, each
/// with its own object.
class LogLine {
 public:
  LogLine(boost::log::trivial::severity_level level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Appends ` key=value`. A value that is empty or has blanks, quotes, '=' or line breaks is
  /// quoted, and its line breaks become blanks.
  template <typename T>
  LogLine& Field(std::string_view key, const T& value) {
    std::ostringstream text;
    text << value;
    Append(key, text.str());
    return *this;
  }

 private:
  void Append(std::string_view key, const std::string& value);

  boost::log::trivial::severity_level m_level;
  std::string m_text;
};

}  // namespace poppyway

/// \brief Starts a log event: `POPPYWAY_LOG(info, "started").Field("port", 80);`
#define POPPYWAY_LOG(level, event) ::poppyway::LogLine(::boost::log::trivial::level, (event))

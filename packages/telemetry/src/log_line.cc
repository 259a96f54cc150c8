// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/telemetry.h"

#include <unistd.h>

#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

namespace poppyway {

namespace {

/// Sink backend that writes to standard output through a `LineWriter`.
class StdoutBackend
    : public boost::log::sinks::
          basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
 public:
  void consume(const boost::log::record_view& /*record*/, const std::string& line) {
    m_writer.Write(line, ReadClock());
  }

 private:
  LineWriter m_writer{STDOUT_FILENO};
};

}  // namespace

void StartLogging(const LogTarget& target) {
  namespace log = boost::log;
  namespace expr = boost::log::expressions;
  log::add_common_attributes();
  const auto format = expr::stream << "time="
                                   << expr::format_date_time<boost::posix_time::ptime>(
                                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                   << " level=" << log::trivial::severity
                                   << " instance=" << target.m_instance << " " << expr::smessage;
  if (target.m_to_stdout) {
    using Sink = log::sinks::synchronous_sink<StdoutBackend>;
    auto sink = boost::make_shared<Sink>();
    sink->set_formatter(format);
    log::core::get()->add_sink(sink);
  } else if (target.m_file.empty()) {
    log::add_console_log(std::clog, log::keywords::format = format,
                         log::keywords::auto_flush = true);
  } else {
    log::add_file_log(log::keywords::file_name = target.m_file,
                      log::keywords::open_mode = std::ios::app, log::keywords::format = format,
                      log::keywords::auto_flush = true);
  }
  log::core::get()->set_filter(log::trivial::severity >= log::trivial::info);
}

LogLine::LogLine(boost::log::trivial::severity_level level, std::string_view event)
    : m_level(level), m_text("event=" + std::string(event)) {}

LogLine::~LogLine() {
  BOOST_LOG_STREAM_WITH_PARAMS(boost::log::trivial::logger::get(),
                               (boost::log::keywords::severity = m_level))
      << m_text;
}

void LogLine::Append(std::string_view key, const std::string& value) {
  const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  m_text += " " + std::string(key) + "=";
  if (plain) {
    m_text += value;
    return;
  }
  m_text += '"';
  for (const char c : value) {
    if (c == '\n' || c == '\r') {
      m_text += ' ';
      continue;
    }
    if (c == '"' || c == '\\')
      m_text += '\\';
    m_text += c;
  }
  m_text += '"';
}

}  // namespace poppyway

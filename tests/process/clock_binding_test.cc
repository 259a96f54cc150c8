// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// By which clock the daemon that is deployed waits, as the dynamic linker sees it.
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

namespace poppyway {
namespace {

/// A symbol, and the files that it binds from and to.
struct Binding {
  std::string m_from;
  std::string m_to;
  std::string m_symbol;
};

/// Returns the part of `line` between `begin` and `end`; empty if they aren't there.
std::string Between(const std::string& line, const std::string& begin, const std::string& end) {
  const std::size_t at = line.find(begin);
  if (at == std::string::npos)
    return "";
  const std::size_t from = at + begin.size();
  return line.substr(from, line.find(end, from) - from);
}

/// Returns the path of the daemon: POPPYWAY_DAEMON, or the one that was built with these tests.
std::string DaemonPath() {
  const char* given = std::getenv("POPPYWAY_DAEMON");
  return given == nullptr ? POPPYWAY_BUILD "/poppywayd" : given;
}

/// Starts the daemon for its help text and returns all bindings that the linker makes.
std::vector<Binding> DaemonBindings() {
  const std::string command =
      "LD_BIND_NOW=1 LD_DEBUG=bindings " + DaemonPath() + " --help 2>&1 >/dev/null";
  FILE* output = popen(command.c_str(), "r");
  REQUIRE(output != nullptr);
  std::vector<Binding> bindings;
  char buffer[4096];
  while (std::fgets(buffer, sizeof(buffer), output) != nullptr) {
    const std::string line = buffer;
    const std::string symbol = Between(line, "symbol `", "'");
    if (!symbol.empty())
      bindings.push_back(
          {Between(line, "binding file ", " ["), Between(line, "] to ", " ["), symbol});
  }
  pclose(output);
  return bindings;
}

bool IsDaemon(const std::string& file) {
  return file.ends_with("/poppywayd");
}

// Guards against timers that stand still after a step back of the time of day: the library's read
// of it must bind to the daemon's own definition, whatever the build's flags or the kind of
// machine.
TEST_CASE("the event loops of the deployed daemon read the daemon's clock") {
  bool found = false;
  for (const Binding& binding : DaemonBindings()) {
    if (binding.m_symbol != "gettimeofday")
      continue;
    INFO(binding.m_from << " binds to " << binding.m_to);
    CHECK(IsDaemon(binding.m_to));
    found = found || binding.m_from.find("libh2o") != std::string::npos;
  }
  CHECK(found);
}

// Guards against a wait of the daemon's own code that ends at a time of day.
TEST_CASE("the deployed daemon's own code waits for no time of day") {
  const std::set<std::string> by_time_of_day{"sem_timedwait",
                                             "pthread_cond_timedwait",
                                             "pthread_mutex_timedlock",
                                             "mq_timedreceive",
                                             "mq_timedsend",
                                             "pthread_timedjoin_np",
                                             "pthread_rwlock_timedrdlock",
                                             "pthread_rwlock_timedwrlock",
                                             "timer_create",
                                             "setitimer",
                                             "aio_suspend"};
  std::size_t own = 0;
  for (const Binding& binding : DaemonBindings()) {
    if (!IsDaemon(binding.m_from))
      continue;
    ++own;
    INFO(binding.m_symbol);
    CHECK_FALSE(by_time_of_day.contains(binding.m_symbol));
  }
  CHECK(own > 0);
}

}  // namespace
}  // namespace poppyway

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // The daemon ignores it too.
  return Catch::Session().run(argc, argv);
}

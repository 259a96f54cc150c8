// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "poppyway/telemetry.h"

namespace poppyway {
namespace {

const Instant kNow{Duration(1'000'000)};

std::string ReadSome(int fd) {
  std::string text(1 << 20, '\0');
  const ssize_t got = read(fd, text.data(), text.size());
  text.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
  return text;
}

TEST_CASE("a log reader that has stalled blocks nobody, and is told how much it missed") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LineWriter writer(ends[1], {.m_lines_per_s = 1e9, .m_burst = 1e9});
  const std::string line(200, 'x');
  const Instant begun = ReadClock();
  for (int i = 0; i < 10'000; ++i)
    writer.Write(line, kNow);
  CHECK(ReadClock() - begun < Duration(1'000'000));
  CHECK(writer.dropped() > 5'000);
  while (ReadSome(ends[0]).size() > 60'000) {
    writer.Write(line, kNow);
  }
  writer.Write("last", kNow);
  const std::string rest = ReadSome(ends[0]);
  CHECK(rest.find("last\n") != std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("more lines than the rate are left out and counted") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LineWriter writer(ends[1], {.m_lines_per_s = 10, .m_burst = 5});
  for (int i = 0; i < 20; ++i)
    writer.Write("a", kNow);
  CHECK(writer.dropped() == 15);
  CHECK(ReadSome(ends[0]) == "a\na\na\na\na\n");
  writer.Write("b", kNow + Duration(1'000'000));
  CHECK(ReadSome(ends[0]) == "event=log_lines_left_out count=15\nb\n");
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace poppyway

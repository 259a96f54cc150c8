// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Steps the time of day of a process: a library that is loaded before the others. The steady clocks
// keep running.
//
// POPPYWAY_TIME_STEP_FILE names a file of eight bytes: the number of microseconds, of the machine's
// byte order, by which the time of day is ahead. It may be written at any time.

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kMicros = 1'000'000;

/// Maps the file. Returns null if there is none.
const volatile std::int64_t* MapFile() {
  const char* path = std::getenv("POPPYWAY_TIME_STEP_FILE");
  const int fd = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return nullptr;
  void* mapped = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
  close(fd);
  return mapped == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(mapped);
}

/// Returns by how many microseconds the time of day is ahead now.
std::int64_t Ahead() {
  static const volatile std::int64_t* const file = MapFile();
  return file == nullptr ? 0 : *file;
}

/// Returns the microseconds since 1970-01-01 UTC, with the steps so far.
std::int64_t TimeOfDay() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_REALTIME, &now);
  return static_cast<std::int64_t>(now.tv_sec) * kMicros + now.tv_nsec / 1000 + Ahead();
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) {
  if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)
    return static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  const std::int64_t time = TimeOfDay();
  now->tv_sec = time / kMicros;
  now->tv_nsec = time % kMicros * 1000;
  return 0;
}

extern "C" int gettimeofday(timeval* now, void* /*zone*/) {
  const std::int64_t time = TimeOfDay();
  now->tv_sec = time / kMicros;
  now->tv_usec = time % kMicros;
  return 0;
}

extern "C" time_t time(time_t* now) {
  const time_t seconds = TimeOfDay() / kMicros;
  if (now != nullptr)
    *now = seconds;
  return seconds;
}

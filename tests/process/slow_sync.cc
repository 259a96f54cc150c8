// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Simulates a slow disk in the process tests: a library for LD_PRELOAD that delays fsync and
// fdatasync.

#include <dlfcn.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <thread>

namespace {

/// Returns the number in an environment variable, or `default_value` if it is not set.
double Setting(const char* name, double default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atof(text);
}

/// Sleeps for POPPYWAY_SYNC_MS with the probability POPPYWAY_SYNC_SHARE.
void Delay() {
  thread_local std::mt19937 random(static_cast<unsigned>(getpid()));
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random) < Setting("POPPYWAY_SYNC_SHARE", 1))
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(Setting("POPPYWAY_SYNC_MS", 0)));
}

int SyncAfterDelay(const char* name, int fd) {
  Delay();
  using Sync = int (*)(int);
  return reinterpret_cast<Sync>(dlsym(RTLD_NEXT, name))(fd);
}

}  // namespace

extern "C" int fsync(int fd) {
  return SyncAfterDelay("fsync", fd);
}

extern "C" int fdatasync(int fd) {
  return SyncAfterDelay("fdatasync", fd);
}

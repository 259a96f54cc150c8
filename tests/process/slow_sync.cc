// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A slow disk for the process tests: loaded before the C library, it has syncs take longer.

#include <dlfcn.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <thread>

namespace {

/// Number in an environment variable, or `otherwise`.
double Setting(const char* name, double otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atof(text);
}

/// Waits for POPPYWAY_SYNC_MS, at a share of the syncs given by POPPYWAY_SYNC_SHARE.
void Wait() {
  thread_local std::mt19937 random(static_cast<unsigned>(getpid()));
  std::uniform_real_distribution<double> any(0, 1);
  if (any(random) < Setting("POPPYWAY_SYNC_SHARE", 1))
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(Setting("POPPYWAY_SYNC_MS", 0)));
}

int After(const char* name, int fd) {
  Wait();
  using Sync = int (*)(int);
  return reinterpret_cast<Sync>(dlsym(RTLD_NEXT, name))(fd);
}

}  // namespace

extern "C" int fsync(int fd) {
  return After("fsync", fd);
}

extern "C" int fdatasync(int fd) {
  return After("fdatasync", fd);
}

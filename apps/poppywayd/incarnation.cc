// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "incarnation.h"

#include <cstdint>
#include <cstdio>
#include <random>

namespace poppyway {

std::string MakeIncarnation(const std::string& instance) {
  std::random_device device;
  const std::uint64_t random = (std::uint64_t{device()} << 32) | device();
  char text[17];
  std::snprintf(text, sizeof(text), "%012llx",
                static_cast<unsigned long long>(random & 0xffffffffffffULL));
  return instance + "-" + text;
}

}  // namespace poppyway

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <cstdio>

#include "poppyway/core.h"

namespace poppyway {

RequestFingerprint FingerprintOf(std::string_view method,
                                 std::string_view host,
                                 std::string_view target,
                                 std::string_view workspace,
                                 std::string_view body) noexcept {
  RequestFingerprint fingerprint = Hash(method);
  for (const std::string_view part : {host, target, workspace, body})
    fingerprint = MixHash(fingerprint, Hash(part));
  return fingerprint;
}

std::string FingerprintText(RequestFingerprint fingerprint) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(fingerprint));
  return text;
}

}  // namespace poppyway

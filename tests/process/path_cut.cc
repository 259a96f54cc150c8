// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Cuts a process off from the backend servers in the process tests: a library that is loaded before
// the others and sends connection attempts to the servers' port elsewhere while a file exists.
//
// POPPYWAY_CUT_PORT is the servers' port. POPPYWAY_CUT_FILE names the file, which holds an address
// and a port: those of a listener that answers nothing, of none, or of one that resets each
// connection.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

/// Reads the file's address. Returns false if there is no cut.
bool ReadCut(sockaddr_in& where) {
  const char* path = std::getenv("POPPYWAY_CUT_FILE");
  std::FILE* file = path == nullptr ? nullptr : std::fopen(path, "r");
  if (file == nullptr)
    return false;
  char address[64] = {};
  unsigned port = 0;
  const bool read = std::fscanf(file, "%63s %u", address, &port) == 2;
  std::fclose(file);
  where.sin_family = AF_INET;
  where.sin_port = htons(static_cast<std::uint16_t>(port));
  return read && inet_pton(AF_INET, address, &where.sin_addr) == 1;
}

bool IsServer(const sockaddr* address) {
  const char* port = std::getenv("POPPYWAY_CUT_PORT");
  if (port == nullptr || address->sa_family != AF_INET)
    return false;
  sockaddr_in where{};
  std::memcpy(&where, address, sizeof(where));
  return ntohs(where.sin_port) == std::atoi(port);
}

}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  sockaddr_in elsewhere{};
  if (!IsServer(address) || !ReadCut(elsewhere))
    return next(fd, address, size);
  sockaddr generic{};
  std::memcpy(&generic, &elsewhere, sizeof(elsewhere));
  return next(fd, &generic, sizeof(elsewhere));
}

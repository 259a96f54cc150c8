// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "signal_reader.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>

namespace poppyway {
namespace {

// Written by the signal handlers, which may interrupt any thread.
std::atomic<std::int64_t> g_stop_arrived{0};  // Microseconds of the monotonic clock; zero: none.
std::atomic<bool> g_reload{false};
std::atomic<int> g_wake_fd{-1};

void Wake() {
  const char byte = 0;
  // A full pipe wakes the loop as well.
  [[maybe_unused]] const ssize_t written = write(g_wake_fd.load(), &byte, 1);
}

void OnStopSignal(int /*number*/) {
  const int saved_errno = errno;
  std::int64_t none = 0;
  g_stop_arrived.compare_exchange_strong(none, ReadClock().time_since_epoch().count());
  Wake();
  errno = saved_errno;
}

void OnReloadSignal(int /*number*/) {
  const int saved_errno = errno;
  g_reload.store(true);
  Wake();
  errno = saved_errno;
}

}  // namespace

SignalReader::SignalReader(EventLoop& loop, SignalHandlers handlers)
    : m_handlers(std::move(handlers)) {
  int ends[2] = {-1, -1};
  // Without a pipe the process couldn't be stopped in an orderly way, so it must not run.
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
    std::abort();
  g_wake_fd.store(ends[1]);
  m_socket = h2o_evloop_socket_create(loop.loop(), ends[0], 0);
  m_socket->data = this;
  h2o_socket_read_start(m_socket, &SignalReader::OnReadable);
  std::signal(SIGTERM, &OnStopSignal);
  std::signal(SIGINT, &OnStopSignal);
  if (m_handlers.m_on_reload)
    std::signal(SIGHUP, &OnReloadSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalReader::~SignalReader() {
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  h2o_socket_close(m_socket);
  close(g_wake_fd.exchange(-1));
}

void SignalReader::OnReadable(h2o_socket_t* socket, const char* /*fault*/) {
  h2o_buffer_consume(&socket->input, socket->input->size);
  static_cast<SignalReader*>(socket->data)->Deliver();
}

void SignalReader::Deliver() {
  if (g_reload.exchange(false))
    m_handlers.m_on_reload();
  const std::int64_t arrived = g_stop_arrived.load();
  if (arrived == 0 || m_stop_delivered)
    return;
  m_stop_delivered = true;
  m_handlers.m_on_stop(Instant(Duration(arrived)));
}

}  // namespace poppyway

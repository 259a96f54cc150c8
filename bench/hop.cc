// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Runs closed-loop streams against one endpoint and measures the time to the first token and the
// tokens per second.
//
//   poppyway-hop ADDRESS:PORT STREAMS SECONDS OUTPUT_TOKENS
//
// Prints one line of key=value pairs. scripts/hop.sh runs it against the fake server and against a
// gateway to compare them.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "poppyway/gateway.h"
#include "poppyway/gateway/impl/upstream.h"

namespace poppyway::bench {
namespace {

struct Stream {
  std::unique_ptr<Upstream> m_call;
  Instant m_started{};
  bool m_first = false;
};

struct Totals {
  std::vector<double> m_first_us;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_answers = 0;
  std::uint64_t m_failures = 0;
};

std::uint64_t CountTokens(std::string_view bytes) {
  return static_cast<std::uint64_t>(std::count(bytes.begin(), bytes.end(), '\n')) / 2;
}

double Quantile(std::vector<double>& values, double q) {
  if (values.empty())
    return 0;
  const auto at = values.begin() + static_cast<long>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

int Main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: poppyway-hop ADDRESS:PORT STREAMS SECONDS OUTPUT_TOKENS\n";
    return 64;
  }
  const Result<Endpoint> target = ParseEndpoint(argv[1]);
  const auto streams = static_cast<std::size_t>(std::atoi(argv[2]));
  const int seconds = std::min(std::atoi(argv[3]), 60);
  if (!target || streams == 0 || !target->m_address.starts_with("127.")) {
    std::cerr << "poppyway-hop: a loopback endpoint and at least one stream are needed\n";
    return 64;
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  UpstreamPools pools(loop);
  Totals totals;
  std::vector<Stream> all(streams);
  std::vector<std::unique_ptr<Upstream>> finished;
  const std::string body =
      R"({"prompt":"hello there","stream":true,"max_tokens":)" + std::string(argv[4]) + "}";
  const std::string request =
      "POST /v1/completions HTTP/1.1\r\nhost: t\r\ncontent-length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  // Requests are started from within the event loop: bytes that are written outside it would wait
  // for its next iteration.
  std::unique_ptr<Mailbox<Stream*>> starts;
  const auto start = [&](Stream& stream) {
    stream.m_first = false;
    stream.m_started = ReadClock();
    UpstreamEvents events;
    events.m_may_send = [] { return true; };
    events.m_on_head = [](const UpstreamHead&) {};
    events.m_on_data = [&stream, &totals](std::string_view bytes) {
      if (!stream.m_first) {
        stream.m_first = true;
        totals.m_first_us.push_back(static_cast<double>((ReadClock() - stream.m_started).count()));
      }
      totals.m_tokens += CountTokens(bytes);
    };
    events.m_on_complete = [&] {
      ++totals.m_answers;
      finished.push_back(std::move(stream.m_call));
      starts->Send(&stream);
    };
    events.m_on_failure = [&](bool, const std::string&) {
      ++totals.m_failures;
      finished.push_back(std::move(stream.m_call));
      starts->Send(&stream);
    };
    stream.m_call = std::make_unique<Upstream>(pools, *target, request, false, std::move(events));
  };
  const Instant begun = ReadClock();
  const Instant end = begun + std::chrono::seconds(seconds);
  starts = std::make_unique<Mailbox<Stream*>>(loop, [&](Stream* stream) { start(*stream); });
  for (Stream& stream : all)
    starts->Send(&stream);
  while (ReadClock() < end) {
    h2o_evloop_run(loop.loop(), 10);
    finished.clear();
  }
  const double took = Seconds(ReadClock() - begun);
  std::cout << "streams=" << streams << " answers=" << totals.m_answers
            << " failures=" << totals.m_failures
            << " tokens_per_s=" << static_cast<double>(totals.m_tokens) / took
            << " first_p50_us=" << Quantile(totals.m_first_us, 0.5)
            << " first_p99_us=" << Quantile(totals.m_first_us, 0.99) << "\n";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace poppyway::bench

int main(int argc, char** argv) {
  return poppyway::bench::Main(argc, argv);
}

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Feeds bytes of strangers to every decoder. The first byte of an input picks the decoder. What a
// decoder accepts must hold what its readers rely on; a broken promise aborts, as a fault does that
// the sanitizers find.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "poppyway/platform.h"
#include "poppyway/state.h"
#include "poppyway/wire.h"

namespace poppyway {
namespace {

void Require(bool met) {
  if (!met)
    std::abort();
}

/// Takes the bytes up to the next line feed, and that, off the front.
std::string_view TakeLine(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  return line;
}

/// A call: its method, its target, and the rest.
void FuzzControlCall(std::string_view bytes) {
  const std::string_view method = TakeLine(bytes);
  const std::string_view target = TakeLine(bytes);
  const Result<platform::ControlRequest> call =
      platform::DecodeControlRequest(method, target, bytes);
  const bool faulty = platform::FindHeartbeatError(method, target, bytes).has_value();
  Require(!faulty || !call);
  if (!call) {
    Require(platform::EncodeControlError(call.error()).m_status == 400);
    return;
  }
  if (call->m_kind != platform::ControlRequest::Kind::kServerHeartbeat)
    return;
  const wire::ServerRecord& server = call->m_server;
  Require(!server.id.empty() && !server.pool.empty() && !server.data_centre.empty());
  Require(server.port > 0 && server.port <= 65'535 && server.slots >= 1);
  Require(server.sequence >= 0 && server.born >= 0 && server.cold_for_ms >= 0);
}

/// A decoder that has read a document before says of the next one what one says that hasn't.
void RequireSameAfterAnother(std::string_view bytes, const Result<RouteTable>& table) {
  platform::DocumentDecoder decoder;
  for (int i = 0; i < 2; ++i) {
    const Result<RouteTable> again = decoder.Decode(bytes);
    Require(again.has_value() == table.has_value() && (!table || *again == *table));
  }
}

void FuzzDocument(std::string_view bytes) {
  const Result<RouteTable> table = platform::DecodeDocument(bytes);
  RequireSameAfterAnother(bytes, table);
  if (!table)
    return;
  for (const Route& route : table->m_routes) {
    for (const PoolWeight& part : route.m_pools)
      Require(FindPool(*table, part.m_pool) != nullptr);
  }
}

/// Header fields, "name: value" a line.
void FuzzDialect(std::string_view bytes) {
  static const ProtocolAdapter kDialect = platform::MakeProtocolAdapter();
  std::vector<Field> fields;
  while (!bytes.empty()) {
    const std::string_view line = TakeLine(bytes);
    const std::size_t colon = line.find(": ");
    if (colon != std::string_view::npos)
      fields.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
  }
  const CallerRequest request = kDialect.m_decode_request(fields);
  Require(request.m_prompt_tokens >= 0);
  Require(!request.m_timeout || *request.m_timeout >= Duration(0));
  (void)kDialect.m_decode_response(200, std::move(fields));
}

/// What is split must not depend on where reads end: the first byte says where they do.
void FuzzEvents(std::string_view bytes) {
  if (bytes.empty())
    return;
  const std::size_t step = static_cast<unsigned char>(bytes.front()) + std::size_t{1};
  bytes.remove_prefix(1);
  EventStreamParser at_once;
  const std::string whole = ExtractEvents(at_once, bytes);
  EventStreamParser in_parts;
  std::string parts;
  for (std::size_t at = 0; at < bytes.size(); at += step)
    parts += ExtractEvents(in_parts, bytes.substr(at, step));
  Require(at_once.m_out_of_order == in_parts.m_out_of_order);
  if (!at_once.m_out_of_order)
    Require(whole == parts && at_once.m_partial == in_parts.m_partial &&
            at_once.m_last_id == in_parts.m_last_id && at_once.m_events == in_parts.m_events &&
            whole + at_once.m_partial == bytes);
}

/// A peer's message: what was understood is the same once written and read again.
void FuzzEnvelope(std::string_view bytes) {
  (void)NextFrame(bytes);
  const Result<wire::Envelope> envelope = Deserialize<wire::Envelope>(bytes);
  if (!envelope)
    return;
  const std::string written = Serialize(*envelope);
  const Result<wire::Envelope> again = Deserialize<wire::Envelope>(written);
  Require(again.has_value() && Serialize(*again) == written);
}

/// The edits of a step of the document, as they come packed and as they are inside: a text and a
/// list.
void FuzzEdits(std::string_view bytes) {
  constexpr std::size_t kMost = 1 << 16;
  const std::string base(bytes.substr(0, bytes.size() / 2));
  const std::string_view list = bytes.substr(bytes.size() / 2);
  for (const std::string& edits : {std::string(list), Pack(list)}) {
    const Result<std::string> text = ApplyEdits(base, edits, kMost);
    Require(!text || text->size() <= kMost);
  }
  const Result<std::string> again = ApplyEdits(base, EncodeEdits(base, list), kMost);
  Require(list.size() > kMost || (again && *again == list));
}

}  // namespace
}  // namespace poppyway

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace poppyway;
  if (size == 0)
    return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0]) {
    case 'c':
      FuzzControlCall(bytes);
      break;
    case 'd':
      FuzzDocument(bytes);
      break;
    case 'h':
      FuzzDialect(bytes);
      break;
    case 'e':
      FuzzEvents(bytes);
      break;
    case 's':
      FuzzEdits(bytes);
      break;
    case 'p':
      FuzzEnvelope(bytes);
      break;
    default:
      break;
  }
  return 0;
}

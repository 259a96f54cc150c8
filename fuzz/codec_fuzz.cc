// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Feeds untrusted bytes to every decoder. The first byte of an input selects the decoder. An
// accepted value must satisfy the invariants that its users rely on; a violation aborts, as does
// any fault that the sanitizers find.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "poppyway/platform.h"
#include "poppyway/state.h"
#include "poppyway/wire.h"

namespace poppyway {
namespace {

/// Aborts unless the invariant `holds`.
void Require(bool holds) {
  if (!holds)
    std::abort();
}

/// Removes the first line with its line feed from `bytes` and returns it without the line feed.
std::string_view TakeLine(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  return line;
}

/// Decodes a control request: the method and the target, a line each, then the body.
void FuzzControlCall(std::string_view bytes) {
  const std::string_view method = TakeLine(bytes);
  const std::string_view target = TakeLine(bytes);
  const Result<platform::ControlRequest> call =
      platform::DecodeControlRequest(method, target, bytes);
  const bool has_error = platform::FindHeartbeatError(method, target, bytes).has_value();
  Require(!has_error || !call);
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

/// Checks that a decoder which has decoded a document before gives the same result as a new one.
void RequireSameFromUsedDecoder(std::string_view bytes, const Result<RouteTable>& table) {
  platform::DocumentDecoder decoder;
  for (int i = 0; i < 2; ++i) {
    const Result<RouteTable> again = decoder.Decode(bytes);
    Require(again.has_value() == table.has_value() && (!table || *again == *table));
  }
}

void FuzzDocument(std::string_view bytes) {
  const Result<RouteTable> table = platform::DecodeDocument(bytes);
  RequireSameFromUsedDecoder(bytes, table);
  if (!table)
    return;
  for (const Route& route : table->m_routes) {
    for (const PoolWeight& pool : route.m_pools)
      Require(FindPool(*table, pool.m_pool) != nullptr);
  }
}

/// Decodes header fields, one "name: value" on each line.
void FuzzProtocolAdapter(std::string_view bytes) {
  static const ProtocolAdapter kAdapter = platform::MakeProtocolAdapter();
  std::vector<Field> fields;
  while (!bytes.empty()) {
    const std::string_view line = TakeLine(bytes);
    const std::size_t colon = line.find(": ");
    if (colon != std::string_view::npos)
      fields.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
  }
  const CallerRequest request = kAdapter.m_decode_request(fields);
  Require(request.m_prompt_tokens >= 0);
  Require(!request.m_timeout || *request.m_timeout >= Duration(0));
  (void)kAdapter.m_decode_response(200, std::move(fields));
}

/// Checks that the extracted events don't depend on how reads split the stream. The first byte
/// gives the size of the reads.
void FuzzEvents(std::string_view bytes) {
  if (bytes.empty())
    return;
  const std::size_t step = static_cast<unsigned char>(bytes.front()) + std::size_t{1};
  bytes.remove_prefix(1);
  EventStreamParser at_once;
  const std::string at_once_text = ExtractEvents(at_once, bytes);
  EventStreamParser in_parts;
  std::string in_parts_text;
  for (std::size_t at = 0; at < bytes.size(); at += step)
    in_parts_text += ExtractEvents(in_parts, bytes.substr(at, step));
  Require(at_once.m_out_of_order == in_parts.m_out_of_order);
  if (!at_once.m_out_of_order)
    Require(at_once_text == in_parts_text && at_once.m_partial == in_parts.m_partial &&
            at_once.m_last_id == in_parts.m_last_id && at_once.m_events == in_parts.m_events &&
            at_once_text + at_once.m_partial == bytes);
}

/// Checks that an acceptable head of a response means the same to a second reader.
void FuzzResponseHead(std::string_view bytes) {
  const HeadSearch search = FindHeadEnd({}, bytes);
  const std::string_view head = bytes.substr(0, search.m_size);
  if (search.m_size == 0 || CheckResponseHead(head) != HeadFault::kNone)
    return;
  http_parser parser;
  http_parser_init(&parser, HTTP_RESPONSE);
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_headers_complete = [](http_parser*) { return 1; };
  Require(http_parser_execute(&parser, &settings, head.data(), head.size()) == head.size());
  Require(parser.status_code >= 100 && parser.status_code <= 599 && parser.http_major == 1);
  Require(parser.status_code == std::stoul(std::string(head.substr(9, 3))));
}

/// Checks that an accepted peer message is the same after it was written and read again.
void FuzzEnvelope(std::string_view bytes) {
  (void)NextFrame(bytes);
  const Result<wire::Envelope> envelope = Deserialize<wire::Envelope>(bytes);
  if (!envelope)
    return;
  const std::string written = Serialize(*envelope);
  const Result<wire::Envelope> again = Deserialize<wire::Envelope>(written);
  Require(again.has_value() && Serialize(*again) == written);
}

/// Applies the edits of a document change, compressed and as they are. The first half of the input
/// is the base text, the second half the list of edits.
void FuzzEdits(std::string_view bytes) {
  constexpr std::size_t kMaxBytes = 1 << 16;
  const std::string base(bytes.substr(0, bytes.size() / 2));
  const std::string_view list = bytes.substr(bytes.size() / 2);
  for (const std::string& edits : {std::string(list), Pack(list)}) {
    const Result<std::string> text = ApplyEdits(base, edits, kMaxBytes);
    Require(!text || text->size() <= kMaxBytes);
  }
  const Result<std::string> again = ApplyEdits(base, EncodeEdits(base, list), kMaxBytes);
  Require(list.size() > kMaxBytes || (again && *again == list));
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
    case 'r':
      FuzzResponseHead(bytes);
      break;
    case 'h':
      FuzzProtocolAdapter(bytes);
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

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway::impl {

/// \brief What a record in a segment holds.
enum class RecordType : std::uint8_t { kHardState = 1, kEntry = 2, kTruncate = 3, kBase = 4 };

/// \brief One record read from a segment.
struct Record {
  RecordType m_type = RecordType::kBase;
  std::string_view m_payload;
  std::size_t m_end = 0;  ///< Offset just after it.
};

/// \brief Appends a record: length, type, hash of those, payload, hash of the payload, end mark.
void AppendRecord(std::string& out, RecordType type, std::string_view payload);

/// \brief Reads the record at `offset`.
///
/// A write that never finished leaves a prefix of its bytes, followed by nothing or by zeros; that
/// is a torn end, and nullopt. Anything else that doesn't check is damage: acknowledged data may be
/// lost, so it is an error and never skipped.
/// \return the record, nullopt at the (torn or clean) end, or `kDataDamaged` with the offset.
[[nodiscard]] Result<std::optional<Record>> ReadRecord(std::string_view bytes, std::size_t offset);

}  // namespace poppyway::impl

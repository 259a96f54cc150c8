// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway::impl {

/// \brief The type of a record in a segment.
enum class RecordType : std::uint8_t {
  kHardState = 1,  ///< The term and vote.
  kEntry = 2,      ///< A log entry.
  kTruncate = 3,   ///< The last index to keep.
  /// In a segment the index of the snapshot that it follows, in a snapshot file the snapshot.
  kBase = 4,
};

/// \brief One record read from a segment.
struct Record {
  RecordType m_type = RecordType::kBase;
  std::string_view m_payload;
  std::size_t m_end = 0;  ///< The offset just after the record.
};

/// \brief Appends a record to `out`: length, type, hash of both, payload, hash of the payload, end
/// mark.
void AppendRecord(std::string& out, RecordType type, std::string_view payload);

/// \brief Reads the record at `offset`.
///
/// An interrupted write leaves a prefix of its bytes, followed by nothing or by zeros: a torn end,
/// which reads as the end of the segment. Any other invalid record is damage: acknowledged data may
/// be lost, so it is an error and never skipped.
/// \return the record, nullopt at the end (torn or complete), or `kDataDamaged` with the offset.
[[nodiscard]] Result<std::optional<Record>> ReadRecord(std::string_view bytes, std::size_t offset);

}  // namespace poppyway::impl

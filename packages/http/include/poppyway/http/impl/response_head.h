// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace poppyway {

/// \brief Why the head of a response is not acceptable.
enum class HeadFault : std::uint8_t {
  kNone,
  kTooLong,     ///< Longer than `kMaxHeadBytes`.
  kLineEnding,  ///< A line doesn't end with CR LF, or a CR stands elsewhere.
  kVersion,     ///< Neither HTTP/1.0 nor HTTP/1.1.
  kStatus,      ///< Not three digits from 100 to 599, or 101: no request asks for an upgrade.
  kFieldName,   ///< A field's name isn't a token, or a blank stands before its colon.
  kFieldValue,  ///< A control byte in a field's value or in the reason.
  kFraming,     ///< The length of the body is stated twice, or in a way that isn't understood.
};

/// \brief Returns the text of a fault for logs.
[[nodiscard]] std::string_view HeadFaultName(HeadFault fault) noexcept;

/// \brief The longest head of a response, and the most bytes that are read in search of its end.
inline constexpr std::size_t kMaxHeadBytes = 64 * 1024;

/// \brief The most interim responses and responses to other requests that a call reads before its
/// own.
inline constexpr int kMaxUnwantedResponses = 16;

/// \brief The most bytes that a call reads and nobody asked for: bodies of responses to other
/// requests, or what stands between the chunks of a body.
inline constexpr std::size_t kMaxUnwantedBytes = 1024 * 1024;

/// \brief One field of a head.
struct HeadField {
  std::string_view m_name;   ///< In any case.
  std::string_view m_value;  ///< Without the blanks around it.

  friend bool operator==(const HeadField&, const HeadField&) = default;
};

/// \brief Checks the status, the fields and the framing of a decoded response by the grammar of RFC
/// 9110 and 9112. `minor`: of the HTTP version 1. Pure.
[[nodiscard]] HeadFault CheckResponse(int minor,
                                      int status,
                                      std::span<const HeadField> fields) noexcept;

/// \brief Checks the text of a response's head by the same grammar, up to and including its empty
/// line. Pure.
[[nodiscard]] HeadFault CheckResponseHead(std::string_view head);

/// \brief Where the end of a response's head was looked for.
struct HeadSearch {
  std::size_t m_seen = 0;  ///< Bytes that hold no end.
  std::size_t m_size = 0;  ///< Size of the head with its empty line; zero: its end isn't there yet.
  HeadFault m_fault = HeadFault::kNone;

  friend bool operator==(const HeadSearch&, const HeadSearch&) = default;
};

/// \brief Looks for the end of a head in `bytes`, which begin with it, and ends early at bytes that
/// can't begin one. Pure.
/// \param last the result for a shorter part of the same bytes.
[[nodiscard]] HeadSearch FindHeadEnd(const HeadSearch& last, std::string_view bytes) noexcept;

}  // namespace poppyway

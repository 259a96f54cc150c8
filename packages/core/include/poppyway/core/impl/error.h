// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "poppyway/core/impl/result_code.h"

namespace poppyway {

/// \brief The reason why an operation failed: a result code and a sentence that says what is wrong
/// or what to do.
struct Error {
  ResultCode m_code = ResultCode::kOk;
  std::string m_message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// \brief A value or an `Error`.
template <typename T>
using Result = tl::expected<T, Error>;

/// \brief Builds the error value of a `Result`.
[[nodiscard]] inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace poppyway

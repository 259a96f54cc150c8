// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "poppyway/core/impl/result_code.h"

namespace poppyway {

/// \brief Why an operation failed: a numbered code and a sentence that says what to do.
struct Error {
  ResultCode m_code = ResultCode::kOk;
  std::string m_message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// \brief A value or an `Error`.
template <typename T>
using Result = tl::expected<T, Error>;

/// \brief Builds the unexpected side of a `Result`.
[[nodiscard]] inline tl::unexpected<Error> Fail(ResultCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message)});
}

}  // namespace poppyway

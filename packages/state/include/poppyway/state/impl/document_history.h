// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <vector>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief Largest document, in bytes. Larger ones are rejected.
inline constexpr std::size_t kMaxDocumentBytes = 32u << 20;

/// \brief Computes the change from one document to a later one.
[[nodiscard]] wire::DocumentChange DiffDocuments(const wire::Document& base,
                                                 const wire::Document& target);
/// \brief Returns the change from the empty text, which holds the full document; its base is 0.
[[nodiscard]] wire::DocumentChange FullDocumentChange(const wire::Document& document);

/// \brief Applies a change to a document; a change with base 0 applies to any.
/// \return the changed document; `kVersionConflict` if the change starts from another version than
/// `base`, `kPeerProtocol` if its edits can't be decoded or the result's digest doesn't match.
[[nodiscard]] Result<wire::Document> PatchDocument(const wire::Document& base,
                                                   const wire::DocumentChange& change);

/// \brief The changes that a member keeps to serve readers of the document: the latest ones, and a
/// full document to which they apply. A reader gets only what it lacks.
struct DocumentHistory {
  std::deque<wire::DocumentChange>
      m_changes;            ///< Each starts at the version at which the previous one ends.
  std::size_t m_bytes = 0;  ///< Size of the edits in `m_changes`.
  wire::DocumentChange m_full_change;           ///< Full document; version 0: none yet.
  wire::DocumentChange m_previous_full_change;  ///< For readers that are still fetching it.
};

/// \brief Appends an applied change. Drops the earlier ones if it doesn't follow on them, and the
/// oldest ones beyond the cost of a full document. A change with base 0 becomes the full document.
void AppendToHistory(DocumentHistory& history, const wire::DocumentChange& change);

/// \brief Returns the changes that lead from version `have` to `newest`; none if `have` isn't
/// older. They begin with a full document if the changes from `have` are no longer kept or are
/// larger than that. May replace the full document that `history` holds.
[[nodiscard]] std::vector<wire::DocumentChange> DocumentChangesSince(DocumentHistory& history,
                                                                     const wire::Document& newest,
                                                                     std::int64_t have);

/// \brief Returns the change from `base` to `version`, or null if it isn't kept. The pointer is
/// valid until `history` changes.
[[nodiscard]] const wire::DocumentChange* FindDocumentChange(const DocumentHistory& history,
                                                             std::int64_t base,
                                                             std::int64_t version);

/// \brief Limits the changes that one reply carries: keeps the first ones with up to `most` bytes
/// of edits in total, then one without its edits, which the reader fetches in pieces, and no more.
[[nodiscard]] std::vector<wire::DocumentChange> LimitChangeBytes(
    std::vector<wire::DocumentChange> changes,
    std::int64_t most);

}  // namespace poppyway

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <vector>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief Largest document, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 32u << 20;

/// \brief The step from one document to a later one.
[[nodiscard]] wire::DocumentChange DiffDocuments(const wire::Document& base,
                                                 const wire::Document& target);
/// \brief The step from the empty text: the whole document.
[[nodiscard]] wire::DocumentChange FullDocumentChange(const wire::Document& document);

/// \brief The document after `change`.
/// \return `kVersionConflict` if the change is from another version than `base`, `kPeerProtocol` if
/// its edits can't be read or their result isn't what was meant.
[[nodiscard]] Result<wire::Document> PatchDocument(const wire::Document& base,
                                                   const wire::DocumentChange& change);

/// \brief What a member keeps to tell readers of the document: the last steps, and one whole
/// document from which they can be followed, so that what a reader is sent follows what it lacks.
struct DocumentHistory {
  std::deque<wire::DocumentChange> m_steps;  ///< Each begins where the one before ends.
  std::size_t m_bytes = 0;                   ///< Of the steps' edits.
  wire::DocumentChange m_whole;              ///< Version 0: not made yet.
  wire::DocumentChange m_earlier_whole;      ///< For readers that are in the middle of it.
};

/// \brief Notes a step that was taken. Steps that don't follow on it are forgotten, and the oldest
/// ones beyond what a whole document would cost.
void AppendToHistory(DocumentHistory& history, const wire::DocumentChange& step);

/// \brief The steps that lead from version `have` to `newest`, empty if that is what `have` is.
/// They begin with the whole document if `have` isn't known any more or the steps are larger than
/// that.
[[nodiscard]] std::vector<wire::DocumentChange> DocumentChangesSince(DocumentHistory& history,
                                                                     const wire::Document& newest,
                                                                     std::int64_t have);

/// \brief The step from `base` to `version`; null if it isn't kept.
[[nodiscard]] const wire::DocumentChange* FindDocumentChange(const DocumentHistory& history,
                                                             std::int64_t base,
                                                             std::int64_t version);

/// \brief Steps as one answer tells them: the edits of the first ones as they are, up to `most`
/// bytes together; then one without its edits, to be fetched in pieces.
[[nodiscard]] std::vector<wire::DocumentChange> LimitChangeBytes(
    std::vector<wire::DocumentChange> steps,
    std::int64_t most);

}  // namespace poppyway

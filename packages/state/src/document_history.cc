// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

// Bounds of the kept changes; a reader that lacks more gets a full document.
constexpr std::size_t kMaxChanges = 512;
constexpr std::size_t kMaxChangeBytes = 1u << 20;
// A full document compresses to about one part in this many of its size.
constexpr std::size_t kCompressionRatio = 8;

std::int64_t DigestOf(const std::string& body) {
  return static_cast<std::int64_t>(Hash(body));
}

/// Returns the changes from `have` to `newest`; nullopt if they aren't kept.
std::optional<std::vector<wire::DocumentChange>> KeptChangesFrom(const DocumentHistory& history,
                                                                 std::int64_t have,
                                                                 std::int64_t newest) {
  if (history.m_changes.empty() || history.m_changes.back().version != newest)
    return std::nullopt;
  const auto from =
      std::find_if(history.m_changes.begin(), history.m_changes.end(),
                   [have](const wire::DocumentChange& change) { return change.base == have; });
  if (from == history.m_changes.end())
    return std::nullopt;
  return std::vector<wire::DocumentChange>(from, history.m_changes.end());
}

std::int64_t TotalBytes(const std::vector<wire::DocumentChange>& changes) {
  std::int64_t bytes = 0;
  for (const wire::DocumentChange& change : changes)
    bytes += change.bytes;
  return bytes;
}

/// Returns the kept full document and the changes after it; nullopt if these don't lead to `newest`
/// or are larger than the full document.
std::optional<std::vector<wire::DocumentChange>> FullAndLaterChanges(const DocumentHistory& history,
                                                                     std::int64_t newest) {
  const wire::DocumentChange& full = history.m_full_change;
  if (full.version == 0)
    return std::nullopt;
  if (full.version == newest)
    return std::vector<wire::DocumentChange>{full};
  std::optional<std::vector<wire::DocumentChange>> changes =
      KeptChangesFrom(history, full.version, newest);
  if (!changes || TotalBytes(*changes) > full.bytes)
    return std::nullopt;
  changes->insert(changes->begin(), full);
  return changes;
}

}  // namespace

wire::DocumentChange DiffDocuments(const wire::Document& base, const wire::Document& target) {
  wire::DocumentChange change;
  change.base = base.version;
  change.version = target.version;
  change.digest = DigestOf(target.body);
  change.edits = EncodeEdits(base.body, target.body);
  change.bytes = static_cast<std::int64_t>(change.edits.size());
  return change;
}

wire::DocumentChange FullDocumentChange(const wire::Document& document) {
  return DiffDocuments({}, document);
}

Result<wire::Document> PatchDocument(const wire::Document& base,
                                     const wire::DocumentChange& change) {
  if (change.base != 0 && change.base != base.version)
    return Fail(ResultCode::kVersionConflict, "a step from version " + std::to_string(change.base) +
                                                  " of the document, not " +
                                                  std::to_string(base.version));
  const std::string_view text = change.base == 0 ? std::string_view() : base.body;
  Result<std::string> body = ApplyEdits(text, change.edits, kMaxDocumentBytes);
  if (!body)
    return tl::unexpected<Error>(body.error());
  if (DigestOf(*body) != change.digest)
    return Fail(ResultCode::kPeerProtocol, "edits that lead to another text");
  wire::Document document;
  document.version = change.version;
  document.body = std::move(*body);
  return document;
}

void AppendToHistory(DocumentHistory& history, const wire::DocumentChange& change) {
  const bool follows = history.m_changes.empty() || history.m_changes.back().version == change.base;
  if (!follows || change.base == 0) {
    history.m_changes.clear();
    history.m_bytes = 0;
  }
  if (change.base == 0) {
    history.m_full_change = change;
    return;
  }
  history.m_changes.push_back(change);
  history.m_bytes += change.edits.size();
  while (history.m_changes.size() > kMaxChanges || history.m_bytes > kMaxChangeBytes) {
    history.m_bytes -= history.m_changes.front().edits.size();
    history.m_changes.pop_front();
  }
}

std::vector<wire::DocumentChange> DocumentChangesSince(DocumentHistory& history,
                                                       const wire::Document& newest,
                                                       std::int64_t have) {
  if (have >= newest.version)
    return {};
  const std::optional<std::vector<wire::DocumentChange>> changes =
      KeptChangesFrom(history, have, newest.version);
  const auto small = static_cast<std::int64_t>(newest.body.size() / kCompressionRatio);
  if (changes && TotalBytes(*changes) <= small)
    return *changes;
  if (const auto from_full = FullAndLaterChanges(history, newest.version))
    return *from_full;
  history.m_previous_full_change = std::move(history.m_full_change);
  history.m_full_change = FullDocumentChange(newest);
  const bool larger = changes && TotalBytes(*changes) > history.m_full_change.bytes;
  return changes && !larger ? *changes : std::vector<wire::DocumentChange>{history.m_full_change};
}

const wire::DocumentChange* FindDocumentChange(const DocumentHistory& history,
                                               std::int64_t base,
                                               std::int64_t version) {
  const auto matches = [base, version](const wire::DocumentChange& change) {
    return change.base == base && change.version == version;
  };
  for (const wire::DocumentChange* full :
       {&history.m_full_change, &history.m_previous_full_change}) {
    if (matches(*full))
      return full;
  }
  const auto found = std::find_if(history.m_changes.begin(), history.m_changes.end(), matches);
  return found == history.m_changes.end() ? nullptr : &*found;
}

std::vector<wire::DocumentChange> LimitChangeBytes(std::vector<wire::DocumentChange> changes,
                                                   std::int64_t most) {
  std::vector<wire::DocumentChange> first;
  for (wire::DocumentChange& change : changes) {
    most -= change.bytes;
    if (most < 0)
      change.edits.clear();
    first.push_back(std::move(change));
    if (most < 0)
      break;
  }
  return first;
}

}  // namespace poppyway

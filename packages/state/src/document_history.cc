// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::size_t kMostSteps = 512;
constexpr std::size_t kMostStepBytes = 1u << 20;
constexpr std::size_t kPackedPart = 8;  // A whole document packs to about this part of it.

std::int64_t DigestOf(const std::string& body) {
  return static_cast<std::int64_t>(Hash(body));
}

/// The steps from `have` to `newest`, if they are known.
std::optional<std::vector<wire::DocumentChange>> Tail(const DocumentHistory& history,
                                                      std::int64_t have,
                                                      std::int64_t newest) {
  if (history.m_steps.empty() || history.m_steps.back().version != newest)
    return std::nullopt;
  const auto from =
      std::find_if(history.m_steps.begin(), history.m_steps.end(),
                   [have](const wire::DocumentChange& step) { return step.base == have; });
  if (from == history.m_steps.end())
    return std::nullopt;
  return std::vector<wire::DocumentChange>(from, history.m_steps.end());
}

std::int64_t BytesOf(const std::vector<wire::DocumentChange>& steps) {
  std::int64_t bytes = 0;
  for (const wire::DocumentChange& step : steps)
    bytes += step.bytes;
  return bytes;
}

/// The whole document that is kept and the steps after it, if they lead to `newest` and are the
/// smaller part.
std::optional<std::vector<wire::DocumentChange>> FromWhole(const DocumentHistory& history,
                                                           std::int64_t newest) {
  const wire::DocumentChange& whole = history.m_whole;
  if (whole.version == 0)
    return std::nullopt;
  if (whole.version == newest)
    return std::vector<wire::DocumentChange>{whole};
  std::optional<std::vector<wire::DocumentChange>> steps = Tail(history, whole.version, newest);
  if (!steps || BytesOf(*steps) > whole.bytes)
    return std::nullopt;
  steps->insert(steps->begin(), whole);
  return steps;
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

void AppendToHistory(DocumentHistory& history, const wire::DocumentChange& step) {
  const bool follows = history.m_steps.empty() || history.m_steps.back().version == step.base;
  if (!follows || step.base == 0) {
    history.m_steps.clear();
    history.m_bytes = 0;
  }
  if (step.base == 0) {
    history.m_whole = step;
    return;
  }
  history.m_steps.push_back(step);
  history.m_bytes += step.edits.size();
  while (history.m_steps.size() > kMostSteps || history.m_bytes > kMostStepBytes) {
    history.m_bytes -= history.m_steps.front().edits.size();
    history.m_steps.pop_front();
  }
}

std::vector<wire::DocumentChange> DocumentChangesSince(DocumentHistory& history,
                                                       const wire::Document& newest,
                                                       std::int64_t have) {
  if (have >= newest.version)
    return {};
  const std::optional<std::vector<wire::DocumentChange>> steps =
      Tail(history, have, newest.version);
  const auto small = static_cast<std::int64_t>(newest.body.size() / kPackedPart);
  if (steps && BytesOf(*steps) <= small)
    return *steps;
  if (const auto from_whole = FromWhole(history, newest.version))
    return *from_whole;
  history.m_earlier_whole = std::move(history.m_whole);
  history.m_whole = FullDocumentChange(newest);
  const bool larger = steps && BytesOf(*steps) > history.m_whole.bytes;
  return steps && !larger ? *steps : std::vector<wire::DocumentChange>{history.m_whole};
}

const wire::DocumentChange* FindDocumentChange(const DocumentHistory& history,
                                               std::int64_t base,
                                               std::int64_t version) {
  const auto is_it = [base, version](const wire::DocumentChange& step) {
    return step.base == base && step.version == version;
  };
  for (const wire::DocumentChange* whole : {&history.m_whole, &history.m_earlier_whole}) {
    if (is_it(*whole))
      return whole;
  }
  const auto found = std::find_if(history.m_steps.begin(), history.m_steps.end(), is_it);
  return found == history.m_steps.end() ? nullptr : &*found;
}

std::vector<wire::DocumentChange> LimitChangeBytes(std::vector<wire::DocumentChange> steps,
                                                   std::int64_t most) {
  std::vector<wire::DocumentChange> first;
  for (wire::DocumentChange& step : steps) {
    most -= step.bytes;
    if (most < 0)
      step.edits.clear();
    first.push_back(std::move(step));
    if (most < 0)
      break;
  }
  return first;
}

}  // namespace poppyway

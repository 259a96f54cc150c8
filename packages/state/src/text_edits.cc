// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <cstring>
#include <limits>
#include <vector>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::size_t kBlock = 32;  // Bytes; shorter common runs aren't searched for.
constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;  // 2^64 divided by the golden ratio.
// Allowance for the encoding of the edits, beside the bytes that they insert.
constexpr std::size_t kEditsOverhead = 4096;

/// Polynomial hash of a window of `kBlock` bytes.
class RollingHash {
 public:
  explicit RollingHash(std::string_view block) {
    for (const char byte : block)
      m_value = m_value * kMultiplier + Value(byte);
    for (std::size_t i = 1; i < kBlock; ++i)
      m_oldest *= kMultiplier;
  }
  /// Moves the window by one byte: `out` leaves it, `in` enters it.
  void Roll(char out, char in) {
    m_value = (m_value - m_oldest * Value(out)) * kMultiplier + Value(in);
  }
  [[nodiscard]] std::uint64_t value() const noexcept { return m_value; }

 private:
  static std::uint64_t Value(char byte) noexcept { return static_cast<unsigned char>(byte) + 1U; }

  std::uint64_t m_value = 0;
  std::uint64_t m_oldest = 1;
};

/// Index of the blocks of a text that occur in it once. Repeated blocks, such as the field names of
/// a format, are left out: they would match at an arbitrary occurrence.
class BlockIndex {
 public:
  explicit BlockIndex(std::string_view text) : m_text(text) {
    std::size_t slots = 16;
    while (slots < 2 * (text.size() / kBlock))
      slots *= 2;
    m_slots.resize(slots);
    for (std::size_t at = 0; at + kBlock <= text.size(); at += kBlock)
      Add(at);
  }

  /// Returns the offset of the block `bytes`, whose hash is given; npos if it isn't indexed.
  [[nodiscard]] std::size_t Find(std::string_view bytes, std::uint64_t hash) const {
    const Slot& slot = m_slots[SlotOf(hash, bytes)];
    return slot.m_used && !slot.m_repeated ? slot.m_at : std::string_view::npos;
  }

 private:
  struct Slot {
    std::uint64_t m_hash = 0;
    std::uint32_t m_at = 0;
    bool m_used = false;
    bool m_repeated = false;
  };

  void Add(std::size_t at) {
    const std::string_view block = m_text.substr(at, kBlock);
    const std::uint64_t hash = RollingHash(block).value();
    Slot& slot = m_slots[SlotOf(hash, block)];
    slot.m_repeated = slot.m_used;
    if (!slot.m_used)
      slot = {hash, static_cast<std::uint32_t>(at), true, false};
  }

  /// Returns the slot that holds this block, or the free slot in which it belongs.
  [[nodiscard]] std::size_t SlotOf(std::uint64_t hash, std::string_view block) const {
    constexpr int kShift = 20;  // Mixes in high bits: the low bits of a polynomial hash are weak.
    std::size_t number = (hash ^ (hash >> kShift)) % m_slots.size();
    while (m_slots[number].m_used && !Holds(m_slots[number], hash, block))
      number = (number + 1) % m_slots.size();
    return number;
  }

  [[nodiscard]] bool Holds(const Slot& slot, std::uint64_t hash, std::string_view block) const {
    return slot.m_hash == hash && m_text.substr(slot.m_at, kBlock) == block;
  }

  std::string_view m_text;
  std::vector<Slot> m_slots;
};

/// A run of bytes that both texts contain: an offset in each, and the length.
struct Match {
  std::size_t m_base = 0;
  std::size_t m_target = 0;
  std::size_t m_length = 0;
};

/// Extends a match in both directions, but not before offset `from` of the target.
Match Extend(std::string_view base, std::string_view target, Match match, std::size_t from) {
  while (match.m_base > 0 && match.m_target > from &&
         base[match.m_base - 1] == target[match.m_target - 1]) {
    --match.m_base;
    --match.m_target;
    ++match.m_length;
  }
  while (match.m_base + match.m_length < base.size() &&
         match.m_target + match.m_length < target.size() &&
         base[match.m_base + match.m_length] == target[match.m_target + match.m_length])
    ++match.m_length;
  return match;
}

/// Returns the next common run at or after offset `from` of the target; of length 0 if there is
/// none.
Match FindNextMatch(const BlockIndex& index,
                    std::string_view base,
                    std::string_view target,
                    std::size_t from) {
  if (from + kBlock > target.size())
    return {0, target.size(), 0};
  RollingHash hash(target.substr(from, kBlock));
  for (std::size_t at = from;; ++at) {
    const std::size_t found = index.Find(target.substr(at, kBlock), hash.value());
    if (found != std::string_view::npos)
      return Extend(base, target, {found, at, kBlock}, from);
    if (at + kBlock == target.size())
      return {0, target.size(), 0};
    hash.Roll(target[at], target[at + kBlock]);
  }
}

/// Returns the common prefix of both texts.
Match MatchPrefix(std::string_view base, std::string_view target) {
  return Extend(base, target, {}, 0);
}

/// Appends the result of an edit; false if it copies from outside `base` or `text` would exceed
/// `most` bytes.
bool AppendEdit(std::string& text,
                std::string_view base,
                const wire::TextEdit& edit,
                std::size_t most) {
  const bool valid = edit.offset >= 0 && edit.length >= 0 &&
                     edit.offset <= static_cast<std::int64_t>(base.size()) &&
                     edit.length <= static_cast<std::int64_t>(base.size()) - edit.offset;
  if (!valid)
    return false;
  const auto length = static_cast<std::size_t>(edit.length);
  if (text.size() + length + edit.own.size() > most)
    return false;
  text.append(base.substr(static_cast<std::size_t>(edit.offset), length));
  text.append(edit.own);
  return true;
}

}  // namespace

std::string EncodeEdits(std::string_view base, std::string_view target) {
  const BlockIndex index(base);
  wire::TextEdits edits;
  Match match = MatchPrefix(base, target);
  while (true) {
    const std::size_t end = match.m_target + match.m_length;
    const Match next = FindNextMatch(index, base, target, end);
    wire::TextEdit& edit = edits.edits.emplace_back();
    edit.offset = static_cast<std::int64_t>(match.m_base);
    edit.length = static_cast<std::int64_t>(match.m_length);
    edit.own = std::string(target.substr(end, next.m_target - end));
    if (next.m_length == 0)
      break;
    match = next;
  }
  return Pack(Serialize(edits));
}

Result<std::string> ApplyEdits(std::string_view base, std::string_view edits, std::size_t most) {
  // Each edit adds a few bytes of encoding; for one edit a block, twice the text's size suffices.
  const Result<std::string> bytes = Unpack(edits, 2 * most + kEditsOverhead);
  if (!bytes)
    return tl::unexpected<Error>(bytes.error());
  const Result<wire::TextEdits> list = Deserialize<wire::TextEdits>(*bytes);
  if (!list)
    return tl::unexpected<Error>(list.error());
  std::string text;
  text.reserve(std::min(most, base.size() + bytes->size()));
  for (const wire::TextEdit& edit : list->edits) {
    if (!AppendEdit(text, base, edit, most))
      return Fail(ResultCode::kPeerProtocol, "edits that don't fit the text they are for");
  }
  return text;
}

}  // namespace poppyway

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/selectors.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace poppyway {
namespace {

/// The selector's text and the position of the parser in it.
struct Cursor {
  std::string_view m_text;
  std::size_t m_position = 0;
};

bool AtEnd(const Cursor& cursor) {
  return cursor.m_position >= cursor.m_text.size();
}

void SkipBlanks(Cursor& cursor) {
  while (!AtEnd(cursor) &&
         std::isspace(static_cast<unsigned char>(cursor.m_text[cursor.m_position])))
    ++cursor.m_position;
}

/// Skips blanks, and `token` if it follows. Returns true if it does.
bool Accept(Cursor& cursor, std::string_view token) {
  SkipBlanks(cursor);
  if (!cursor.m_text.substr(cursor.m_position).starts_with(token))
    return false;
  cursor.m_position += token.size();
  return true;
}

bool IsWordByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' ||
         c == '/' || c == ':';
}

/// Skips blanks and reads a label, operator word or value; returns "" if none follows.
std::string ReadWord(Cursor& cursor) {
  SkipBlanks(cursor);
  const std::size_t start = cursor.m_position;
  while (!AtEnd(cursor) && IsWordByte(cursor.m_text[cursor.m_position]))
    ++cursor.m_position;
  return std::string(cursor.m_text.substr(start, cursor.m_position - start));
}

tl::unexpected<Error> FailAt(const Cursor& cursor, std::string_view wanted) {
  return Fail(ResultCode::kBadSelector, "selector '" + std::string(cursor.m_text) + "', column " +
                                            std::to_string(cursor.m_position + 1) + ": expected " +
                                            std::string(wanted));
}

Result<std::vector<std::string>> ReadSet(Cursor& cursor) {
  if (!Accept(cursor, "("))
    return FailAt(cursor, "'('");
  std::vector<std::string> values;
  do {
    std::string word = ReadWord(cursor);
    if (word.empty())
      return FailAt(cursor, "a value");
    values.push_back(std::move(word));
  } while (Accept(cursor, ","));
  if (!Accept(cursor, ")"))
    return FailAt(cursor, "',' or ')'");
  return values;
}

Result<Requirement> ReadEquality(Cursor& cursor, std::string label, SelectorOp op) {
  std::string value = ReadWord(cursor);
  if (value.empty())
    return FailAt(cursor, "a value");
  return Requirement{std::move(label), op, {std::move(value)}};
}

Result<Requirement> ReadRequirement(Cursor& cursor) {
  const bool negated = Accept(cursor, "!");
  std::string label = ReadWord(cursor);
  if (label.empty())
    return FailAt(cursor, "a label");
  if (negated)
    return Requirement{std::move(label), SelectorOp::kNotExists, {}};
  if (Accept(cursor, "!="))
    return ReadEquality(cursor, std::move(label), SelectorOp::kNotIn);
  if (Accept(cursor, "==") || Accept(cursor, "="))
    return ReadEquality(cursor, std::move(label), SelectorOp::kIn);
  const std::size_t before_word = cursor.m_position;
  const std::string word = ReadWord(cursor);
  if (word.empty())
    return Requirement{std::move(label), SelectorOp::kExists, {}};
  if (word != "in" && word != "notin") {
    cursor.m_position = before_word;
    return FailAt(cursor, "'in', 'notin', '=', '!=' or ','");
  }
  Result<std::vector<std::string>> values = ReadSet(cursor);
  if (!values)
    return tl::unexpected<Error>(values.error());
  return Requirement{std::move(label), word == "in" ? SelectorOp::kIn : SelectorOp::kNotIn,
                     std::move(*values)};
}

bool Holds(const Requirement& requirement, const Labels& labels) {
  const auto found = labels.find(requirement.m_label);
  const bool exists = found != labels.end();
  const bool listed = exists && std::find(requirement.m_values.begin(), requirement.m_values.end(),
                                          found->second) != requirement.m_values.end();
  switch (requirement.m_op) {
    case SelectorOp::kIn:
      return listed;
    case SelectorOp::kNotIn:
      return !listed;
    case SelectorOp::kExists:
      return exists;
    case SelectorOp::kNotExists:
      return !exists;
  }
  return false;
}

}  // namespace

Result<Selector> ParseSelector(std::string_view text) {
  Cursor cursor{text};
  Selector selector;
  SkipBlanks(cursor);
  if (AtEnd(cursor))
    return selector;
  do {
    Result<Requirement> requirement = ReadRequirement(cursor);
    if (!requirement)
      return tl::unexpected<Error>(requirement.error());
    selector.m_requirements.push_back(std::move(*requirement));
  } while (Accept(cursor, ","));
  SkipBlanks(cursor);
  if (!AtEnd(cursor))
    return FailAt(cursor, "',' or the end");
  return selector;
}

bool Matches(const Selector& selector, const Labels& labels) {
  return std::all_of(selector.m_requirements.begin(), selector.m_requirements.end(),
                     [&labels](const Requirement& r) { return Holds(r, labels); });
}

}  // namespace poppyway

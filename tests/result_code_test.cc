// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

#include "poppyway/core.h"
#include "poppyway/settings.h"

using namespace poppyway;

namespace {

std::string Page(const std::string& name) {
  std::ostringstream text;
  text << std::ifstream(std::string(POPPYWAY_SOURCE) + "/docs/" + name).rdbuf();
  return text.str();
}

std::string Row(const ResultInfo& info) {
  std::ostringstream row;
  row << "| " << static_cast<int>(info.m_code) << " | " << info.m_name << " | "
      << (info.m_http_status == 0 ? "-" : std::to_string(info.m_http_status)) << " | "
      << RunStateName(info.m_run) << " | " << (info.m_retry_after ? "yes" : "no") << " | "
      << info.m_meaning << " |";
  return row.str();
}

std::string Row(const KeyInfo& key) {
  std::ostringstream row;
  row << "| " << key.m_key << " | " << key.m_type << " | " << key.m_unit << " | " << key.m_default
      << " | " << key.m_bounds << " | " << key.m_meaning << " |";
  return row.str();
}

}  // namespace

TEST_CASE("the page of result codes has exactly the rows of the table", "[docs]") {
  const std::string page = Page("RESULT_CODES.md");
  std::size_t rows = 0;
  for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
    ++rows;
  CHECK(rows == ResultTable().size() + 1);  // The table's header is a row too.
  for (const ResultInfo& info : ResultTable())
    CHECK(page.find(Row(info)) != std::string::npos);
}

TEST_CASE(
    "codes and names are unique and every refusal says when to come back or that it is the "
    "caller's to mend",
    "[core]") {
  std::set<int> codes;
  std::set<std::string_view> names;
  for (const ResultInfo& info : ResultTable()) {
    CHECK(codes.insert(static_cast<int>(info.m_code)).second);
    CHECK(names.insert(info.m_name).second);
    CHECK(&ResultInfoOf(info.m_code) == &info);
    const int number = static_cast<int>(info.m_code);
    const bool system_refusal = number >= 2000 && number < 3000 && info.m_http_status != 0;
    if (system_refusal)
      CHECK(info.m_retry_after);
  }
}

TEST_CASE("a request that was sent is never called not run", "[core]") {
  for (const ResultInfo& info : ResultTable()) {
    const int number = static_cast<int>(info.m_code);
    if (number >= 3000 && number < 4000)
      CHECK(info.m_run != RunState::kNotRun);
    if (number >= 1000 && number < 3000)
      CHECK(info.m_run == RunState::kNotRun);
  }
}

TEST_CASE("the page of configuration has a row for each key that the code takes", "[docs]") {
  const std::string page = Page("CONFIGURATION.md");
  for (const KeyInfo& key : DaemonKeys())
    CHECK(page.find(Row(key)) != std::string::npos);
  for (const char* kind : {"pool", "server", "engine", "event", "workspace"}) {
    for (const KeyInfo& key : DeclarationKeys(kind))
      CHECK(page.find(Row(key)) != std::string::npos);
  }
}

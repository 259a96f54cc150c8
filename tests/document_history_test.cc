// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Changes of the operator's document from one version to another: their size depends on what
// differs, and every reader arrives at the same bytes.
#include <catch2/catch.hpp>
#include <random>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::size_t kAnySize = 64u << 20;

std::string RandomWord(std::mt19937_64& random) {
  std::string word;
  for (int i = 0; i < 10; ++i)
    word += static_cast<char>('a' + random() % 26);
  return word;
}

std::string RouteText(std::mt19937_64& random) {
  return R"({"name":"r-)" + RandomWord(random) + R"(","host":"a.example","path_prefix":"/)" +
         RandomWord(random) +
         R"(/","kind":"safe","timeout":2000,"aim":300,"priority":0,"service":"app","attempts":2},)";
}

std::vector<std::string> Routes(std::mt19937_64& random, int count) {
  std::vector<std::string> routes;
  for (int i = 0; i < count; ++i)
    routes.push_back(RouteText(random));
  return routes;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text = R"({"version":7,"routes":[)";
  for (const std::string& part : parts)
    text += part;
  return text + "]}";
}

wire::Document Document(std::int64_t version, const std::string& body) {
  wire::Document document;
  document.version = version;
  document.body = body;
  return document;
}

/// Returns versions 1 to `count` of a document; each appends some text to the one before.
std::vector<wire::Document> Versions(int count) {
  std::mt19937_64 random(5);
  std::string body = Join(Routes(random, 400));
  std::vector<wire::Document> versions;
  for (int version = 1; version <= count; ++version) {
    body += RandomWord(random);
    versions.push_back(Document(version, body));
  }
  return versions;
}

DocumentHistory HistoryOf(const std::vector<wire::Document>& versions) {
  DocumentHistory history;
  wire::Document held;
  for (const wire::Document& version : versions) {
    AppendToHistory(history, DiffDocuments(held, version));
    held = version;
  }
  return history;
}

/// Returns the text of a reader that held `held` and applied `steps`.
std::string ApplyAll(wire::Document held, const std::vector<wire::DocumentChange>& steps) {
  for (const wire::DocumentChange& step : steps) {
    Result<wire::Document> next = PatchDocument(held, step);
    REQUIRE(next);
    held = std::move(*next);
  }
  return held.body;
}

TEST_CASE("edits lead from one text to the other, whatever the texts are") {
  std::mt19937_64 random(11);
  const std::vector<std::string> routes = Routes(random, 300);
  std::vector<std::string> texts{"", "a", std::string(10'000, 'x'), Join(routes)};
  std::vector<std::string> shuffled = routes;
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  texts.push_back(Join(shuffled));
  texts.push_back(Join({routes.begin(), routes.begin() + 100}));
  for (const std::string& base : texts) {
    for (const std::string& target : texts) {
      const Result<std::string> result = ApplyEdits(base, EncodeEdits(base, target), kAnySize);
      REQUIRE(result);
      CHECK(*result == target);
    }
  }
}

TEST_CASE("random changes of a text lead to the changed text") {
  std::mt19937_64 random(23);
  std::string base = Join(Routes(random, 200));
  for (int round = 0; round < 200; ++round) {
    std::string target = base;
    for (std::uint64_t edits = random() % 5; edits > 0; --edits) {
      const std::size_t at = random() % target.size();
      if (random() % 2 == 0)
        target.insert(at, RandomWord(random));
      else
        target.erase(at, random() % 100);
    }
    const Result<std::string> result = ApplyEdits(base, EncodeEdits(base, target), kAnySize);
    REQUIRE(result);
    REQUIRE(*result == target);
    base = target;
  }
}

// Guards against a small change of a large document that costs each reader the document's full
// size.
TEST_CASE("a change costs what it alters, however large the text is") {
  std::mt19937_64 random(31);
  std::vector<std::string> routes = Routes(random, 4000);
  const std::string base = Join(routes);
  std::vector<std::string> slower = routes;
  for (const std::size_t changed : {7u, 1200u, 3990u})
    slower[changed].replace(slower[changed].find("2000"), 4, "3500");
  CHECK(EncodeEdits(base, Join(slower)).size() < 300);

  std::vector<std::string> grown = routes;
  const std::vector<std::string> more = Routes(random, 100);
  grown.insert(grown.begin() + 2000, more.begin(), more.end());
  CHECK(EncodeEdits(base, Join(grown)).size() < Join(more).size() / 2);

  std::vector<std::string> shrunk = routes;
  shrunk.erase(shrunk.begin() + 1000, shrunk.begin() + 1300);
  CHECK(EncodeEdits(base, Join(shrunk)).size() < 300);
}

TEST_CASE("edits that are damaged or for another text are refused") {
  std::mt19937_64 random(41);
  const std::string base = Join(Routes(random, 50));
  const std::string edits = EncodeEdits(base, base + "more");
  CHECK_FALSE(ApplyEdits("short", edits, kAnySize));
  CHECK_FALSE(ApplyEdits(base, edits.substr(0, edits.size() / 2), kAnySize));
  CHECK_FALSE(ApplyEdits(base, edits, base.size()));
  CHECK_FALSE(ApplyEdits(base, "no edits", kAnySize));
}

TEST_CASE("packed bytes that hold more than is allowed are refused") {
  const std::string packed = Pack(std::string(1'000'000, 'x'));
  CHECK(packed.size() < 10'000);
  CHECK(Unpack(packed, 1'000'000)->size() == 1'000'000);
  CHECK_FALSE(Unpack(packed, 999'999));
  CHECK_FALSE(Unpack(packed + "x", 1'000'000));
  CHECK(Unpack(Pack(""), 0)->empty());
}

TEST_CASE("a step is taken on the version that it is from, and on no other") {
  const std::vector<wire::Document> versions = Versions(3);
  HostedState state;
  CHECK(ApplyDocumentChange(state, DiffDocuments({}, versions[0])));
  CHECK_FALSE(ApplyDocumentChange(state, DiffDocuments(versions[1], versions[2])));
  CHECK(state.m_document.version == 1);
  CHECK(ApplyDocumentChange(state, DiffDocuments(versions[0], versions[2])));
  CHECK(state.m_document.body == versions[2].body);
  // A change to an older version is accepted and has no effect.
  CHECK(ApplyDocumentChange(state, DiffDocuments(versions[0], versions[1])));
  CHECK(state.m_document.version == 3);
}

TEST_CASE("a step whose result isn't what was meant changes nothing") {
  const std::vector<wire::Document> versions = Versions(2);
  wire::DocumentChange step = DiffDocuments(versions[0], versions[1]);
  ++step.digest;
  HostedState state;
  state.m_document = versions[0];
  CHECK_FALSE(ApplyDocumentChange(state, step));
  CHECK(state.m_document.body == versions[0].body);
}

TEST_CASE("a reader that has an earlier version gets the steps from there") {
  const std::vector<wire::Document> versions = Versions(20);
  DocumentHistory history = HistoryOf(versions);
  const std::vector<wire::DocumentChange> steps =
      DocumentChangesSince(history, versions.back(), 15);
  CHECK(steps.size() == 5);
  CHECK(ApplyAll(versions[14], steps) == versions.back().body);
  CHECK(DocumentChangesSince(history, versions.back(), 20).empty());
}

TEST_CASE("a reader without a known version gets one whole document and what came after it") {
  const std::vector<wire::Document> versions = Versions(20);
  DocumentHistory history = HistoryOf({versions.begin(), versions.begin() + 10});
  CHECK(ApplyAll({}, DocumentChangesSince(history, versions[9], 0)) == versions[9].body);
  const std::int64_t packed = history.m_full_change.version;
  for (std::size_t i = 10; i < versions.size(); ++i)
    AppendToHistory(history, DiffDocuments(versions[i - 1], versions[i]));
  // The full document isn't replaced with each version.
  CHECK(ApplyAll(Document(999, "unknown"), DocumentChangesSince(history, versions.back(), 0)) ==
        versions.back().body);
  CHECK(history.m_full_change.version == packed);
}

TEST_CASE("steps that don't follow on what is known are not joined to it") {
  const std::vector<wire::Document> versions = Versions(9);
  DocumentHistory history = HistoryOf({versions.begin(), versions.begin() + 3});
  AppendToHistory(history, DiffDocuments(versions[6], versions[7]));
  const std::vector<wire::DocumentChange> steps = DocumentChangesSince(history, versions[7], 2);
  CHECK(ApplyAll(versions[1], steps) == versions[7].body);
}

TEST_CASE("what is kept of steps stays within a bound") {
  std::mt19937_64 random(3);
  DocumentHistory history;
  wire::Document held;
  for (int version = 1; version <= 40; ++version) {
    std::string body;
    for (int i = 0; i < 10'000; ++i)
      body += RandomWord(random);
    const wire::Document next = Document(version, body);
    AppendToHistory(history, DiffDocuments(held, next));
    held = next;
  }
  CHECK(history.m_bytes <= 1u << 20);
  CHECK(ApplyAll({}, DocumentChangesSince(history, held, 1)) == held.body);
}

}  // namespace
}  // namespace poppyway

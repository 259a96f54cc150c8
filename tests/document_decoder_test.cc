// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A decoder that reuses parts of the last document gives the same results as decoding each document
// on its own.
#include <time.h>

#include <catch2/catch.hpp>
#include <random>

#include "poppyway/platform.h"

namespace poppyway {
namespace {

std::string RouteText(int number, int timeout) {
  const std::string name = std::to_string(number);
  return R"({"name":"r)" + name + R"(","host":"A.example","path_prefix":"/p)" + name +
         R"(/","route_kind":"safe","timeout_ms":)" + std::to_string(timeout) +
         R"(,"slo_ms":300,"service":"app","note":"a ] \" } in words"})";
}

std::string DocumentText(const std::vector<std::string>& routes, const std::string& rest) {
  std::string list;
  for (const std::string& route : routes)
    list += (list.empty() ? "" : ",\n ") + route;
  return R"({"version":3,"routes":[)" + list + "]," + rest + "}";
}

const std::string kRest = R"("services":[{"name":"app"},{"name":"routes"}],"tenants":[])";

/// Checks that both ways of decoding give the same table or the same error.
void CheckSame(platform::DocumentDecoder& decoder, const std::string& text) {
  const Result<RouteTable> alone = platform::DecodeDocument(text);
  const Result<RouteTable> after = decoder.Decode(text);
  INFO(text.substr(0, 300));
  REQUIRE(alone.has_value() == after.has_value());
  if (alone)
    CHECK(*alone == *after);
  else
    CHECK(alone.error().m_message == after.error().m_message);
}

TEST_CASE("a document after others is read as it is alone, whatever was changed") {
  std::mt19937_64 random(17);
  platform::DocumentDecoder decoder;
  std::vector<std::string> routes;
  for (int i = 0; i < 30; ++i)
    routes.push_back(RouteText(i, 1000));
  for (int round = 0; round < 100; ++round) {
    switch (random() % 4) {
      case 0:
        routes.push_back(RouteText(100 + round, 1000));
        break;
      case 1:
        routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(random() % routes.size()));
        break;
      case 2:
        // In round 0 the timeout is zero, which is rejected.
        routes[random() % routes.size()] = RouteText(1000 + round, round);
        break;
      default:
        std::shuffle(routes.begin(), routes.end(), random);
        break;
    }
    CheckSame(decoder, DocumentText(routes, kRest));
    if (round == 50)
      CheckSame(decoder, DocumentText(routes, R"("services":[{"name":"other"}])"));
  }
}

TEST_CASE("documents of odd shapes are read as each is alone") {
  platform::DocumentDecoder decoder;
  const std::string route = RouteText(1, 1000);
  CheckSame(decoder, DocumentText({route}, kRest));
  for (const std::string& text : {
           DocumentText({}, kRest),
           DocumentText({route, route}, kRest),
           DocumentText({route}, kRest + R"(,"routes":[])"),
           DocumentText({route}, kRest + R"(,"rout\u0065s":[)" + RouteText(2, 500) + "]"),
           DocumentText({route}, kRest + ",") + " ",
           DocumentText({route + ","}, kRest),
           DocumentText({route, "7"}, kRest),
           DocumentText({route, "[]"}, kRest),
           DocumentText({route, "{]"}, kRest),
           DocumentText({route, R"({"name":"r2"})"}, kRest),
           DocumentText({route}, R"("services":[{"name":"app","routes":[{}]}])"),
           R"({"version":3,"services":[]})" + std::string(),
           R"({"version":3,"routes":null,"services":[]})" + std::string(),
           R"({"version":3,"routes":{},"services":[]})" + std::string(),
           " \n{ \"routes\" : [ " + route +
               " ] , \"version\" : 4 , \"services\" : [ {\"name\":\"app\"} ] } ",
           DocumentText({route}, kRest).substr(0, 200),
           DocumentText({route}, kRest) + "}",
           std::string(),
           std::string("[]"),
           std::string("{"),
           std::string(R"({"routes":[")"),
       })
    CheckSame(decoder, text);
  CheckSame(decoder, DocumentText({route}, kRest));
}

// Guards against small changes that delay the requests of an instance while all of a large document
// is decoded.
TEST_CASE("a small change of a large document is read in a small part of the time of all of it") {
  std::vector<std::string> routes;
  for (int i = 0; i < 4000; ++i)
    routes.push_back(RouteText(i, 1000));
  const std::string first = DocumentText(routes, kRest);
  routes[2000] = RouteText(2000, 1500);
  const std::string second = DocumentText(routes, kRest);
  // The processor time counts: other processes may delay this one by more than a decoding takes.
  const auto processor_seconds = [] {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
  };
  const auto seconds_of = [&](platform::DocumentDecoder& decoder, const std::string& text) {
    const double begun = processor_seconds();
    REQUIRE(decoder.Decode(text));
    return processor_seconds() - begun;
  };
  double whole = 0;
  double change = 0;
  constexpr int kRounds = 5;  // The best of each counts.
  for (int round = 0; round < kRounds; ++round) {
    platform::DocumentDecoder decoder;
    const double whole_now = seconds_of(decoder, first);
    const double change_now = seconds_of(decoder, second);
    whole = round == 0 ? whole_now : std::min(whole, whole_now);
    change = round == 0 ? change_now : std::min(change, change_now);
  }
  CHECK(change < whole / 3);
}

}  // namespace
}  // namespace poppyway

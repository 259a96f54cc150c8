// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "load_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <random>
#include <sstream>

namespace poppyway::cli {
namespace {

constexpr std::int64_t kBytesPerToken = 4;  // The estimate that instances use for prompts.
constexpr std::int64_t kMaxRequests = 1'000'000;

constexpr std::array kPlanKeys = {
    KeyInfo{"duration_s", "number", "s", "10", "1 to 3600", "Length of the load."},
    KeyInfo{"opening_s", "number", "s", "5", "1 to 3600", "Over how long an opening arrives."},
    KeyInfo{"classes", "list", "-", "required", "-", "Classes of callers."},
};
constexpr std::array kClassKeys = {
    KeyInfo{"name", "text", "-", "required", "-", ""},
    KeyInfo{"event", "text", "-", "empty", "-", ""},
    KeyInfo{"workspace", "text", "-", "empty", "-", ""},
    KeyInfo{"tier", "number", "-", "0", "0 to 2", ""},
    KeyInfo{"service_path", "text", "-", "empty", "-", ""},
    KeyInfo{"method", "text", "-", "POST", "-", ""},
    KeyInfo{"rate_per_minute", "number", "1/min", "0", "0 to 1000000", ""},
    KeyInfo{"opening", "number", "requests", "0", "0 to 1000000", ""},
    KeyInfo{"prompt_tokens", "list", "tokens", "20, 200", "-", ""},
    KeyInfo{"output_tokens", "list", "tokens", "8, 32", "-", ""},
    KeyInfo{"shared_prefix", "number", "tokens", "0", "0 to 1000000", ""},
    KeyInfo{"deadline_ms", "number", "ms", "10000", "1 to 3600000", ""},
    KeyInfo{"key", "flag", "-", "false", "-", ""},
    KeyInfo{"stream", "flag", "-", "true", "-", ""},
};

void ReadRange(impl::YamlReader& reader, const char* key, std::int64_t& low, std::int64_t& high) {
  const std::vector<std::string> values = reader.List(key);
  if (values.empty())
    return;
  if (values.size() != 2) {
    reader.Reject(key, std::string("'") + key + "' must be [least, most]");
    return;
  }
  low = std::max(1LL, std::atoll(values[0].c_str()));
  high = std::max<std::int64_t>(low, std::atoll(values[1].c_str()));
}

Result<LoadClass> ReadClass(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kClassKeys);
  reader.Require("name");
  LoadClass load;
  load.m_name = reader.Text("name");
  load.m_event = reader.Text("event");
  load.m_workspace = reader.Text("workspace");
  load.m_tier = static_cast<int>(reader.Number("tier", 0, 0, kTierCount - 1));
  load.m_service_path = reader.Text("service_path");
  load.m_method = reader.Text("method", load.m_method);
  load.m_rate = static_cast<double>(reader.Number("rate_per_minute", 0, 0, 1'000'000)) / 60;
  load.m_opening = reader.Number("opening", 0, 0, 1'000'000);
  ReadRange(reader, "prompt_tokens", load.m_prompt_min, load.m_prompt_max);
  ReadRange(reader, "output_tokens", load.m_output_min, load.m_output_max);
  load.m_shared_prefix = reader.Number("shared_prefix", 0, 0, 1'000'000);
  load.m_deadline_ms = reader.Number("deadline_ms", load.m_deadline_ms, 1, 3'600'000);
  load.m_key = reader.Flag("key", false);
  load.m_stream = reader.Flag("stream", true);
  if (!reader.ok())
    return Fail(ResultCode::kBadSettings, reader.fault());
  return load;
}

std::int64_t LogUniform(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
  std::uniform_real_distribution<double> spread(std::log(static_cast<double>(low)),
                                                std::log(static_cast<double>(high) + 1));
  return std::clamp(static_cast<std::int64_t>(std::exp(spread(random))), low, high);
}

std::string MakePrompt(const LoadClass& load, std::uint64_t number, std::int64_t tokens) {
  std::string prompt;
  const auto bytes = static_cast<std::size_t>(tokens * kBytesPerToken);
  const auto shared = static_cast<std::size_t>(load.m_shared_prefix * kBytesPerToken);
  const std::string common = load.m_name + " ";
  while (prompt.size() < std::min(shared, bytes))
    prompt += common;
  const std::string own = "request " + std::to_string(number) + " ";
  do {
    prompt += own;
  } while (prompt.size() < bytes);
  return prompt;
}

void AddRequestsOfClass(const LoadPlan& plan,
                        std::size_t index,
                        std::mt19937_64& random,
                        std::vector<PlannedRequest>& requests) {
  const LoadClass& load = plan.m_classes[index];
  const auto add = [&](double at_s) {
    PlannedRequest request;
    request.m_at = Duration(static_cast<std::int64_t>(at_s * 1e6));
    request.m_class = index;
    request.m_output_tokens = LogUniform(random, load.m_output_min, load.m_output_max);
    const std::int64_t tokens = LogUniform(random, load.m_prompt_min, load.m_prompt_max);
    request.m_number = (static_cast<std::uint64_t>(index) << 32) + requests.size();
    request.m_prompt = MakePrompt(load, request.m_number, tokens);
    requests.push_back(std::move(request));
  };
  std::uniform_real_distribution<double> opening(0, plan.m_opening_s);
  for (std::int64_t i = 0; i < load.m_opening; ++i)
    add(opening(random));
  if (load.m_rate <= 0)
    return;
  std::exponential_distribution<double> gap(load.m_rate);
  for (double at = gap(random); at < plan.m_duration_s; at += gap(random))
    add(at);
}

}  // namespace

Result<LoadPlan> ReadLoadPlan(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return Fail(ResultCode::kBadSettings, path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  YAML::Node node;
  try {
    node = YAML::Load(text.str());
  } catch (const YAML::Exception& fault) {
    return Fail(ResultCode::kBadSettings, impl::Position(path, fault.mark) + fault.msg);
  }
  impl::YamlReader reader(node, path, kPlanKeys);
  reader.Require("classes");
  LoadPlan plan;
  plan.m_duration_s = static_cast<double>(reader.Number("duration_s", 10, 1, 3600));
  plan.m_opening_s = static_cast<double>(reader.Number("opening_s", 5, 1, 3600));
  if (!reader.ok())
    return Fail(ResultCode::kBadSettings, reader.fault());
  for (const auto& item : reader.Child("classes")) {
    Result<LoadClass> load = ReadClass(item, path);
    if (!load)
      return tl::unexpected<Error>(load.error());
    plan.m_classes.push_back(std::move(*load));
  }
  return plan;
}

std::vector<PlannedRequest> Plan(const LoadPlan& plan, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<PlannedRequest> requests;
  for (std::size_t i = 0; i < plan.m_classes.size(); ++i)
    AddRequestsOfClass(plan, i, random, requests);
  if (requests.size() > kMaxRequests)
    requests.resize(kMaxRequests);
  std::sort(requests.begin(), requests.end(),
            [](const PlannedRequest& a, const PlannedRequest& b) { return a.m_at < b.m_at; });
  return requests;
}

}  // namespace poppyway::cli

// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {

void AdmissionQueue::Push(WaitingRequest request) {
  m_fifos[request.m_tier][request.m_workspace].push_back(request.m_ref);
  ++m_counts[request.m_tier];
  const RequestRef ref = request.m_ref;
  m_requests.emplace(ref, std::move(request));
}

std::optional<WaitingRequest> AdmissionQueue::Remove(RequestRef ref) {
  const auto found = m_requests.find(ref);
  if (found == m_requests.end())
    return std::nullopt;
  WaitingRequest request = std::move(found->second);
  m_requests.erase(found);
  auto& fifos = m_fifos[request.m_tier];
  const auto fifo = fifos.find(request.m_workspace);
  fifo->second.erase(std::find(fifo->second.begin(), fifo->second.end(), ref));
  if (fifo->second.empty())
    fifos.erase(fifo);
  --m_counts[request.m_tier];
  return request;
}

const WaitingRequest* AdmissionQueue::Find(RequestRef ref) const {
  const auto found = m_requests.find(ref);
  return found == m_requests.end() ? nullptr : &found->second;
}

std::vector<const WaitingRequest*> AdmissionQueue::FirstToServe(std::size_t count) const {
  std::vector<const WaitingRequest*> heads;
  for (const auto& fifos : m_fifos) {
    for (std::size_t depth = 0; heads.size() < count; ++depth) {
      const std::size_t before = heads.size();
      for (const auto& [workspace, fifo] : fifos) {
        if (depth < fifo.size() && heads.size() < count)
          heads.push_back(&m_requests.at(fifo[depth]));
      }
      if (heads.size() == before)
        break;
    }
  }
  return heads;
}

std::optional<RequestRef> AdmissionQueue::LowestBelow(Tier tier) const {
  for (Tier t = kTiers - 1; t > tier; --t) {
    std::optional<RequestRef> newest;
    for (const auto& [workspace, fifo] : m_fifos[t])
      newest = std::max(newest.value_or(0), fifo.back());
    if (newest)
      return newest;
  }
  return std::nullopt;
}

std::vector<RequestRef> AdmissionQueue::Infeasible(Instant now, Duration service) const {
  std::vector<RequestRef> refs;
  for (const auto& [ref, request] : m_requests) {
    if (now + service >= request.m_deadline)
      refs.push_back(ref);
  }
  std::sort(refs.begin(), refs.end());
  return refs;
}

}  // namespace poppyway

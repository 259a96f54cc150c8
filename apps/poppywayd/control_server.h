// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "member_side.h"
#include "poppyway/http.h"
#include "poppyway/settings.h"

namespace poppyway {

/// \brief Where operators and backend servers call a member of a hosted deployment. Belongs to the
/// control task; the platform adapter translates the calls.
class ControlServer {
 public:
  ControlServer(TaskLoop& loop, const Endpoint& place, MemberSide& member);

  [[nodiscard]] Result<void> Listen();

 private:
  void OnRequest(h2o_req_t* req);

  Endpoint m_place;
  MemberSide& m_member;
  HttpServer m_server;
};

}  // namespace poppyway

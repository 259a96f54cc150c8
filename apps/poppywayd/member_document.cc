// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Handling of the operator's document at a member: submission, forwarding and reads. Members send
// each other the changes from one version to the next, so that the cost of an update depends on the
// size of the change, not of the document.

#include <utility>

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {
namespace {

wire::Body Done() {
  wire::Body done;
  done.__set_done(true);
  return done;
}

bool IsConflict(const wire::Body& answer) {
  return answer.__isset.error &&
         answer.error.code == static_cast<std::int32_t>(ResultCode::kVersionConflict);
}

void ReplyAll(const std::vector<ReplyFn>& replies, const wire::Body& answer) {
  for (const ReplyFn& reply : replies)
    reply(answer);
}

/// Applies the changes in `steps` to `held`. Returns the newest document, or why a change doesn't
/// apply.
Result<wire::Document> ApplySteps(const wire::Document& held, const wire::DocumentSteps& steps) {
  wire::Document document = held;
  for (const wire::DocumentChange& step : steps.steps) {
    if (step.version <= document.version)
      continue;  // This member has applied the change since it requested the steps.
    Result<wire::Document> next = PatchDocument(document, step);
    if (!next)
      return next;
    document = std::move(*next);
  }
  return document;
}

}  // namespace

void MemberService::SubmitDocument(const wire::Document& document, const ReplyFn& reply) {
  if (!is_leader()) {
    ForwardDocument(document, false, reply);
    return;
  }
  if (!HoldsAllCommitted(m_node, m_machine.m_applied_index)) {
    // A change to a document that an earlier leader has replaced would be rejected.
    AwaitCommittedState(reply, [this, document, reply] { SubmitDocument(document, reply); });
    return;
  }
  if (document.version <= m_machine.m_hosted.m_document.version) {
    // An older version takes a log entry too, since only a leader that still leads may acknowledge
    // it, and only once the newest version is committed.
    wire::Command command;
    command.__set_noop(true);
    CommitCommand(std::move(command), reply);
    return;
  }
  if (!m_proposed_document) {
    ProposeDocument({document, {reply}});
    return;
  }
  if (document.version <= m_proposed_document->m_document.version) {
    m_proposed_document->m_replies.push_back(reply);
    return;
  }
  // Of the waiting documents only the highest version is kept; the others are acknowledged once it
  // is committed.
  if (!m_waiting_document)
    m_waiting_document.emplace();
  if (document.version > m_waiting_document->m_document.version)
    m_waiting_document->m_document = document;
  m_waiting_document->m_replies.push_back(reply);
}

void MemberService::AwaitCommittedState(const ReplyFn& reply, std::function<void()> action) {
  wire::Command command;
  command.__set_noop(true);
  CommitCommand(std::move(command), [reply, action = std::move(action)](wire::Body answer) {
    if (answer.__isset.error)
      reply(std::move(answer));
    else
      action();
  });
}

void MemberService::ProposeDocument(DocumentOrder order) {
  const Instant started = ReadClock();
  wire::DocumentChange change = DiffDocuments(m_machine.m_hosted.m_document, order.m_document);
  POPPYWAY_LOG(info, "document_proposed")
      .Field("base", change.base)
      .Field("version", change.version)
      .Field("bytes", order.m_document.body.size())
      .Field("step_bytes", change.bytes)
      .Field("orders", order.m_replies.size())
      .Field("took_ms", (ReadClock() - started).count() / 1000);
  m_proposed_document = std::move(order);
  wire::Propose propose;
  propose.commands.emplace_back().__set_document_change(std::move(change));
  OnPropose(propose, [this](const wire::Body& answer) { OnDocumentProposed(answer); });
}

void MemberService::OnDocumentProposed(const wire::Body& answer) {
  const DocumentOrder order = std::exchange(m_proposed_document, std::nullopt).value();
  if (answer.__isset.error)
    ReplyAll(order.m_replies, answer);
  else if (answer.propose_reply.results.at(0).done)
    ReplyAll(order.m_replies, Done());
  else
    ReplyAll(order.m_replies,
             ErrorBody(ResultCode::kVersionConflict, "another version was accepted meanwhile"));
  if (!m_waiting_document)
    return;
  const DocumentOrder waiting = std::exchange(m_waiting_document, std::nullopt).value();
  const bool newer = waiting.m_document.version > m_machine.m_hosted.m_document.version;
  if (is_leader() && newer) {
    ProposeDocument(waiting);
    return;
  }
  for (const ReplyFn& reply : waiting.m_replies)
    SubmitDocument(waiting.m_document, reply);
}

void MemberService::ForwardDocument(const wire::Document& document,
                                    bool whole,
                                    const ReplyFn& reply) {
  const wire::Document& held = m_machine.m_hosted.m_document;
  wire::DocumentChange change;
  if (document.version > held.version)
    change = whole ? FullDocumentChange(document) : DiffDocuments(held, document);
  else
    change.version = document.version;  // The leader holds this version or a newer one.
  wire::Body body;
  body.__set_document_change(std::move(change));
  CallLeader(std::move(body), [this, document, whole, reply](const wire::Body& answer) {
    if (IsConflict(answer) && !whole)
      ForwardDocument(document, true, reply);
    else
      reply(answer);
  });
}

void MemberService::SubmitDocumentChange(const wire::DocumentChange& change, const ReplyFn& reply) {
  if (is_leader() && !HoldsAllCommitted(m_node, m_machine.m_applied_index)) {
    AwaitCommittedState(reply, [this, change, reply] { SubmitDocumentChange(change, reply); });
    return;
  }
  const wire::Document& held = m_machine.m_hosted.m_document;
  wire::Document document;
  document.version = change.version;
  if (change.version > held.version) {
    Result<wire::Document> after = PatchDocument(held, change);
    if (!after) {
      reply(ErrorBody(after.error().m_code, after.error().m_message));
      return;
    }
    document = std::move(*after);
  }
  SubmitDocument(document, reply);
}

void MemberService::ReadDocument(const ReplyFn& reply) {
  if (is_leader()) {
    if (!RequireConfirmedLeader(reply))
      return;
    wire::Body body;
    body.__set_document(m_machine.m_hosted.m_document);
    reply(std::move(body));
    return;
  }
  wire::DocumentRead read;
  read.have_version = m_machine.m_hosted.m_document.version;
  wire::Body body;
  body.__set_document_read(read);
  CallLeader(std::move(body), [this, reply](const wire::Body& answer) {
    if (!answer.__isset.document_steps) {
      reply(answer);
      return;
    }
    Result<wire::Document> document =
        ApplySteps(m_machine.m_hosted.m_document, answer.document_steps);
    if (!document) {
      reply(ErrorBody(document.error().m_code, document.error().m_message));
      return;
    }
    wire::Body found;
    found.__set_document(std::move(*document));
    reply(std::move(found));
  });
}

void MemberService::ReadDocumentSteps(const wire::DocumentRead& read, const ReplyFn& reply) {
  if (!RequireConfirmedLeader(reply))
    return;
  wire::DocumentSteps steps;
  steps.steps =
      DocumentChangesSince(m_document_history, m_machine.m_hosted.m_document, read.have_version);
  wire::Body body;
  body.__set_document_steps(std::move(steps));
  reply(std::move(body));
}

}  // namespace poppyway

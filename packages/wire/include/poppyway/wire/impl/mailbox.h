// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <utility>

#include "poppyway/wire/impl/event_loop.h"

namespace poppyway {

/// \brief A task's queue of incoming messages of type M. `Send` is thread-safe. The handler runs on
/// the loop's thread and receives the messages of each sending thread in the order of sending.
template <typename M>
class Mailbox {
 public:
  using Handler = std::function<void(M)>;

  /// Precondition: `loop` outlives the mailbox and every call of `Send`.
  Mailbox(EventLoop& loop, Handler handler) : m_handler(std::move(handler)) {
    m_receiver.m_owner = this;
    h2o_multithread_register_receiver(loop.queue(), &m_receiver.m_base, &Mailbox::OnMessages);
  }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Queues a message for the handler and returns at once. Thread-safe.
  void Send(M message) {
    Node* node = new Node{{}, std::move(message)};
    node->m_base.link = {};
    h2o_multithread_send_message(&m_receiver.m_base, &node->m_base);
  }

 private:
  struct Node {
    h2o_multithread_message_t m_base;
    M m_message;
  };
  struct Receiver {
    h2o_multithread_receiver_t m_base;
    Mailbox* m_owner;
  };

  static void OnMessages(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages) {
    Mailbox* self = reinterpret_cast<Receiver*>(receiver)->m_owner;
    while (!h2o_linklist_is_empty(messages)) {
      Node* node = H2O_STRUCT_FROM_MEMBER(Node, m_base.link, messages->next);
      h2o_linklist_unlink(&node->m_base.link);
      M message = std::move(node->m_message);
      delete node;
      self->m_handler(std::move(message));
    }
  }

  Handler m_handler;
  Receiver m_receiver;
};

}  // namespace poppyway

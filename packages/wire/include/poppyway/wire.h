// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Communication between poppyway's own processes: Thrift messages in length-prefixed frames
/// over TCP, and the event loop that owns sockets and timers.
///
/// \detail A task is one thread with one `EventLoop`. Every object here is used on its
/// loop's thread only; `Mailbox::Send` and `EventLoop::Stop` may be called on any thread. Messages
/// are the structs of poppyway.thrift; the generated code is committed. A frame is a 4-byte
/// big-endian length and a Thrift compact-protocol `Envelope`. A frame that is larger than
/// `kMaxFrameBytes` or can't be decoded closes the connection.

#include "poppyway/wire/impl/blocking_client.h"
#include "poppyway/wire/impl/codec.h"
#include "poppyway/wire/impl/event_loop.h"
#include "poppyway/wire/impl/mailbox.h"
#include "poppyway/wire/impl/packed.h"
#include "poppyway/wire/impl/peer_client.h"
#include "poppyway/wire/impl/peer_connection.h"
#include "poppyway/wire/impl/peer_server.h"
#include "poppyway/wire/impl/repeating_timer.h"
#include "poppyway_types.h"

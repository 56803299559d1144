/** @file table/message_table.h Wire name of each message, in variant order. */

#ifndef JACINTHPOND_CORE_TABLE_MESSAGE_TABLE_H
#define JACINTHPOND_CORE_TABLE_MESSAGE_TABLE_H

#include "wire/message_type.h"

#include <array>
#include <string_view>

namespace jacinthpond {

constexpr std::array<std::string_view, std::variant_size_v<Message>>
    MessageNames = {"hello",   "heartbeat", "pull",   "push",   "start",
                    "begun",   "frame",     "end",    "failed", "cancel",
                    "query",   "status",    "chunk?", "chunk",  "have",
                    "suspect", "leaving",   "entry",  "place?", "place",
                    "done",    "list",      "ping",   "pong",   "rate"};

} // namespace jacinthpond

#endif

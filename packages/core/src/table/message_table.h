/** @file table/message_table.h Wire name of each message, in the order of
 * Message. */

#ifndef JACINTHPOND_CORE_TABLE_MESSAGE_TABLE_H
#define JACINTHPOND_CORE_TABLE_MESSAGE_TABLE_H

#include "wire/message_type.h"

#include <array>
#include <string_view>

namespace jacinthpond {

/** Wire names, indexed like the alternatives of Message. */
constexpr std::array<std::string_view, std::variant_size_v<Message>>
    MessageNames = {"hello",         "heartbeat", "pull",   "push",   "start",
                    "begun",         "frame",     "end",    "failed", "cancel",
                    "query",         "status",    "chunk?", "chunk",  "have",
                    "suspect",       "leaving",   "entry",  "place?", "place",
                    "done",          "list",      "ping",   "pong",   "rate",
                    "server_leaving"};

} // namespace jacinthpond

#endif

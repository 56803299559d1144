/** @file event_stream_func.h Server-sent events cut at their boundaries.
 *
 * A back end may stop in the middle of an event. A caller that got a part of
 * it could not be given the rest by another back end, so nothing leaves here
 * before its event is whole. Ids must rise by one: a second run that begins
 * elsewhere than where the first one ended would be joined to it unseen.
 */

#ifndef JACINTHPOND_CORE_EVENT_STREAM_FUNC_H
#define JACINTHPOND_CORE_EVENT_STREAM_FUNC_H

#include "forwarding/event_stream_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Takes bytes of a stream.
 * @param Stream State to change.
 * @param Bytes What came.
 * @param Out Whole events are appended.
 * @return Good, or why the stream cannot go on.
 */
EventVerdict putEvents(EventStream &Stream, std::string_view Bytes,
                       std::string &Out);

/**
 * Forgets a part of an event that will not be completed.
 * @param Stream State to change.
 */
void dropPartialEvent(EventStream &Stream);

} // namespace jacinthpond

#endif

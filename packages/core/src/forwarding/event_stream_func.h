/** @file event_stream_func.h Splitting a stream of server-sent events at event
 * boundaries.
 *
 * A back end may fail in the middle of an event, and the back end that resumes
 * the stream sends that event again from its start. So only complete events are
 * forwarded. Event ids must rise by one: otherwise a stream that is resumed at
 * the wrong event would be joined to the first part unnoticed.
 */

#ifndef JACINTHPOND_CORE_EVENT_STREAM_FUNC_H
#define JACINTHPOND_CORE_EVENT_STREAM_FUNC_H

#include "forwarding/event_stream_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Adds received bytes to a stream and appends the events that they complete to
 * the output.
 * @param Stream State to change.
 * @param Bytes Received bytes.
 * @param Out Complete events are appended.
 * @return Good, or why the stream cannot continue.
 */
EventStreamStatus appendCompleteEvents(EventStream &Stream,
                                       std::string_view Bytes,
                                       std::string &Out);

/**
 * Discards the start of an event that will not be completed.
 * @param Stream State to change.
 */
void dropPartialEvent(EventStream &Stream);

} // namespace jacinthpond

#endif

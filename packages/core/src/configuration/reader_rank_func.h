/** @file reader_rank_func.h Who reads the configuration service, and when. */

#ifndef JACINTHPOND_CORE_READER_RANK_FUNC_H
#define JACINTHPOND_CORE_READER_RANK_FUNC_H

#include "configuration/config_view_type.h"
#include "configuration/reader_rank_type.h"
#include "membership/membership_type.h"

namespace jacinthpond {

/** Entries of a domain that read the service at the same time. */
constexpr size_t ReadersPerDomain = 2;

/**
 * Orders the entries of a domain by their rank as readers.
 * @param Entries All entries.
 * @param Domain The domain.
 * @return Names, first rank first.
 */
std::vector<HostName> readerOrder(const std::vector<EntryHost> &Entries,
                                  const DomainName &Domain);

/**
 * Says whether this entry reads the service: it is among the first ranks that
 * are heard of, or has no fresh view and needs the service for it.
 * @param View The configuration.
 * @param Fleet The state.
 * @return True for a reader.
 */
bool isReader(const ConfigView &View, const Membership &Fleet);

/**
 * Decides on the next read.
 * @param View The configuration.
 * @param Fleet The state.
 * @param Salt Varies the jitter.
 * @return What to do.
 */
ReadTurn nextRead(const ConfigView &View, const Membership &Fleet,
                  uint64_t Salt);

/**
 * A read ended: counts for contact, join and back-off.
 * @param Fleet State to change.
 * @param Answered False when the service gave no answer.
 * @param Useful False when its answer cannot come into force.
 * @param Began When the read began.
 * @param Now Current time.
 */
void readEnded(Membership &Fleet, bool Answered, bool Useful, TimePoint Began,
               TimePoint Now);

} // namespace jacinthpond

#endif

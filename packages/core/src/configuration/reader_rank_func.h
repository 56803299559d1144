/** @file reader_rank_func.h Decides who reads the configuration service. */

#ifndef JACINTHPOND_CORE_READER_RANK_FUNC_H
#define JACINTHPOND_CORE_READER_RANK_FUNC_H

#include "configuration/config_view_type.h"
#include "configuration/reader_rank_type.h"
#include "membership/membership_type.h"

namespace jacinthpond {

/** Entries of a domain that read the configuration service concurrently. */
constexpr size_t ReadersPerDomain = 2;

/**
 * Ranks the entries of a domain as readers, by rendezvous hashing.
 * @param Entries All entries.
 * @param Domain The domain.
 * @return Their names, in order of rank.
 */
std::vector<HostName> readerOrder(const std::vector<EntryHost> &Entries,
                                  const DomainName &Domain);

/**
 * Says whether this entry is to read the configuration service: it is among the
 * first ranks of its domain that the service answers, has no fresh view, or the
 * service answers no linked entry.
 * @param View The configuration.
 * @param Fleet The state.
 * @return True when it is a reader.
 */
bool isReader(const ConfigView &View, const Membership &Fleet);

/**
 * Decides when and how this entry reads the configuration service next.
 * @param View The configuration.
 * @param Fleet The state.
 * @param Salt Varies the jitter.
 * @return The next read, or the wait until the next decision.
 */
ReadPlan nextRead(const ConfigView &View, const Membership &Fleet,
                  uint64_t Salt);

/**
 * Records the result of a read, for contact, join and back-off.
 * @param Fleet State to change.
 * @param Answered Whether the service answered.
 * @param Useful Whether its answer is in force or can come into force.
 * @param Began When the read began.
 * @param Now Current time.
 */
void recordReadResult(Membership &Fleet, bool Answered, bool Useful,
                      TimePoint Began, TimePoint Now);

} // namespace jacinthpond

#endif

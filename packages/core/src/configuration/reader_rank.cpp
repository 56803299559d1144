/** @file reader_rank.cpp Decides who reads the configuration service. */

#include "configuration/reader_rank_func.h"

#include "base/hash_func.h"
#include "configuration/config_view_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "membership/roster_func.h"

#include <algorithm>
#include <string>

namespace jacinthpond {

namespace {

/** Longest time that a read asks the service to wait for a new document. */
constexpr Millis MaxWatchWait{2000};
/** Period at which an entry that is no reader checks whether it became one. */
constexpr Millis RecheckPeriod{200};
/** Wait after an answer of the service, so that changes published meanwhile are
 * read together; short against the seconds in which they must be in force. */
constexpr Millis BatchDelay{120};
/** Shortest mean wait after a read without a usable answer, and how often it
 * doubles. */
constexpr Millis MinBackoff{250};
constexpr uint32_t MaxBackoffShift = 4;

/** Gives the wait after repeated failures: 50% to 150% of a doubling mean. */
Millis backoff(uint32_t Failures, uint64_t Random) {
  if (Failures == 0)
    return Millis{0};
  const Millis Mean =
      MinBackoff * (int64_t{1} << std::min(Failures - 1, MaxBackoffShift));
  return Mean / 2 + Millis(static_cast<int64_t>(
                        Random % static_cast<uint64_t>(Mean.count())));
}

} // namespace

std::vector<HostName> readerOrder(const std::vector<EntryHost> &Entries,
                                  const DomainName &Domain) {
  std::vector<HostName> Names;
  for (const EntryHost &Host : Entries)
    if (Host.Domain == Domain)
      Names.push_back(Host.Name);
  return rendezvousOrder("readers/" + Domain.Value, std::move(Names));
}

bool isReader(const ConfigView &View, const Membership &Fleet) {
  if (!View.InForce || !isViewFresh(Fleet))
    return true;
  // When no linked entry is answered, the present readers may be cut off from
  // the service or rejected by it.
  if (!isServiceAnswering(Fleet, Fleet.LastTick))
    return true;
  size_t HigherRanked = 0;
  const std::vector<EntryHost> All = knownEntries(View.InForce.get(), Fleet);
  for (const HostName &Name : readerOrder(All, Fleet.Self.Domain)) {
    if (Name == Fleet.Self.Name)
      break;
    const PeerLink *Peer = readyLink(Fleet, Name);
    // A reader that backs off or is rejected by the service reads nothing and
    // doesn't count. So whichever entry is answered first after an outage goes
    // on reading until the others are answered as well.
    if (Peer != nullptr && !Peer->Leaving && Peer->Service)
      ++HigherRanked;
  }
  return HigherRanked < ReadersPerDomain;
}

ReadPlan nextRead(const ConfigView &View, const Membership &Fleet,
                  uint64_t Salt) {
  ReadPlan Turn;
  Turn.Reader = isReader(View, Fleet);
  Turn.After = versionInForce(View);
  Turn.InForce = digestInForce(View);
  if (!Turn.Reader) {
    Turn.Delay = RecheckPeriod;
    return Turn;
  }
  const uint64_t Random =
      rendezvousScore(Fleet.Self.Name.Value, std::to_string(Salt));
  // Servers tend to register and load at the same time: changes published in
  // short succession are read, and distributed to the fleet, together.
  Turn.Delay = Fleet.Joining.ReadFailures > 0
                   ? backoff(Fleet.Joining.ReadFailures, Random)
                   : BatchDelay;
  if (!Fleet.Joining.ServiceAnswered && Fleet.Joining.ReadFailures == 0)
    Turn.Delay = Millis{0};
  // The first read of a join must not wait for a new document; later ones must
  // be answered well within CutOff, after which the service counts as silent.
  if (Fleet.Joining.ServiceAnswered)
    Turn.Wait = std::min(MaxWatchWait, Fleet.Times.CutOff / 2);
  return Turn;
}

void recordReadResult(Membership &Fleet, bool Answered, bool Useful,
                      TimePoint Began, TimePoint Now) {
  Join &Joining = Fleet.Joining;
  // A service that has gone back to an older version or holds an invalid
  // document answers every read at once: without back-off, its readers would
  // use up the request rate allowed to the whole fleet.
  Joining.ReadFailures = Answered && Useful ? 0 : Joining.ReadFailures + 1;
  if (!Answered)
    return;
  // An answer to a read that began before a pause may have waited in the socket
  // while the service went down, so it shows no contact.
  if (Began < Joining.Since)
    return;
  Joining.LastServiceAnswerAt = Now;
  Joining.ServiceAnswered = true;
}

} // namespace jacinthpond

/** @file reader_rank.cpp Who reads the configuration service, and when. */

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

/** Longest wait of one watch. */
constexpr Millis MaxWatch{2000};
/** Time between two looks of an entry that is no reader. */
constexpr Millis LookPeriod{200};
/** Time for which changes are gathered after the service has answered; small
 * against the seconds in which a change has to be in force. */
constexpr Millis GatherTime{120};
/** Shortest and longest mean wait after a read that brought nothing. */
constexpr Millis MinBackoff{250};
constexpr uint32_t MaxBackoffShift = 4;

/** Wait after failures in a row: 50% to 150% of a doubling mean. */
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
  if (!View.InForce || !viewIsFresh(Fleet))
    return true;
  // Where nobody in view is answered, it may be those that read who are cut off
  // from the service, or turned away by it.
  if (!anybodyAnswered(Fleet, Fleet.LastTick))
    return true;
  size_t Before = 0;
  const std::vector<EntryHost> All = knownEntries(View.InForce.get(), Fleet);
  for (const HostName &Name : readerOrder(All, Fleet.Self.Domain)) {
    if (Name == Fleet.Self.Name)
      break;
    const PeerLink *Peer = readyLink(Fleet, Name);
    // One that waits after failures, or is turned away, reads nothing: when the
    // service answers again, whoever is answered first reads on until they do.
    if (Peer != nullptr && !Peer->Leaving && Peer->Service)
      ++Before;
  }
  return Before < ReadersPerDomain;
}

ReadTurn nextRead(const ConfigView &View, const Membership &Fleet,
                  uint64_t Salt) {
  ReadTurn Turn;
  Turn.Reader = isReader(View, Fleet);
  Turn.After = versionInForce(View);
  Turn.InForce = digestInForce(View);
  if (!Turn.Reader) {
    Turn.Delay = LookPeriod;
    return Turn;
  }
  const uint64_t Random =
      rendezvousScore(Fleet.Self.Name.Value, std::to_string(Salt));
  // Servers register and load in crowds: what is published within a moment is
  // read, and told to the whole fleet, together.
  Turn.Delay = Fleet.Joining.ReadFailures > 0
                   ? backoff(Fleet.Joining.ReadFailures, Random)
                   : GatherTime;
  if (!Fleet.Joining.ServiceAnswered && Fleet.Joining.ReadFailures == 0)
    Turn.Delay = Millis{0};
  // The first read of a join must not wait for news; later ones must be
  // answered well within the time after which a silent service counts.
  if (Fleet.Joining.ServiceAnswered)
    Turn.Wait = std::min(MaxWatch, Fleet.Times.CutOff / 2);
  return Turn;
}

void readEnded(Membership &Fleet, bool Answered, bool Useful, TimePoint Began,
               TimePoint Now) {
  Join &Joining = Fleet.Joining;
  // A service that went back to an older version, or holds an invalid
  // document, answers every watch at once: without back-off its readers would
  // use up the rate of the whole fleet.
  Joining.ReadFailures = Answered && Useful ? 0 : Joining.ReadFailures + 1;
  if (!Answered)
    return;
  // An answer to a read begun before a pause tells of the time before it: it
  // may have waited here while the service went away.
  if (Began < Joining.Since)
    return;
  Joining.ServiceHeard = Now;
  Joining.ServiceAnswered = true;
}

} // namespace jacinthpond

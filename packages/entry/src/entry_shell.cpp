/** @file entry_shell.cpp The entry program: threads around its decisions. */

#include "entry_shell.h"

#include "admission/quarantine_func.h"
#include "base/overloaded.h"
#include "configuration/reader_rank_func.h"
#include "log/log.h"
#include "settings/settings_func.h"
#include "threads/process.h"

#include <future>
#include <utility>

namespace jacinthpond {

namespace {

/** Time between two looks at the clock. */
constexpr Millis TickPeriod{50};
/** Time between two looks whether a wait for the control thread is in vain. */
constexpr Millis TurnPoll{100};
/** Time between two readings of the list of hosts. */
constexpr Millis HostsPeriod{1000};
/** Longest wait for callers to take the error that cuts them off. */
constexpr Millis LastAnswerWait{1000};
/** Time between two looks at the requests in progress while draining. */
constexpr Millis DrainPoll{20};
/** Part of the grace time that is kept for ending, before the process is
 * killed. */
constexpr Millis EndMargin{600};

} // namespace

EntryShell::EntryShell(const Settings &Config, ConfigPort &Service,
                       HostsPort *Hosts, Forwarder *Routes)
    : Loop(Clock),
      State(makeEntry(Config, Incarnation{randomIncarnation()}, Clock.now())),
      Service(Service), Hosts(Hosts), Routes(Routes),
      Links({[this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 entryLinkOpened(State, Link, Now, Out);
               });
             },
             [this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 entryLinkClosed(State, Link, Now, Out);
               });
             },
             [this](LinkId Link, Message m) {
               if (const auto *Answer = std::get_if<PlaceAnswer>(&m)) {
                 if (this->Routes != nullptr)
                   this->Routes->placeAnswered(Link, *Answer);
                 return;
               }
               if (std::holds_alternative<Pong>(m)) {
                 if (this->Routes != nullptr)
                   this->Routes->hostAnswered(Link);
                 return;
               }
               if (const auto *Heard = std::get_if<RateHeard>(&m)) {
                 if (this->Routes != nullptr)
                   this->Routes->rateTold(*Heard);
                 return;
               }
               post([this, Link, Kept = std::move(m)](TimePoint Now,
                                                      Effects &Out) {
                 entryMessage(State, Link, Kept, Now, Out);
               });
             },
             [this](LinkId Link, const Failure &Why) {
               // What the frame said is lost, so both ends start anew.
               logLine(LogPart::Links, LogLevel::Warn,
                       "Unreadable frame; link dropped: " + Why.Detail);
               Links.close(Link);
               post([this, Link](TimePoint Now, Effects &Out) {
                 entryLinkClosed(State, Link, Now, Out);
               });
             }}) {
  if (Routes != nullptr)
    Routes->sendThrough(
        [this](LinkId Link, const Message &m) { Links.send(Link, m); },
        [this](const Message &m) {
          post([this, m](TimePoint, Effects &Out) {
            spreadNotice(State.Fleet, m, Role::Entry, Out);
          });
        });
}

EntryShell::~EntryShell() {
  {
    const std::lock_guard Lock(EndGuard);
    Ending = true;
  }
  EndNow.notify_all();
  Loop.stop();
  if (Control.joinable())
    Control.join();
  if (Reader.joinable())
    Reader.join();
  if (HostsReader.joinable())
    HostsReader.join();
}

std::string EntryShell::start() {
  const std::string At = Links.listen(State.Config.PeerListen);
  if (At.empty())
    return At;
  Control = std::thread([this] {
    Loop.run(TickPeriod, [this](TimePoint Now) {
      Effects Out;
      entryTick(State, Now, Out);
      showDocument();
      tellRoutes(Now);
      perform(std::move(Out));
    });
  });
  Reader = std::thread([this] { readConfig(); });
  if (Hosts != nullptr)
    HostsReader = std::thread([this] { readHosts(); });
  return At;
}

void EntryShell::post(std::function<void(TimePoint, Effects &)> Work) {
  Loop.post([this, Kept = std::move(Work)](TimePoint Now) {
    Effects Out;
    Kept(Now, Out);
    showDocument();
    perform(std::move(Out));
  });
}

void EntryShell::showDocument() {
  const std::lock_guard Lock(ShownGuard);
  if (Shown == State.View.InForce)
    return;
  Shown = State.View.InForce;
  if (Routes != nullptr)
    Routes->follow(Shown, State.View.PublishedAfter);
}

/** Agents' words are gathered for a tick: each would wake the traffic thread.
 */
void EntryShell::tellRoutes(TimePoint Now) {
  if (Routes == nullptr)
    return;
  std::vector<AgentNews> News = newsOfAgents(State, ToldAgents);
  if (!News.empty())
    Routes->told(std::move(News));
  FleetSnapshot Fleet = fleetSnapshot(State, Now);
  if (Fleet == ToldFleet)
    return;
  ToldFleet = Fleet;
  Routes->fleet(std::move(Fleet));
}

size_t EntryShell::openRequests() {
  return Callers.size() + (Routes == nullptr ? 0 : Routes->open());
}

DocumentPtr EntryShell::document() {
  const std::lock_guard Lock(ShownGuard);
  return Shown;
}

void EntryShell::perform(Effects Todo) {
  for (Effect &One : Todo)
    std::visit(
        Overloaded{
            [this](const OpenLink &e) { Links.open(e.Link, e.To); },
            [this](const CloseLink &e) { Links.close(e.Link); },
            [this](const SendMessage &e) { Links.send(e.Link, e.Content); },
            [this](CallPart &e) { Callers.push(std::move(e)); },
            [this](CallEnd &e) { Callers.push(std::move(e)); },
            [this](CallError &e) { Callers.push(std::move(e)); },
            [](const LogNote &e) { logLine(e.Part, e.Level, e.Text); },
            [](const auto &) {
              // Effects of agents; an entry has none of them.
            }},
        One);
}

bool EntryShell::waitUnlessEnding(Millis Time) {
  std::unique_lock Lock(EndGuard);
  return !EndNow.wait_for(Lock, Time, [this] { return Ending.load(); });
}

std::optional<ReadTurn> EntryShell::askForTurn(uint64_t Salt) {
  const auto Told = std::make_shared<std::promise<ReadTurn>>();
  Loop.post([this, Told, Salt](TimePoint) {
    Told->set_value(nextRead(State.View, State.Fleet, Salt));
  });
  auto Turn = Told->get_future();
  // A loop that is ending never answers.
  while (Turn.wait_for(TurnPoll) != std::future_status::ready)
    if (Ending)
      return std::nullopt;
  return Turn.get();
}

void EntryShell::readConfig() {
  for (uint64_t n = 0; !Ending; ++n) {
    const auto Turn = askForTurn(n);
    if (!Turn || !waitUnlessEnding(Turn->Delay))
      return;
    if (!Turn->Reader)
      continue;
    const TimePoint Began = Clock.now();
    const Outcome<std::string> Read = outcomeOf(
        [&] { return Service.watch(Turn->After, Turn->InForce, Turn->Wait); });
    post([this, Read, Began](TimePoint Now, Effects &Out) {
      entryConfigRead(State, Read, Began, Now, Out);
    });
  }
}

void EntryShell::readHosts() {
  std::vector<HostName> Leaving;
  for (uint64_t n = 0; waitUnlessEnding(HostsPeriod); ++n) {
    const auto Turn = askForTurn(n);
    if (!Turn)
      return;
    if (!Turn->Reader) {
      Leaving.clear();
      continue;
    }
    const Outcome<HostStates> Read = outcomeOf([&] { return Hosts->hosts(); });
    if (Read.Value) {
      Leaving.clear();
      for (const auto &[Host, State] : *Read.Value)
        if (State == HostState::Leaving)
          Leaving.push_back(Host);
    }
    // While the list is silent its last answer stands: a host that was
    // leaving does not stay.
    post([this, Leaving](TimePoint Now, Effects &Out) {
      entryHostsRead(State, Leaving, Now, Out);
    });
  }
}

std::shared_ptr<CallChannel> EntryShell::call(CallRequest &Asked) {
  auto Channel = Callers.open(Asked.Call);
  post([this, Asked](TimePoint Now, Effects &Out) {
    entryCall(State, Asked, Now, Out);
  });
  return Channel;
}

void EntryShell::done(CallId Id, bool Finished) {
  Callers.close(Id);
  if (!Finished)
    post(
        [this, Id](TimePoint, Effects &Out) { entryCallGone(State, Id, Out); });
}

void EntryShell::inspect(
    const std::function<void(const EntryState &, TimePoint)> &Look) {
  Loop.postAndWait([&](TimePoint Now) { Look(State, Now); });
}

bool EntryShell::waitAnswered(TimePoint NotBefore, TimePoint Limit) {
  while (Clock.now() < Limit && (openRequests() > 0 || Clock.now() < NotBefore))
    std::this_thread::sleep_for(DrainPoll);
  return openRequests() == 0;
}

bool EntryShell::drain() {
  Leaving = true;
  if (Routes != nullptr)
    Routes->leave();
  const TimePoint Begin = Clock.now();
  const Millis Longest = shutdownTime(State.Config, EndMargin);
  const TimePoint Limit = Begin + Longest;
  // A channel is closed when its answer was written to the caller's socket,
  // later than the last event of the call. Until callers on kept connections
  // were told, the listener stays: a connection that it had taken would be
  // cut with the request of a caller in it.
  const Millis Notice =
      std::min(Millis(State.Config.LeaveNoticeMillis), Longest * 3 / 4);
  post([this, Notice](TimePoint Now, Effects &Out) {
    entryStop(State, Now, Notice, Out);
  });
  // What comes in the last part could not be answered before the end.
  if (Routes != nullptr) {
    waitAnswered(Begin + Notice / 2, Begin + Notice / 2);
    Routes->refuseNew();
  }
  if (waitAnswered(Begin + Notice, Limit))
    return true;
  logLine(LogPart::Main, LogLevel::Error,
          "Shutdown cut off " + std::to_string(openRequests()) + " requests.");
  post([this](TimePoint, Effects &Out) { entryCutOff(State, Out); });
  waitAnswered(Begin, Clock.now() + LastAnswerWait);
  return false;
}

} // namespace jacinthpond

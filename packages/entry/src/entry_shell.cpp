/** @file entry_shell.cpp Threads and links of an entry process. */

#include "entry_shell.h"

#include "admission/quarantine_func.h"
#include "base/overloaded.h"
#include "configuration/reader_rank_func.h"
#include "log/log.h"
#include "settings/resource_shares_func.h"
#include "settings/settings_func.h"
#include "threads/process.h"

#include <future>
#include <utility>

namespace jacinthpond {

namespace {

/** Time between two ticks of the control thread. */
constexpr Millis TickPeriod{50};
/** Period at which a wait for the control thread checks whether to stop. */
constexpr Millis PlanPoll{100};
/** Time between two reads of the list of hosts. */
constexpr Millis HostsPeriod{1000};
/** Longest wait for callers to receive the error that ends their calls when a
 * shutdown reaches its time limit. */
constexpr Millis LastErrorWait{1000};
/** Period at which a shutdown checks the number of open requests. */
constexpr Millis DrainPoll{20};
/** Part of the grace period that is reserved for the process to exit, before
 * the platform kills it. */
constexpr Millis EndMargin{600};

} // namespace

EntryShell::EntryShell(const Settings &Config, ConfigPort &Service,
                       HostsPort *Hosts, Forwarder *Routes)
    : Loop(Clock),
      State(makeEntry(Config, Incarnation{randomIncarnation()}, Clock.now())),
      Service(Service), Hosts(Hosts), Routes(Routes),
      Links({[this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 handleEntryLinkOpened(State, Link, Now, Out);
               });
             },
             [this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 handleEntryLinkClosed(State, Link, Now, Out);
               });
             },
             [this](LinkId Link, Message m) {
               if (const auto *Answer = std::get_if<SlotAnswer>(&m)) {
                 if (this->Routes != nullptr)
                   this->Routes->handleSlotAnswer(Link, *Answer);
                 return;
               }
               if (std::holds_alternative<Pong>(m)) {
                 if (this->Routes != nullptr)
                   this->Routes->handlePong(Link);
                 return;
               }
               if (const auto *RateNotice = std::get_if<RateLimitNotice>(&m)) {
                 if (this->Routes != nullptr)
                   this->Routes->handleRateNotice(*RateNotice);
                 return;
               }
               if (const auto *Server = std::get_if<ServerLeavingNotice>(&m)) {
                 if (this->Routes != nullptr)
                   this->Routes->handleServerLeaving(*Server);
                 return;
               }
               if (const auto *Suspect = std::get_if<SuspectNotice>(&m))
                 if (this->Routes != nullptr)
                   this->Routes->handleSuspectNotice(*Suspect);
               post([this, Link, Kept = std::move(m)](TimePoint Now,
                                                      Effects &Out) {
                 handleEntryMessage(State, Link, Kept, Now, Out);
               });
             },
             [this](LinkId Link, const Failure &Why) {
               // The content of the frame is lost, so the link is closed and
               // both ends reconnect.
               logLine(LogPart::Links, LogLevel::Warn,
                       "Closing link after an unreadable frame: " + Why.Detail);
               Links.close(Link);
               post([this, Link](TimePoint Now, Effects &Out) {
                 handleEntryLinkClosed(State, Link, Now, Out);
               });
             }},
            resourceShares(Config, descriptorLimit()).UnidentifiedLinks) {
  if (Routes != nullptr)
    Routes->setSenders(
        [this](LinkId Link, const Message &m) { Links.send(Link, m); },
        [this](const Message &m) {
          post([this, m](TimePoint, Effects &Out) {
            broadcastNotice(State.Fleet, m, Role::Entry, Out);
          });
        },
        [this](const SuspectNotice &m) {
          post([this, m](TimePoint Now, Effects &Out) {
            // Agents keep it for entries that start when all others have ended.
            publishSuspectNotice(State.Suspects, m, State.Fleet, Now, Out);
          });
        });
}

EntryShell::~EntryShell() {
  {
    const std::lock_guard Lock(StopGuard);
    StopThreads = true;
  }
  StopRequested.notify_all();
  Loop.stop();
  if (Control.joinable())
    Control.join();
  if (ConfigReader.joinable())
    ConfigReader.join();
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
      handleEntryTick(State, Now, Out);
      updateSharedDocument();
      updateForwarder(Now);
      performEffects(std::move(Out));
    });
  });
  ConfigReader = std::thread([this] { runConfigReader(); });
  if (Hosts != nullptr)
    HostsReader = std::thread([this] { runHostsReader(); });
  return At;
}

void EntryShell::post(std::function<void(TimePoint, Effects &)> Work) {
  Loop.post([this, Kept = std::move(Work)](TimePoint Now) {
    Effects Out;
    Kept(Now, Out);
    updateSharedDocument();
    performEffects(std::move(Out));
  });
}

void EntryShell::updateSharedDocument() {
  const std::lock_guard Lock(SharedDocumentGuard);
  if (SharedDocument == State.View.InForce)
    return;
  SharedDocument = State.View.InForce;
  if (Routes != nullptr)
    Routes->setDocument(SharedDocument, State.View.PublishedAfter);
}

void EntryShell::updateForwarder(TimePoint Now) {
  if (Routes == nullptr)
    return;
  std::vector<AgentReport> Reports =
      collectAgentReports(State, LastAgentReports);
  if (!Reports.empty())
    Routes->handleAgentReports(std::move(Reports));
  FleetSnapshot Fleet = fleetSnapshot(State, Now);
  if (Fleet == LastFleet)
    return;
  LastFleet = Fleet;
  Routes->setFleet(std::move(Fleet));
}

size_t EntryShell::countOpenRequests() {
  return Callers.size() + (Routes == nullptr ? 0 : Routes->countOpenRequests());
}

DocumentPtr EntryShell::document() {
  const std::lock_guard Lock(SharedDocumentGuard);
  return SharedDocument;
}

void EntryShell::performEffects(Effects Wanted) {
  for (Effect &One : Wanted)
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
              // Effects that only agents have.
            }},
        One);
}

bool EntryShell::waitUnlessStopped(Millis Time) {
  std::unique_lock Lock(StopGuard);
  return !StopRequested.wait_for(Lock, Time,
                                 [this] { return StopThreads.load(); });
}

std::optional<ReadPlan> EntryShell::planNextRead(uint64_t Salt) {
  const auto Promise = std::make_shared<std::promise<ReadPlan>>();
  Loop.post([this, Promise, Salt](TimePoint) {
    Promise->set_value(nextRead(State.View, State.Fleet, Salt));
  });
  auto Plan = Promise->get_future();
  // A loop that has stopped never runs the task.
  while (Plan.wait_for(PlanPoll) != std::future_status::ready)
    if (StopThreads)
      return std::nullopt;
  return Plan.get();
}

void EntryShell::runConfigReader() {
  for (uint64_t n = 0; !StopThreads; ++n) {
    const auto Plan = planNextRead(n);
    if (!Plan || !waitUnlessStopped(Plan->Delay))
      return;
    if (!Plan->Reader)
      continue;
    const TimePoint ReadStart = Clock.now();
    const Outcome<std::string> Read = outcomeOf(
        [&] { return Service.watch(Plan->After, Plan->InForce, Plan->Wait); });
    post([this, Read, ReadStart, LeftOut = Service.leftOut()](TimePoint Now,
                                                              Effects &Out) {
      handleEntryConfigRead(State, Read, ReadStart, Now, Out);
      recordLeftOutParts(State, LeftOut, Out);
    });
  }
}

void EntryShell::runHostsReader() {
  std::vector<HostName> Leaving;
  for (uint64_t n = 0; waitUnlessStopped(HostsPeriod); ++n) {
    const auto Plan = planNextRead(n);
    if (!Plan)
      return;
    if (!Plan->Reader) {
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
    // After a failed read the last list is kept: a host that is leaving stays
    // so.
    post([this, Leaving](TimePoint Now, Effects &Out) {
      handleEntryHostList(State, Leaving, Now, Out);
    });
  }
}

std::shared_ptr<CallChannel> EntryShell::submitCall(CallRequest &Request) {
  auto Channel = Callers.open(Request.Call);
  post([this, Request](TimePoint Now, Effects &Out) {
    startCall(State, Request, Now, Out);
  });
  return Channel;
}

void EntryShell::finishCall(CallId Id, bool Finished) {
  Callers.close(Id);
  if (!Finished)
    post([this, Id](TimePoint, Effects &Out) { cancelCall(State, Id, Out); });
}

void EntryShell::inspect(
    const std::function<void(const EntryState &, TimePoint)> &Inspector) {
  Loop.postAndWait([&](TimePoint Now) { Inspector(State, Now); });
}

bool EntryShell::waitForOpenRequests(TimePoint NotBefore, TimePoint Limit) {
  while (Clock.now() < Limit &&
         (countOpenRequests() > 0 || Clock.now() < NotBefore))
    std::this_thread::sleep_for(DrainPoll);
  return countOpenRequests() == 0;
}

bool EntryShell::drain() {
  Leaving = true;
  if (Routes != nullptr)
    Routes->beginLeaving();
  const TimePoint StartTime = Clock.now();
  const Millis TimeLimit = maxShutdownTime(State.Config, EndMargin);
  const TimePoint Limit = StartTime + TimeLimit;
  // A channel is closed only once its answer was written to the caller's
  // socket, which is later than the last event of the call. The listener stays
  // open until callers on persistent connections were told to close them:
  // otherwise accepted connections would be cut with requests in them.
  const Millis Notice =
      std::min(Millis(State.Config.LeaveNoticeMillis), TimeLimit * 3 / 4);
  post([this, Notice](TimePoint Now, Effects &Out) {
    beginEntryShutdown(State, Now, Notice, Out);
  });
  // Requests that arrive in the second half of the notice period might not be
  // answered before the process ends, so they are refused as not run.
  if (Routes != nullptr) {
    waitForOpenRequests(StartTime + Notice / 2, StartTime + Notice / 2);
    Routes->refuseNewRequests();
  }
  if (waitForOpenRequests(StartTime + Notice, Limit))
    return true;
  logLine(LogPart::Main, LogLevel::Error,
          "Shutdown cut off " + std::to_string(countOpenRequests()) +
              " requests.");
  post([this](TimePoint, Effects &Out) { endAllCalls(State, Out); });
  waitForOpenRequests(StartTime, Clock.now() + LastErrorWait);
  return false;
}

} // namespace jacinthpond

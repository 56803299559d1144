/** @file route_callers.cpp Callers of routes that remember what they saw. */

#include "chaos/route_callers.h"

#include <algorithm>
#include <functional>
#include <random>

namespace jacinthpond::chaos {

using namespace std::chrono_literals;

namespace {

/** Threads of each kind of caller. */
constexpr size_t ThreadsEach = 3;
/** Tries of one booking or stream. */
constexpr int MaxTries = 5;
/** Bounds of a request's time. */
constexpr int MinDeadlineMillis = 500;
constexpr int MaxDeadlineMillis = 3500;
/** How long a caller waits beyond that, to see how late an answer is. */
constexpr auto Patience = 2s;
constexpr auto ConnectLimit = 1s;
/** Longest pause that a caller makes when told to come back later. */
constexpr double MaxPauseSeconds = 0.2;
/** Pause between two pieces of work of a caller. */
constexpr int MaxIdleMillis = 60;

void pauseAfter(const httplib::Response &Got) {
  const double Wanted = std::atof(Got.get_header_value("Retry-After").c_str());
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::clamp(Wanted, 0.01, MaxPauseSeconds)));
}

/** Parts of a sound prompt: one of all, one of few, and its own. */
std::string partsOf(const std::string &Work) {
  constexpr size_t Few = 5;
  const size_t Hash = std::hash<std::string>{}(Work);
  return "a1:40,b" + std::to_string(Hash % Few) + ":100,c" +
         std::to_string(Hash) + ":50";
}

} // namespace

struct RouteCallers::Caller {
  std::string Name;
  std::mt19937_64 Random;
  uint64_t Attempts = 0;
  uint64_t Works = 0;
  std::map<size_t, std::unique_ptr<httplib::Client>> Kept;

  std::string newWork() { return Name + "-" + std::to_string(++Works); }
  std::string pickKey() {
    static const std::vector<std::string> Keys = {"key-1", "key-1", "key-2",
                                                  "key-3"};
    return Keys[Random() % Keys.size()];
  }
};

RouteCallers::RouteCallers(std::vector<std::string> At, uint64_t Seed,
                           RouteLedger &Into, CrashAsk Crashing, size_t Writers)
    : Entries(std::move(At)), Seen(Into) {
  const auto Start = [&](char Kind, size_t n,
                         void (RouteCallers::*Work)(Caller &)) {
    const std::string Name = std::string(1, Kind) + std::to_string(n);
    const uint64_t Own = Seed * 1000 + n * 3 + static_cast<uint64_t>(Kind);
    Threads.emplace_back([=, this] {
      Caller Self{Name, std::mt19937_64(Own), 0, 0, {}};
      while (!Stop) {
        (this->*Work)(Self);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(Self.Random() % MaxIdleMillis));
      }
    });
  };
  for (size_t n = 0; n < ThreadsEach; ++n) {
    Start('r', n, &RouteCallers::read);
    Start('b', n, &RouteCallers::book);
  }
  if (Crashing == CrashAsk::Copies)
    Start('c', 0, &RouteCallers::crash);
  if (Crashing == CrashAsk::Parts)
    Start('c', 0, &RouteCallers::crashByPart);
  for (size_t n = 0; n < Writers; ++n)
    Start('w', n, &RouteCallers::write);
}

RouteCallers::~RouteCallers() {
  Stop = true;
  for (std::thread &One : Threads)
    One.join();
}

Exchange RouteCallers::ask(Caller &Self, Exchange What) {
  What.Entry = Self.Random() % Entries.size();
  What.Attempt = Self.Name + "/" + std::to_string(++Self.Attempts);
  What.DeadlineMillis =
      MinDeadlineMillis +
      static_cast<int>(Self.Random() % (MaxDeadlineMillis - MinDeadlineMillis));
  auto &Client = Self.Kept[What.Entry];
  if (!Client) {
    Client = std::make_unique<httplib::Client>("http://" + Entries[What.Entry]);
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
    Client->set_connection_timeout(ConnectLimit);
  }
  Client->set_read_timeout(std::chrono::milliseconds(What.DeadlineMillis) +
                           Patience);
  httplib::Request Sent;
  Sent.method = What.Method;
  Sent.path = What.Path;
  Sent.body = What.Body;
  Sent.headers = {{"Host", "h.example"},
                  {"Authorization", "Bearer " + What.Key},
                  {"X-Jacinthpond-Attempt-Id", What.Attempt},
                  {"X-Jacinthpond-Deadline-Remaining-Ms",
                   std::to_string(What.DeadlineMillis)}};
  if (!What.Parts.empty())
    Sent.set_header("X-Jacinthpond-Prompt-Prefix", What.Parts);
  if (What.After > 0)
    Sent.set_header("Last-Event-Id", std::to_string(What.After));
  httplib::Response Head;
  Sent.response_handler = [&](const httplib::Response &Came) {
    Head = Came;
    return true;
  };
  Sent.content_receiver = [&](const char *Data, size_t n, uint64_t, uint64_t) {
    What.Text.append(Data, n);
    return true;
  };
  What.Sent = Moment::clock::now();
  {
    const std::lock_guard Lock(Seen.Guard);
    Seen.All[What.Attempt] = What;
  }
  const httplib::Result Got = Client->send(Sent);
  What.End = Moment::clock::now();
  What.Over = true;
  What.Whole = Got.error() == httplib::Error::Success;
  What.Status = std::max(Head.status, 0);
  What.Signature = Head.get_header_value("X-Jacinthpond-Response-Signature");
  What.Answers = Head.get_header_value("X-Jacinthpond-Attempt-Id");
  What.Version = Head.get_header_value("X-Jacinthpond-Weight-Versions");
  {
    const std::lock_guard Lock(Seen.Guard);
    Seen.All[What.Attempt] = What;
    Seen.Fresh.push_back(What.Attempt);
  }
  if (!What.Whole || What.Status != 200)
    pauseAfter(Head);
  return What;
}

void RouteCallers::read(Caller &Self) {
  Exchange What;
  const bool Posted = Self.Random() % 2 == 0;
  const std::string Work = Self.newWork();
  What.Method = Posted ? "POST" : "GET";
  What.Path = (Self.Random() % 4 == 0 ? "/extra/" : "/read/") + Work;
  What.Body = Posted ? "list " + Work : "";
  What.Key = Self.pickKey();
  ask(Self, What);
}

void RouteCallers::book(Caller &Self) {
  Exchange What;
  const std::string Work = Self.newWork();
  What.Method = "POST";
  What.Path = "/book/" + Work;
  What.Body = "slot " + Work;
  What.Key = Self.pickKey();
  for (int n = 0; n < MaxTries && !Stop; ++n)
    if (const Exchange Got = ask(Self, What); !Got.isPromise())
      return; // Done, or it may have run.
}

void RouteCallers::write(Caller &Self) {
  Exchange What;
  const std::string Work = Self.newWork();
  What.Method = "POST";
  What.Path = "/write/" + Work;
  What.Body = "prompt " + Work;
  What.Parts = partsOf(Work);
  What.Key = Self.pickKey();
  for (int n = 0; n < MaxTries && !Stop; ++n) {
    const Exchange Got = ask(Self, What);
    if (Got.Status == 200)
      What.After = lastEvent(Got.Text, What.After);
    const bool Refused = Got.Status == 401 || Got.Status == 404;
    if (What.After >= StreamEvents || (Got.Status == 200 && Got.Whole) ||
        Refused)
      return;
  }
}

void RouteCallers::crash(Caller &Self) {
  Exchange What;
  const bool Stream = Self.Random() % 2 == 0;
  What.Method = "POST";
  What.Path = std::string(Stream ? "/write/" : "/read/") + CrashSign;
  What.Body = "prompt";
  What.Key = Self.Random() % 2 == 0 ? "key-1" : "key-2"; // Of one tenant.
  ask(Self, What);
}

void RouteCallers::crashByPart(Caller &Self) {
  Exchange What;
  const bool Stream = Self.Random() % 2 == 0;
  const std::string Work = Self.newWork();
  What.Method = "POST";
  What.Path = std::string(Stream ? "/write/" : "/read/") + PartSign + Work;
  What.Body = "prompt " + Work;
  What.Parts = std::string("a1:40,") + CrashPart + ":800," + partsOf(Work);
  What.Key = Self.pickKey();
  ask(Self, What);
}

int lastEvent(const std::string &Text, int After) {
  const size_t End = Text.rfind("\n\n");
  if (End == std::string::npos)
    return After;
  const size_t Before =
      End == 0 ? std::string::npos : Text.rfind("\n\n", End - 1);
  const std::string Event =
      Text.substr(Before == std::string::npos ? 0 : Before + 2);
  const std::string Mark = "id: ";
  return Event.starts_with(Mark) ? std::atoi(Event.c_str() + Mark.size())
                                 : After;
}

} // namespace jacinthpond::chaos

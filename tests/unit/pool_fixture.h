/** @file pool_fixture.h Server pool for tests of the choice of back ends. */

#ifndef JACINTHPOND_TESTS_UNIT_POOL_FIXTURE_H
#define JACINTHPOND_TESTS_UNIT_POOL_FIXTURE_H

#include "forwarding/server_pool_func.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

/** A pool of three model workers and three plain back ends in two domains. */
struct PoolFixture {
  PoolFixture() {
    TestRoute.Target = Millis(400);
    TestRoute.Kind = RouteKind::Stream;
    Service Model;
    Model.Name.Value = "llm";
    Model.Model.Value = "m";
    Model.ColdPerSecond = 8;
    Service Plain;
    Plain.Name.Value = "plain";
    Doc.Services = {Model, Plain};
    for (int n = 0; n < 3; ++n) {
      Doc.Servers.push_back(server("m" + std::to_string(n), "llm", n, "m@1"));
      Doc.Servers.push_back(server("p" + std::to_string(n), "plain", n, ""));
    }
    setWantedVersion("1");
    State.Options.Domain.Value = "d0";
    publishDocument();
  }

  /** Makes a listed back end with four slots, in domain d0 for an even n, else
   * in d1. */
  static BackEndServer server(const std::string &Id, const std::string &Service,
                              int n, const std::string &Weights) {
    BackEndServer One;
    One.Id.Value = Id;
    One.Service.Value = Service;
    One.At.Value = Id + ":1";
    One.Domain.Value = "d" + std::to_string(n % 2);
    One.Slots = 4;
    One.Weights.Value = Weights;
    return One;
  }

  /** Sets the wanted weights version in the document that is applied next. */
  void setWantedVersion(const std::string &Version) {
    ModelVersion Wanted;
    Wanted.Name.Value = "m";
    Wanted.Version = Version;
    Wanted.Set.Value = "m@" + Version;
    Doc.Models = {Wanted};
  }

  /** Applies the document to the pool, as published now. */
  void publishDocument() { publishDocumentSince(Now); }

  /** Applies the document to the pool, as published after a time. */
  void publishDocumentSince(std::optional<TimePoint> PublishedAfter) {
    applyPoolDocument(State, std::make_shared<const Document>(Doc),
                      PublishedAfter, Now);
  }

  /** Gives what a request for a service needs. */
  ServerNeeds needs(const std::string &Service) const {
    ServerNeeds Needs;
    Needs.Service.Value = Service;
    Needs.MatchedRoute = &TestRoute;
    return Needs;
  }

  /** Gives the instance that a request for a service gets; empty: none. */
  std::string choose(const std::string &Service) {
    return chooseInstance(needs(Service));
  }

  /** Gives the instance that is chosen; empty: none. */
  std::string chooseInstance(const ServerNeeds &Needs) {
    const ServerChoice Choice = chooseServer(State, Needs, Now);
    return Choice.Server == nullptr ? "" : Choice.Server->Listed.Id.Value;
  }

  /** Applies a report of one open request from the agent of each model worker.
   */
  void reportAllAgents() {
    for (const char *Id : {"m0", "m1", "m2"})
      applyAgentReport(State,
                       {{std::string(Id) + ":1"},
                        WorkerState::Serving,
                        1,
                        {"m@1"},
                        true,
                        {}},
                       Now);
  }

  /** Counts how often each instance is chosen in many tries. */
  std::map<std::string, int> countChoices(const std::string &Service) {
    std::map<std::string, int> Got;
    for (int n = 0; n < 300; ++n)
      ++Got[choose(Service)];
    return Got;
  }

  Document Doc;
  Route TestRoute;
  ServerPool State;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace jacinthpond

#endif

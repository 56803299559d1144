/** @file admin_test.cpp Administration API, metrics and command line. */
// Labels: product

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** One fleet for all cases: they only read it. */
struct AdminFleet {
  AdminFleet() {
    static Fleet Shared(plan());
    static const bool Up = Shared.waitServing(30s);
    BOOST_REQUIRE(Up);
    All = &Shared;
  }

  static FleetPlan plan() {
    FleetPlan Plan;
    Plan.Entries = 2;
    Plan.ModelWorkers = 3;
    Plan.EntrySettings = {{"log_level", "debug"}};
    Plan.AgentSettings = {{"log_level", "debug"}};
    return Plan;
  }

  Answer get(const std::string &Process, const std::string &Path,
             const std::string &Token) const {
    httplib::Client Client("http://" + All->address(Process, "admin"));
    httplib::Headers Headers;
    if (!Token.empty())
      Headers.emplace("Authorization", "Bearer " + Token);
    const httplib::Result Got = Client.Get(Path, Headers);
    return Got ? Answer{Got->status, true, Got->body} : Answer{};
  }

  Finished command(std::vector<std::string> Words,
                   const std::string &Token = OperatorToken) const {
    Words.push_back("--token-file");
    Words.push_back(All->writeFile("token", Token + "\n"));
    return Fleet::runCommand(Words);
  }

  std::vector<std::string> toEntry(const std::string &Command) const {
    return {Command, "--admin", All->address("entry-0", "admin")};
  }

  Fleet *All;
};

std::set<std::string> namesOf(const Json &List) {
  std::set<std::string> Names;
  for (const Json &One : List)
    Names.insert(One.value("name", ""));
  return Names;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Admin, AdminFleet)

BOOST_AUTO_TEST_CASE(EachTeamSeesItsOwn) {
  const Json Everything = get("entry-0", "/v1/status", OperatorToken).json();
  BOOST_TEST(Everything["workers"].size() == 6U);
  BOOST_TEST(Everything["models"][0]["loaded"] == 3);
  BOOST_TEST(get("entry-0", "/v1/refusals", OperatorToken)
                 .json()["quarantine"]
                 .empty());
  const Json Own = get("entry-0", "/v1/status", HutsToken).json();
  BOOST_TEST(
      (namesOf(Own["workers"]) == std::set<std::string>{"s0", "s1", "s2"}));
  BOOST_TEST((namesOf(Own["classes"]) == std::set<std::string>{"bookings"}));
  BOOST_TEST((namesOf(Own["tenants"]) == std::set<std::string>{"huts"}));
  BOOST_TEST(Own["models"].empty());
}

BOOST_AUTO_TEST_CASE(WrongTokensAreRefusedAndCountedAndNeverLogged) {
  struct Case {
    const char *Path;
    const char *Token;
    int Status;
  };
  const std::vector<Case> Cases = {
      {"/v1/status", "", 401},
      {"/v1/status", "wrong-secret", 401},
      {"/v1/status?token=query-secret", "", 401},
      {"/v1/config", HutsToken, 403},
      {"/v1/refusals", HutsToken, 403},
      {"/v1/status?class=reports", HutsToken, 403},
      {"/v1/status?tenant=clubs", HutsToken, 403},
      {"/v1/status?tenant=huts", HutsToken, 200},
      {"/v1/nothing", OperatorToken, 404},
  };
  for (const Case &One : Cases)
    BOOST_TEST(get("entry-1", One.Path, One.Token).Status == One.Status,
               One.Path);
  const std::string Page = get("entry-1", "/metrics", "").Body;
  for (const char *Line :
       {"{cause=\"no_token\"} 2", "{cause=\"wrong_token\"} 1",
        "{cause=\"other_team\"} 4"})
    BOOST_TEST(Page.find(Line) != std::string::npos, Page);
  const std::string Log = All->logOf("entry-1");
  BOOST_TEST(Log.find("part=admin level=WARN event=note text=\"Refused "
                      "/v1/status to 127.0.0.1: unauthorized.\"") !=
             std::string::npos);
  for (const char *Secret :
       {"wrong-secret", "query-secret", HutsToken, OperatorToken})
    BOOST_TEST(Log.find(Secret) == std::string::npos, Secret);
}

BOOST_AUTO_TEST_CASE(RequestsShowInHistogramsAndLogs) {
  Ask What;
  const Answer Got = All->ask(0, What);
  BOOST_REQUIRE(Got.Status == 200);
  const std::string Request = Got.json()["request_id"];
  const std::string Open = get("entry-0", "/metrics", "").Body;
  BOOST_TEST(Open.find("jacinthpond_first_token_seconds_count{class="
                       "\"reports\"}") != std::string::npos);
  BOOST_TEST(Open.find("huts") == std::string::npos);
  const std::string All0 = get("entry-0", "/metrics", OperatorToken).Body;
  BOOST_TEST(All0.find("tenant=\"huts\"") != std::string::npos);
  size_t Queued = 0;
  size_t Told = 0;
  for (const std::string Name : {"agent-m0", "agent-m1", "agent-m2"}) {
    const std::string Page = get(Name, "/metrics", "").Body;
    BOOST_TEST(Page.find("jacinthpond_agent_limit") != std::string::npos);
    Queued += Page.find("jacinthpond_agent_queued_seconds_count") !=
              std::string::npos;
    Told += All->logOf(Name).find(
                "part=requests level=DEBUG event=note text=\"Request " +
                Request) != std::string::npos;
    BOOST_TEST(get(Name, "/v1/health", "").json()["back_end_up"] == true);
  }
  BOOST_TEST(Queued == 1U);
  BOOST_TEST(Told == 1U);
  BOOST_TEST(All->logOf("entry-0").find("Request " + Request) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(EveryMetricIsDocumented) {
  std::ifstream File(JACINTHPOND_SOURCE_FOLDER "/docs/OPERATIONS.md");
  const std::string Docs(std::istreambuf_iterator<char>(File), {});
  std::istringstream Pages(get("entry-0", "/metrics", "").Body +
                           get("agent-m0", "/metrics", "").Body);
  const std::string Mark = "# TYPE ";
  size_t Checked = 0;
  for (std::string Line; std::getline(Pages, Line);) {
    if (!Line.starts_with(Mark))
      continue;
    const std::string Name =
        Line.substr(Mark.size(), Line.rfind(' ') - Mark.size());
    BOOST_TEST(Docs.find("`" + Name + "`") != std::string::npos, Name);
    ++Checked;
  }
  BOOST_TEST(Checked > 25U);
}

BOOST_AUTO_TEST_CASE(CommandsPrintTablesAndJson) {
  const Finished Table = command(toEntry("status"));
  BOOST_TEST(Table.Code == 0);
  for (const char *Part :
       {"DOMAIN", "drakensberg", "#] 100%", "trail", "bookings", "warming"})
    BOOST_TEST(Table.Output.find(Part) != std::string::npos, Table.Output);
  auto Words = toEntry("domains");
  Words.push_back("--json");
  const Json Domains = Json::parse(command(Words).Output, nullptr, false);
  BOOST_TEST(Domains["domains"].size() == 3U);
  // All eight processes are seen, on the version in force.
  const Finished Config = command(toEntry("config"));
  BOOST_TEST(Config.Output.find("unseen") == std::string::npos, Config.Output);
  BOOST_TEST(std::ranges::count(Config.Output, '\n') == 9);
}

BOOST_AUTO_TEST_CASE(CheckShowsTheEffectWithoutPublishing) {
  Json Candidate = All->Document;
  Candidate["version"] = 7;
  Candidate["domains_out"] = {"hogsback"};
  Candidate["tenants"].push_back({{"name", "races"}});
  Candidate["workers"].erase(0);
  const std::string Path = All->writeFile("next.json", Candidate.dump());
  const std::vector<std::string> Words = {
      "check", "--against", All->address("entry-0", "admin"), Path};
  const Finished Shown = command(Words);
  BOOST_TEST(Shown.Code == 0);
  for (const char *Part :
       {"version 1 -> 7", "tenants added: races", "workers removed: m0",
        "domains_out added: "
        "hogsback"})
    BOOST_TEST(Shown.Output.find(Part) != std::string::npos, Shown.Output);
  BOOST_TEST(All->health(0)["version"] == 1);
  const Finished Refused = command(Words, HutsToken);
  BOOST_TEST(Refused.Code == 1);
  BOOST_TEST(Refused.Output.find("forbidden") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(CommandLineFaultsAreClear) {
  struct Case {
    std::vector<std::string> Words;
    int Code;
    const char *Part;
  };
  const std::string Bad = All->writeFile("bad.json", "{\"version\": 0, "
                                                     "\"clases\": []}");
  const std::vector<Case> Cases = {
      {{"--version"}, 0, "jacinthpond 0."},
      {{"--help"}, 0, "--token-file"},
      {{"--help-settings"}, 0, "heartbeat_ms"},
      {{}, 2, "no command"},
      {{"stauts"}, 2, "stauts: unknown command"},
      {{"--nothing", "serve"}, 2, "--nothing: unknown option"},
      {{"status", "more"}, 2, "more: unexpected"},
      {{"status"}, 1, "no token"},
      {{"check"}, 2, "needs one FILE"},
      {{"serve"}, 2, "--settings FILE is missing"},
      {{"serve", "--settings", "/nothing/here"}, 3, "cannot be read"},
      {{"serve", "--settings", "/tmp"}, 3, "/tmp: cannot be read"},
      {{"check", "/nothing/here"}, 1, "cannot be read"},
      {{"check", "/tmp"}, 1, "/tmp: cannot be read"},
      {{"check", Bad}, 3, "did you mean \"classes\""},
      {{"serve", "--settings", Bad}, 3, "name: found nothing"},
  };
  for (const Case &One : Cases) {
    const Finished End = Fleet::runCommand(One.Words);
    BOOST_TEST(End.Code == One.Code, End.Output);
    BOOST_TEST(End.Output.find(One.Part) != std::string::npos, End.Output);
  }
  BOOST_TEST(command({"status", "--admin", "127.0.0.1:1"}).Code == 1);
  BOOST_TEST(command(toEntry("status"), "wrong").Code == 1);
  BOOST_TEST(command({"status"}).Code == 2);
}

// An entry is started beside one that still holds its address for peers. It
// wrote that the address is taken and then neither served nor ended, and
// whatever supervises it took it for alive. Cause: its administration listener
// was stopped before it accepted, which the HTTP library ignores.
BOOST_AUTO_TEST_CASE(AnEntryWhoseAddressIsTakenEnds) {
  const Json Settings = {{"name", "twin"},
                         {"domain", "ridge"},
                         {"config_url", "http://127.0.0.1:1"},
                         {"peer_listen", All->address("entry-0", "peers")},
                         {"caller_listen", ""},
                         {"admin_listen", "127.0.0.1:0"},
                         {"log_to", "stderr"}};
  const Finished End = Fleet::runCommand(
      {"--settings", All->writeFile("twin.json", Settings.dump()), "serve"});
  BOOST_TEST(End.Code == 1, End.Output);
  BOOST_TEST(End.Output.find("A listening address is taken.") !=
                 std::string::npos,
             End.Output);
}

BOOST_AUTO_TEST_SUITE_END()

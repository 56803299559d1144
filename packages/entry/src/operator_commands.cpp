/** @file operator_commands.cpp The operators' commands of jacinthpond. */

#include "operator_commands.h"

#include "configuration/document_func.h"
#include "status_view.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Longest wait for an answer of the administration API. */
constexpr std::chrono::seconds AdminTimeout{10};

/** One command that asks a running entry. */
struct CommandSpec {
  const char *Name;                  ///< Word on the command line.
  const char *Path;                  ///< Path of the API.
  std::string (*Show)(const Json &); ///< Makes its answer readable.
};

constexpr std::array<CommandSpec, 3> Commands = {
    {{"status", "/v1/status", statusText},
     {"domains", "/v1/domains", domainsText},
     {"config", "/v1/config", configText}}};

const CommandSpec *findCommand(const std::string &Name) {
  const auto *it = std::ranges::find_if(
      Commands, [&](const CommandSpec &One) { return Name == One.Name; });
  return it == Commands.end() ? nullptr : it;
}

/** Reads the token; it is never given on the command line, which other users
 * of the host can read. */
Result<std::string> readToken(const AdminTarget &Target) {
  std::string Token;
  if (!Target.TokenFile.empty()) {
    BOOST_LEAF_AUTO(Text, readFile(Target.TokenFile));
    Token = Text.substr(0, Text.find_first_of("\r\n"));
  } else if (const char *Text = std::getenv(TokenVariable)) {
    Token = Text;
  }
  if (Token.empty())
    return fail(ErrorKind::Unauthorized,
                std::string("no token: give --token-file FILE or set ") +
                    TokenVariable);
  return Token;
}

/** Says in one line what an answer that is no success means. */
std::string refusalText(const httplib::Response &Answer) {
  const Json Body = Json::parse(Answer.body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return "status " + std::to_string(Answer.status);
  const Json &Error = Body["error"];
  return Error.value("kind", "") + ": " + Error.value("message", "") +
         (Error.contains("detail") ? "\n" + Error.value("detail", "") : "");
}

/** Turns an answer of the API into JSON. */
Result<Json> readAnswer(const httplib::Result &Got, const std::string &At) {
  if (!Got)
    return fail(ErrorKind::Unreachable,
                At + ": " + httplib::to_string(Got.error()));
  if (Got->status != 200)
    return fail(Got->status == 422 ? ErrorKind::InvalidDocument
                                   : ErrorKind::Forbidden,
                At + ": " + refusalText(*Got));
  Json Body = Json::parse(Got->body, nullptr, false);
  if (!Body.is_object())
    return fail(ErrorKind::Malformed, At + ": the answer is no JSON");
  return Body;
}

Result<Json> ask(const AdminTarget &Target, const std::string &Path,
                 const std::string *Document) {
  BOOST_LEAF_AUTO(Token, readToken(Target));
  if (Target.Admin.empty())
    return fail(ErrorKind::BadRequest, "--admin IP:port is missing");
  httplib::Client Client("http://" + Target.Admin);
  Client.set_connection_timeout(AdminTimeout);
  Client.set_read_timeout(AdminTimeout);
  const httplib::Headers Headers = {{"Authorization", "Bearer " + Token}};
  if (Document == nullptr)
    return readAnswer(Client.Get(Path, Headers), Target.Admin);
  return readAnswer(Client.Post(Path, Headers, *Document, "application/json"),
                    Target.Admin);
}

/** Prints an answer, or why there is none. */
ExitCode show(const Outcome<Json> &Answer, const AdminTarget &Target,
              std::string (*Show)(const Json &)) {
  if (Answer.Value) {
    std::cout << (Target.AsJson ? Answer.Value->dump(2) + "\n"
                                : Show(*Answer.Value));
    return ExitDone;
  }
  std::cerr << "jacinthpond: " << Answer.Why.Detail << "\n";
  if (Answer.Why.Kind == ErrorKind::BadRequest)
    return ExitUsage;
  return Answer.Why.Kind == ErrorKind::InvalidDocument ? ExitInvalid
                                                       : ExitFailed;
}

} // namespace

bool asksEntry(const std::string &Command) {
  return findCommand(Command) != nullptr;
}

ExitCode askEntry(const std::string &Command, const AdminTarget &Target) {
  const CommandSpec &Spec = *findCommand(Command);
  return show(outcomeOf([&] { return ask(Target, Spec.Path, nullptr); }),
              Target, Spec.Show);
}

ExitCode checkFile(const std::string &Path) {
  const auto Read = outcomeOf([&]() -> Result<DocumentPtr> {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    return parseDocument(Text);
  });
  if (Read.Value) {
    std::cout << Path << ": version " << (*Read.Value)->Version.Value
              << " is valid\n";
    return ExitDone;
  }
  std::cerr << Path << ": " << Read.Why.Detail << "\n";
  return Read.Why.Kind == ErrorKind::NotFound ? ExitFailed : ExitInvalid;
}

ExitCode checkAgainst(const std::string &Path, const AdminTarget &Target) {
  // Faults are told here, with all lines, before anybody is asked.
  const auto Text = outcomeOf([&] { return readFile(Path); });
  if (!Text.Value)
    return checkFile(Path);
  const ExitCode Valid = checkFile(Path);
  if (Valid != ExitDone)
    return Valid;
  return show(outcomeOf([&] { return ask(Target, "/v1/check", &*Text.Value); }),
              Target, changeText);
}

} // namespace jacinthpond

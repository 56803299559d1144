/** @file operator_commands.cpp Commands of jacinthpond for operators. */

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

/** Timeout of connecting to the administration API, and of reading from it. */
constexpr std::chrono::seconds AdminTimeout{10};

/** A command that queries a running entry. */
struct CommandSpec {
  const char *Name;                    ///< Word on the command line.
  const char *Path;                    ///< Path of the administration API.
  std::string (*Format)(const Json &); ///< Formats the answer as text.
};

/** All commands that query a running entry. */
constexpr std::array<CommandSpec, 3> Commands = {
    {{"status", "/v1/status", statusText},
     {"domains", "/v1/domains", domainsText},
     {"config", "/v1/config", configText}}};

/** Finds a command by name. @return The command; null when there is none. */
const CommandSpec *findCommand(const std::string &Name) {
  const auto *it = std::ranges::find_if(
      Commands, [&](const CommandSpec &One) { return Name == One.Name; });
  return it == Commands.end() ? nullptr : it;
}

/** Reads the token from its file or from the environment. It is not an option
 * of the command line, since other users of the host can read that. */
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

/** Describes an answer that reports an error: kind and message of the error,
 * its detail on a second line; or the HTTP status when there is no such body.
 */
std::string describeErrorAnswer(const httplib::Response &Answer) {
  const Json Body = Json::parse(Answer.body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return "status " + std::to_string(Answer.status);
  const Json &Error = Body["error"];
  return Error.value("kind", "") + ": " + Error.value("message", "") +
         (Error.contains("detail") ? "\n" + Error.value("detail", "") : "");
}

/**
 * Parses an answer of the administration API.
 * @param Received The answer.
 * @param At Address of the API, for error messages.
 * @return JSON object; Unreachable when no answer came, InvalidDocument for
 *         status 422, Forbidden for others than 200, else Malformed.
 */
Result<Json> parseAdminAnswer(const httplib::Result &Received,
                              const std::string &At) {
  if (!Received)
    return fail(ErrorKind::Unreachable,
                At + ": " + httplib::to_string(Received.error()));
  if (Received->status != 200)
    return fail(Received->status == 422 ? ErrorKind::InvalidDocument
                                        : ErrorKind::Forbidden,
                At + ": " + describeErrorAnswer(*Received));
  Json Body = Json::parse(Received->body, nullptr, false);
  if (!Body.is_object())
    return fail(ErrorKind::Malformed, At + ": the answer is no JSON");
  return Body;
}

/**
 * Sends a request to the administration API.
 * @param Target The entry.
 * @param Path Path of the API.
 * @param Document Body to POST; null to GET.
 * @return The answer, a JSON object; Unauthorized without a token, BadRequest
 *         without an address, else errors of parseAdminAnswer().
 */
Result<Json> requestAdminApi(const AdminTarget &Target, const std::string &Path,
                             const std::string *Document) {
  BOOST_LEAF_AUTO(Token, readToken(Target));
  if (Target.Admin.empty())
    return fail(ErrorKind::BadRequest, "--admin IP:port is missing");
  httplib::Client Client("http://" + Target.Admin);
  Client.set_connection_timeout(AdminTimeout);
  Client.set_read_timeout(AdminTimeout);
  const httplib::Headers Headers = {{"Authorization", "Bearer " + Token}};
  if (Document == nullptr)
    return parseAdminAnswer(Client.Get(Path, Headers), Target.Admin);
  return parseAdminAnswer(
      Client.Post(Path, Headers, *Document, "application/json"), Target.Admin);
}

/** Prints an answer, or an error if there is none. @return Exit code. */
ExitCode printAnswer(const Outcome<Json> &Answer, const AdminTarget &Target,
                     std::string (*Format)(const Json &)) {
  if (Answer.Value) {
    std::cout << (Target.AsJson ? Answer.Value->dump(2) + "\n"
                                : Format(*Answer.Value));
    return ExitDone;
  }
  std::cerr << "jacinthpond: " << Answer.Why.Detail << "\n";
  if (Answer.Why.Kind == ErrorKind::BadRequest)
    return ExitUsage;
  return Answer.Why.Kind == ErrorKind::InvalidDocument ? ExitInvalid
                                                       : ExitFailed;
}

} // namespace

bool isEntryCommand(const std::string &Command) {
  return findCommand(Command) != nullptr;
}

ExitCode runEntryCommand(const std::string &Command,
                         const AdminTarget &Target) {
  const CommandSpec &Spec = *findCommand(Command);
  return printAnswer(
      outcomeOf([&] { return requestAdminApi(Target, Spec.Path, nullptr); }),
      Target, Spec.Format);
}

ExitCode checkDocumentFile(const std::string &Path) {
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

ExitCode compareWithEntry(const std::string &Path, const AdminTarget &Target) {
  // Errors in the document are printed here, all of them, before the entry is
  // queried.
  const auto Text = outcomeOf([&] { return readFile(Path); });
  if (!Text.Value)
    return checkDocumentFile(Path);
  const ExitCode Valid = checkDocumentFile(Path);
  if (Valid != ExitDone)
    return Valid;
  return printAnswer(outcomeOf([&] {
                       return requestAdminApi(Target, "/v1/check",
                                              &*Text.Value);
                     }),
                     Target, changeText);
}

} // namespace jacinthpond

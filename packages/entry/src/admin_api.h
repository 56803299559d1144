/** @file admin_api.h Administration API of an entry, on its own listener. */

#ifndef JACINTHPOND_ENTRY_ADMIN_API_H
#define JACINTHPOND_ENTRY_ADMIN_API_H

#include "entry_shell.h"
#include "metrics/metrics_page.h"
#include "status/status_type.h"
#include "status/team_access_type.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace jacinthpond {

class GuardedServer;

/** Why a request to the administration API was refused: it had no token, an
 * unknown token, or the token of a team without access. */
enum class AccessRefusal : uint8_t { NoToken, WrongToken, OtherTeam, Count };

/** HTTP server for operators and teams; serves from start() until it is
 * destroyed. */
class AdminApi {
public:
  /**
   * Sets up; accepts no connections yet.
   * @param Config Settings of the process.
   * @param Shell The entry; must outlive the API.
   */
  AdminApi(const Settings &Config, EntryShell &Shell);
  /** Waits for open answers to end, then stops the server's threads. */
  ~AdminApi();
  AdminApi(const AdminApi &) = delete;
  AdminApi &operator=(const AdminApi &) = delete;

  /**
   * Starts to accept connections.
   * @return The address in use; empty when it could not be bound.
   */
  std::string start();

private:
  /** Formats the status that a path shows. */
  using StatusFormat = nlohmann::json (*)(const FleetStatus &);
  /** Handles a request to a path. */
  using RequestHandler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  /** Adds /v1/health and /metrics, which need no token; /metrics shows the
   * metrics of a workspace only to its team. */
  void addPublicPaths();
  /**
   * Adds a path that shows the status as far as the client's team may see it.
   * @param Path The path.
   * @param Format Turns the status into the answer.
   * @param OperatorsOnly Refuse teams that are not operators.
   */
  void addStatusPath(const char *Path, StatusFormat Format, bool OperatorsOnly);
  /** Adds /v1/check, which compares a document with the one in force. */
  void addCheckPath();
  /**
   * Wraps a handler so that it runs only for clients with access.
   * @param Path The path, for the log.
   * @param OperatorsOnly Refuse teams that are not operators.
   * @param Handler Answers clients with access.
   * @return A handler that answers the others with an error, logs and counts
   *         them.
   */
  RequestHandler
  requireAccess(const char *Path, bool OperatorsOnly,
                std::function<void(const TeamAccess &, const httplib::Request &,
                                   httplib::Response &)>
                    Handler);
  /**
   * Determines what a client may see, from its token and its query.
   * @param Req The request.
   * @param OperatorsOnly Refuse teams that are not operators.
   * @return The access; Unauthorized without a valid token, Forbidden for what
   *         another team owns, StaleView while there is no document.
   */
  Result<TeamAccess> authorizeRequest(const httplib::Request &Req,
                                      bool OperatorsOnly);
  /** Counts a refused request by cause; ignores errors of other kinds. */
  void countRefusal(const httplib::Request &Req, ErrorKind Kind);
  /** Adds the counts of refused requests to the metrics. */
  void addRefusalCounts(MetricFamilies &Into) const;

  std::string ListenAddress; ///< Address from the settings.
  EntryShell &Shell;
  std::unique_ptr<GuardedServer> Server;
  std::thread AcceptThread;
  std::array<std::atomic<uint64_t>, static_cast<size_t>(AccessRefusal::Count)>
      RefusalCounts{}; ///< Refused requests, by cause.
};

} // namespace jacinthpond

#endif

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

/** Why a reader was turned away. */
enum class AccessRefusal : uint8_t { NoToken, WrongToken, OtherTeam, Count };

/** Serves operators until it is destroyed. */
class AdminApi {
public:
  /**
   * Sets up; nothing is accepted yet.
   * @param Config Settings of the process.
   * @param Host The entry; outlives the API.
   */
  AdminApi(const Settings &Config, EntryShell &Host);
  /** Lets answers under way end, then ends the server's threads. */
  ~AdminApi();
  AdminApi(const AdminApi &) = delete;
  AdminApi &operator=(const AdminApi &) = delete;

  /**
   * Starts to accept operators.
   * @return The address in use; empty when it cannot be had.
   */
  std::string start();

private:
  using View = nlohmann::json (*)(const FleetStatus &);
  using Work =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  void addOpenPaths();
  void addView(const char *Path, View Show, bool OperatorsOnly);
  void addCheck();
  Work forTeam(const char *Path, bool OperatorsOnly,
               std::function<void(const TeamAccess &, const httplib::Request &,
                                  httplib::Response &)>
                   Then);
  Result<TeamAccess> accessFor(const httplib::Request &Asked,
                               bool OperatorsOnly);
  void countRefusal(const httplib::Request &Asked, ErrorKind Kind);
  void addRefusals(MetricFamilies &Into) const;

  std::string At; ///< Where to listen.
  EntryShell &Host;
  std::unique_ptr<GuardedServer> Server;
  std::thread Accepting;
  std::array<std::atomic<uint64_t>, static_cast<size_t>(AccessRefusal::Count)>
      Refused{}; ///< Readers turned away, by cause.
};

} // namespace jacinthpond

#endif

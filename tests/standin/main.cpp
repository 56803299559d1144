/** @file main.cpp Program jp-standin: one stand-in, named on the command line.
 *
 * Usage: jp-standin KIND PORT [JSON]
 */

#include "standin.h"

#include "http/http_server.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

namespace jacinthpond::standin {

void prepare(httplib::Server &Server, size_t Threads) {
  Server.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  Server.set_keep_alive_timeout(1);
  Server.set_tcp_nodelay(true);
}

int serve(httplib::Server &Server, int Port, const std::string &Ip) {
  std::thread Accepting;
  const std::string At =
      startServer(Server, Ip + ":" + std::to_string(Port), Accepting);
  if (At.empty())
    return 1;
  std::cout << Json({{"ready", true}, {"at", At}}).dump() << std::endl;
  Accepting.join();
  return 0;
}

void reply(httplib::Response &Answer, const Json &Value) {
  Answer.set_content(Value.dump(), "application/json");
}

} // namespace jacinthpond::standin

int main(int Count, char **Arguments) {
  using namespace jacinthpond::standin;
  const std::map<std::string, int (*)(int, const Json &)> Kinds = {
      {"engine", runEngine},
      {"engines", runEngines},
      {"service", runService},
      {"platform", runPlatform},
      {"origin", runOrigin},
      {"proxy", runProxy},
      {"store", runStore},
      {"store-worker", runStoreWorker},
      {"store-origin", runStoreOrigin}};
  std::signal(SIGPIPE, SIG_IGN);
  if (Count < 3 || !Kinds.contains(Arguments[1])) {
    std::cerr << "usage: jp-standin "
                 "engine|engines|service|platform|origin|proxy|store|"
                 "store-worker|store-origin PORT [JSON]\n";
    return 2;
  }
  const Json Options =
      Count > 3 ? Json::parse(Arguments[3], nullptr, false) : Json::object();
  if (!Options.is_object())
    return 2;
  return Kinds.at(Arguments[1])(std::atoi(Arguments[2]), Options);
}

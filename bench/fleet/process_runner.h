/** @file process_runner.h Processes started by tests, bench and demo. */

#ifndef JACINTHPOND_BENCH_FLEET_PROCESS_RUNNER_H
#define JACINTHPOND_BENCH_FLEET_PROCESS_RUNNER_H

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

using Json = nlohmann::json;

/** One child process; killed when this object goes away. */
class ChildProcess {
public:
  /**
   * Starts a program and reads its ready line; throws when none comes.
   * Start children from the main thread only: they die with the thread.
   * @param Program Path of the program.
   * @param Arguments Its arguments, without its name.
   * @param LogPath File for its standard error.
   */
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &LogPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /**
   * Gives what the process said about itself.
   * @return All lines up to the ready line as one object.
   */
  const Json &ready() const { return Ready; }

  /**
   * Gives the process id.
   * @return The id; 0 once it has ended.
   */
  int pid() const { return Pid; }

  /**
   * Sends a signal.
   * @param Signal Which.
   */
  void signal(int Signal) const;

  /** Stops it with SIGSTOP, and returns once none of its threads runs any more;
   * throws when they go on for too long. */
  void pause() const;

  /** Ends it at once. */
  void kill();

  /**
   * Waits for its end.
   * @param Limit Longest wait.
   * @return Its exit code, 128 + signal, or nothing when it goes on.
   */
  std::optional<int> waitExit(std::chrono::milliseconds Limit);

private:
  void readReadyLine(int Pipe);

  int Pid = 0;
  int Output = -1; ///< Read end of its standard output.
  Json Ready = Json::object();
};

/** What a program that ended left behind. */
struct Finished {
  int Code = -1;      ///< Exit code, or 128 + signal.
  std::string Output; ///< Standard output and error together.
};

/**
 * Runs a program to its end; throws when it goes on for too long.
 * @param Program Path of the program.
 * @param Arguments Its arguments, without its name.
 * @return How it ended.
 */
Finished runProgram(const std::string &Program,
                    const std::vector<std::string> &Arguments);

/**
 * Waits for a condition.
 * @param Limit Longest wait.
 * @param Condition Asked again and again.
 * @return Whether it came true in time.
 */
bool waitFor(std::chrono::milliseconds Limit,
             const std::function<bool()> &Condition);

} // namespace jacinthpond::fleet

#endif

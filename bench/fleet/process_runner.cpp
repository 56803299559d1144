/** @file process_runner.cpp Processes started by tests, bench and demo. */

#include "fleet/process_runner.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace jacinthpond::fleet {

using Clock = std::chrono::steady_clock;

namespace {

/** Longest wait for a ready line; the machine may be busy. */
constexpr std::chrono::seconds ReadyLimit{20};
/** Longest wait for a process to stop. */
constexpr std::chrono::seconds StopLimit{5};
constexpr std::chrono::milliseconds PollPeriod{5};

[[noreturn]] void becomeProgram(const std::string &Program,
                                const std::vector<std::string> &Arguments,
                                int Log, int Output) {
  // No child outlives a test that crashed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t None;
  sigemptyset(&None);
  sigprocmask(SIG_SETMASK, &None, nullptr);
  dup2(Output, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  std::vector<char *> Words;
  Words.push_back(const_cast<char *>(Program.c_str()));
  for (const std::string &Word : Arguments)
    Words.push_back(const_cast<char *>(Word.c_str()));
  Words.push_back(nullptr);
  execv(Program.c_str(), Words.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           const std::string &LogPath) {
  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("no process");
  if (Pid == 0)
    becomeProgram(
        Program, Arguments,
        open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600),
        Pipe[1]);
  close(Pipe[1]);
  Output = Pipe[0];
  readReadyLine(Output);
}

ChildProcess::~ChildProcess() {
  kill();
  close(Output);
}

void ChildProcess::readReadyLine(int Pipe) {
  std::string Text;
  const auto Limit = Clock::now() + ReadyLimit;
  while (Clock::now() < Limit) {
    pollfd One{Pipe, POLLIN, 0};
    if (poll(&One, 1, 100) <= 0)
      continue;
    char c = 0;
    if (read(Pipe, &c, 1) != 1)
      throw std::runtime_error("a process ended before it was ready");
    if (c != '\n') {
      Text += c;
      continue;
    }
    const Json Line = Json::parse(Text, nullptr, false);
    Text.clear();
    if (Line.is_object())
      Ready.update(Line);
    if (Ready.contains("ready"))
      return;
  }
  throw std::runtime_error("a process did not become ready");
}

void ChildProcess::signal(int Signal) const {
  if (Pid > 0)
    ::kill(Pid, Signal);
}

void ChildProcess::pause() const {
  signal(SIGSTOP);
  // Its threads run on for a while after the signal was sent.
  const bool Stopped = waitFor(StopLimit, [this] {
    siginfo_t State{};
    return waitid(P_PID, static_cast<id_t>(Pid), &State,
                  WSTOPPED | WNOHANG | WNOWAIT) == 0 &&
           State.si_pid == Pid;
  });
  if (!Stopped)
    throw std::runtime_error("a process did not stop");
}

void ChildProcess::kill() {
  signal(SIGKILL);
  if (Pid > 0)
    waitpid(Pid, nullptr, 0);
  Pid = 0;
}

std::optional<int> ChildProcess::waitExit(std::chrono::milliseconds Limit) {
  int Status = 0;
  const bool Ended = Pid > 0 && waitFor(Limit, [&] {
                       return waitpid(Pid, &Status, WNOHANG) == Pid;
                     });
  if (!Ended)
    return std::nullopt;
  Pid = 0;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

Finished runProgram(const std::string &Program,
                    const std::vector<std::string> &Arguments) {
  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  const int Pid = fork();
  if (Pid == 0)
    becomeProgram(Program, Arguments, Pipe[1], Pipe[1]);
  close(Pipe[1]);
  Finished End;
  std::array<char, 4096> Buf{};
  pollfd One{Pipe[0], POLLIN, 0};
  const auto Limit = Clock::now() + ReadyLimit;
  ssize_t n = 1;
  while (n > 0 && Clock::now() < Limit)
    if (poll(&One, 1, 100) > 0 &&
        (n = read(Pipe[0], Buf.data(), Buf.size())) > 0)
      End.Output.append(Buf.data(), static_cast<size_t>(n));
  close(Pipe[0]);
  if (n > 0)
    ::kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
  if (n > 0)
    throw std::runtime_error("a program did not end");
  End.Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return End;
}

bool waitFor(std::chrono::milliseconds Limit,
             const std::function<bool()> &Condition) {
  const auto End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

} // namespace jacinthpond::fleet

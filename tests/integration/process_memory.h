/** @file process_memory.h Memory that a process has used. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_PROCESS_MEMORY_H
#define JACINTHPOND_TESTS_INTEGRATION_PROCESS_MEMORY_H

#include <cstddef>
#include <fstream>
#include <string>

namespace jacinthpond::fleet {

/** Peak memory of a process so far, in MB; 0 when it has ended. */
inline size_t peakMegabytes(int Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(6)) / 1024;
  return 0;
}

} // namespace jacinthpond::fleet

#endif

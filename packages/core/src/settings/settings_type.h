/** @file settings_type.h Settings of one process. */

#ifndef JACINTHPOND_CORE_SETTINGS_TYPE_H
#define JACINTHPOND_CORE_SETTINGS_TYPE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

/** Values of all settings; table/settings_table.h describes each member. */
struct Settings {
  std::string Name;
  std::string Domain;
  std::string PeerListen;
  std::string CallerListen;
  std::string AdminListen;
  std::string ConfigUrl;
  std::string HostsUrl;
  std::vector<std::string> SeedPeers;
  std::string EngineUrl;
  std::string ServiceUrl;
  std::string OriginUrl;
  std::string LogLevel;
  std::string LogTo;
  std::string Platform;
  std::string RouteListen;
  std::string ReadyListen;
  std::string DirectoryListen;
  std::vector<std::string> DomainRegions;
  int64_t AgentPort = 0;
  int64_t StopGraceSeconds = 0;
  int64_t WeightsChangeMillis = 0;
  int64_t LapseGraceMillis = 0;
  bool ServeCutOff = false;
  double LinkMegabits = 0;
  double RepeatRatio = 0;
  int64_t RepeatSlack = 0;
  int64_t RepeatWindowSeconds = 0;
  int64_t HeartbeatMillis = 0;
  int64_t LinkSilenceMillis = 0;
  int64_t ReconnectMillis = 0;
  int64_t PauseGapMillis = 0;
  int64_t CutOffMillis = 0;
  int64_t JoinWaitMillis = 0;
  int64_t ShutdownMillis = 0;
  int64_t LeaveNoticeMillis = 0;
  int64_t AddressKeepMillis = 0;
  int64_t MaxBodyBytes = 0;
  int64_t CallerThreads = 0;
  int64_t CallerReadMillis = 0;
  int64_t WarmLimit = 0;
  int64_t ColdLimit = 0;
  int64_t QueueLimit = 0;
  int64_t WarmAfter = 0;
  int64_t UplinkBytesPerSecond = 0;
  int64_t AcrossBytesPerSecond = 0;
  bool WeightsFromPeers = true;
  int64_t ChunkTakeoverMillis = 0;
  bool RandomRouting = false;
  int64_t RolloutPatienceMillis = 0;
  bool FifoQueue = false;
};

/** Which program a setting belongs to. */
enum class SettingOwner : uint8_t { Both, Entry, Agent };

/** Where a setting's value goes, which also gives its type. */
using SettingField =
    std::variant<std::string Settings::*, std::vector<std::string> Settings::*,
                 int64_t Settings::*, double Settings::*, bool Settings::*>;

/** What a text must look like. */
enum class TextForm : uint8_t {
  Free,   ///< Anything plain.
  Listen, ///< "IP:port", port 0 lets the kernel choose.
  Peer,   ///< "IP:port" with a port above 0.
  Url     ///< "http://IP:port".
};

/** One row of the settings table. */
struct SettingSpec {
  const char *Key;                ///< Name in the file.
  SettingField Field;             ///< Member that holds it.
  SettingOwner Owner;             ///< Program that reads it.
  bool Required;                  ///< Whether it has to be given.
  const char *Unit;               ///< Unit, or kind of text.
  int64_t Min;                    ///< Smallest number allowed.
  int64_t Max;                    ///< Largest number allowed.
  const char *Default;            ///< Default as text.
  const char *Text;               ///< What it does.
  TextForm Form = TextForm::Free; ///< What a text must look like.
};

/** Two settings of which one has to stay below the other. */
struct SettingOrder {
  const char *LowerKey;     ///< Name of the lower one.
  int64_t Settings::*Lower; ///< Member of the lower one.
  const char *UpperKey;     ///< Name of the upper one.
  int64_t Settings::*Upper; ///< Member of the upper one.
  bool MayEqual;            ///< Whether both may be the same.
};

} // namespace jacinthpond

#endif

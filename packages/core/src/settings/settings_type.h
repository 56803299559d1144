/** @file settings_type.h Settings of one process. */

#ifndef JACINTHPOND_CORE_SETTINGS_TYPE_H
#define JACINTHPOND_CORE_SETTINGS_TYPE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

/** Values of all settings; table/settings_table.h describes each member. A
 * setting of the other program keeps the value given here. */
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
  int64_t MemoryMegabytes = 0;
  int64_t FileDescriptors = 0;
  int64_t AnswerMemoryMegabytes = 0;
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

/** Program that reads a setting. */
enum class SettingOwner : uint8_t { Both, Entry, Agent };

/** Member that holds a setting; determines the type of its value. */
using SettingField =
    std::variant<std::string Settings::*, std::vector<std::string> Settings::*,
                 int64_t Settings::*, double Settings::*, bool Settings::*>;

/** Required form of a text. */
enum class TextForm : uint8_t {
  Free,   ///< Any text.
  Listen, ///< "IP:port"; port 0: the kernel chooses one.
  Peer,   ///< "IP:port" with a port above 0.
  Url     ///< "http://IP:port".
};

/** One row of the settings table. */
struct SettingSpec {
  const char *Key;                ///< Key in the settings file.
  SettingField Field;             ///< Member of Settings that holds the value.
  SettingOwner Owner;             ///< Program that reads the setting.
  bool Required;                  ///< Whether the setting must be given.
  const char *Unit;               ///< Unit of a number, or form of a text.
  int64_t Min;                    ///< Minimum of a number.
  int64_t Max;                    ///< Maximum of a number.
  const char *Default;            ///< Default, as text.
  const char *Text;               ///< Description for help texts.
  TextForm Form = TextForm::Free; ///< Required form of a text.
};

/** Two settings of which one must be less than the other. */
struct SettingOrder {
  const char *LowerKey;     ///< Key of the lesser setting.
  int64_t Settings::*Lower; ///< Member of the lesser setting.
  const char *UpperKey;     ///< Key of the greater setting.
  int64_t Settings::*Upper; ///< Member of the greater setting.
  bool MayEqual;            ///< Whether both may be equal.
};

} // namespace jacinthpond

#endif

/** @file table/settings_table.h One row for each setting. */

#ifndef JACINTHPOND_CORE_TABLE_SETTINGS_TABLE_H
#define JACINTHPOND_CORE_TABLE_SETTINGS_TABLE_H

#include "settings/settings_type.h"

#include <array>

namespace jacinthpond {

/** Maximum of settings that are a period or a wait, in milliseconds. */
constexpr int64_t MaxSettingMillis = int64_t{3600} * 1000;

/** All settings, in the order of the help text and of docs/SETTINGS.md. */
inline const std::array SettingsTable = {
    SettingSpec{"name", &Settings::Name, SettingOwner::Both, true, "text", 0, 0,
                "", "Published name of this host."},
    SettingSpec{"domain", &Settings::Domain, SettingOwner::Both, true, "text",
                0, 0, "", "Failure domain of this host."},
    SettingSpec{"peer_listen", &Settings::PeerListen, SettingOwner::Both, false,
                "IP:port", 0, 0, "127.0.0.1:0",
                "Where other processes of the system connect.",
                TextForm::Listen},
    SettingSpec{"caller_listen", &Settings::CallerListen, SettingOwner::Entry,
                false, "IP:port", 0, 0, "127.0.0.1:0", "Where callers connect.",
                TextForm::Listen},
    SettingSpec{"admin_listen", &Settings::AdminListen, SettingOwner::Both,
                false, "IP:port", 0, 0, "127.0.0.1:0",
                "Where the administration API and metrics listen.",
                TextForm::Listen},
    SettingSpec{"config_url", &Settings::ConfigUrl, SettingOwner::Entry, true,
                "http://IP:port", 0, 0, "",
                "The platform's configuration service.", TextForm::Url},
    SettingSpec{"hosts_url", &Settings::HostsUrl, SettingOwner::Entry, false,
                "http://IP:port", 0, 0, "",
                "The platform's list of live and leaving hosts; empty: none.",
                TextForm::Url},
    SettingSpec{"seed_peers", &Settings::SeedPeers, SettingOwner::Both, false,
                "list of IP:port", 0, 0, "",
                "Peer addresses of entries to ask while the configuration "
                "service is silent.",
                TextForm::Peer},
    SettingSpec{"engine_url", &Settings::EngineUrl, SettingOwner::Agent, false,
                "http://IP:port", 0, 0, "",
                "The model engine on this host; empty: none.", TextForm::Url},
    SettingSpec{"service_url", &Settings::ServiceUrl, SettingOwner::Agent,
                false, "http://IP:port", 0, 0, "",
                "The plain service on this host; empty: none.", TextForm::Url},
    SettingSpec{"origin_url", &Settings::OriginUrl, SettingOwner::Agent, false,
                "http://IP:port", 0, 0, "",
                "The origin of weights; empty: peers only.", TextForm::Url},
    SettingSpec{"log_level", &Settings::LogLevel, SettingOwner::Both, false,
                "text", 0, 0, "info", "One of debug, info, warn, error."},
    SettingSpec{"log_to", &Settings::LogTo, SettingOwner::Both, false, "text",
                0, 0, "stdout", "Where log lines go: stdout or stderr."},
    SettingSpec{"platform", &Settings::Platform, SettingOwner::Both, false,
                "text", 0, 0, "own",
                "What the host runs on: own (documents published whole) or "
                "store (a key-value store that lists servers)."},
    SettingSpec{"route_listen", &Settings::RouteListen, SettingOwner::Entry,
                false, "IP:port", 0, 0, "",
                "Where callers of routes connect; empty: nowhere.",
                TextForm::Listen},
    SettingSpec{"ready_listen", &Settings::ReadyListen, SettingOwner::Entry,
                false, "IP:port", 0, 0, "",
                "Where readiness is asked for; empty: nowhere.",
                TextForm::Listen},
    SettingSpec{"directory_listen", &Settings::DirectoryListen,
                SettingOwner::Entry, false, "IP:port", 0, 0, "",
                "Where callers of routes ask which entries to use; empty: "
                "nowhere.",
                TextForm::Listen},
    SettingSpec{"domain_regions", &Settings::DomainRegions, SettingOwner::Entry,
                false, "list of domain=region", 0, 0, "",
                "Region of each failure domain, where no document says it."},
    SettingSpec{"agent_port", &Settings::AgentPort, SettingOwner::Entry, false,
                "port", 0, 65535, "0",
                "Peer port of every agent, where no document says it."},
    SettingSpec{"stop_grace_s", &Settings::StopGraceSeconds, SettingOwner::Both,
                false, "s", 0, 3600, "0",
                "Time from the stop signal until the process is killed, which "
                "a shutdown does not outlast; 0: not known."},
    SettingSpec{"weights_change_ms", &Settings::WeightsChangeMillis,
                SettingOwner::Both, false, "ms", 1000, MaxSettingMillis, "8000",
                "Time after which nothing may begin on weights that were "
                "replaced."},
    SettingSpec{"lapse_grace_ms", &Settings::LapseGraceMillis,
                SettingOwner::Entry, false, "ms", 0, MaxSettingMillis, "2200",
                "How long servers that are missing after the platform's list "
                "was away may still be used; they register again meanwhile."},
    SettingSpec{"memory_mb", &Settings::MemoryMegabytes, SettingOwner::Both,
                false, "MB", 32, 1048576, "256",
                "Memory that this process may use. It bounds what callers "
                "make the process hold: requests, answers that they have not "
                "read, and messages of peers."},
    SettingSpec{"file_descriptors", &Settings::FileDescriptors,
                SettingOwner::Both, false, "descriptors", 64, 1048576, "4096",
                "Descriptors that this process may open; a lower limit of the "
                "operating system goes before it. It bounds the connections "
                "of callers."},
    SettingSpec{"answer_memory_mb", &Settings::AnswerMemoryMegabytes,
                SettingOwner::Entry, false, "MB", 1, 65536, "64",
                "Memory for answers of back ends that are not complete yet, "
                "all together. A quarter of the memory of the process leaves "
                "room for copies."},
    SettingSpec{"serve_cut_off", &Settings::ServeCutOff, SettingOwner::Entry,
                false, "true or false", 0, 0, "false",
                "Whether requests on routes are served on the last known "
                "configuration while cut off from the fleet; false: refused."},
    SettingSpec{"repeat_ratio", &Settings::RepeatRatio, SettingOwner::Entry,
                false, "share", 0, 10, "0.2",
                "Requests that all entries may send once more, for each "
                "request."},
    SettingSpec{"repeat_slack", &Settings::RepeatSlack, SettingOwner::Entry,
                false, "requests", 0, 1000000, "100",
                "Requests that all entries may send once more in a window "
                "beyond the ratio."},
    SettingSpec{"repeat_window_s", &Settings::RepeatWindowSeconds,
                SettingOwner::Entry, false, "s", 1, 3600, "10",
                "Length of the window of repeat_ratio and repeat_slack."},
    SettingSpec{"heartbeat_ms", &Settings::HeartbeatMillis, SettingOwner::Both,
                false, "ms", 10, MaxSettingMillis, "500",
                "Period of heartbeats on each link."},
    SettingSpec{"link_silence_ms", &Settings::LinkSilenceMillis,
                SettingOwner::Both, false, "ms", 50, MaxSettingMillis, "2500",
                "Silence after which a link counts as lost."},
    SettingSpec{"reconnect_ms", &Settings::ReconnectMillis, SettingOwner::Both,
                false, "ms", 10, MaxSettingMillis, "300",
                "Shortest wait before a lost link is opened again."},
    SettingSpec{"pause_gap_ms", &Settings::PauseGapMillis, SettingOwner::Both,
                false, "ms", 100, MaxSettingMillis, "2000",
                "Gap in the own clock after which the process counts itself "
                "as having been paused."},
    SettingSpec{"cut_off_ms", &Settings::CutOffMillis, SettingOwner::Both,
                false, "ms", 100, MaxSettingMillis, "3000",
                "Time without contact after which new work is refused."},
    SettingSpec{"join_wait_ms", &Settings::JoinWaitMillis, SettingOwner::Entry,
                false, "ms", 0, MaxSettingMillis, "1500",
                "Longest wait of a new entry for its peers' configuration."},
    SettingSpec{"shutdown_ms", &Settings::ShutdownMillis, SettingOwner::Both,
                false, "ms", 0, MaxSettingMillis, "30000",
                "Longest graceful shutdown."},
    SettingSpec{"leave_notice_ms", &Settings::LeaveNoticeMillis,
                SettingOwner::Entry, false, "ms", 0, MaxSettingMillis, "2500",
                "Shortest graceful shutdown of an entry: callers on kept "
                "connections learn in it to use other addresses."},
    SettingSpec{"address_keep_ms", &Settings::AddressKeepMillis,
                SettingOwner::Entry, false, "ms", 100, MaxSettingMillis,
                "10000", "How long callers may keep the addresses given."},
    SettingSpec{"max_body_bytes", &Settings::MaxBodyBytes, SettingOwner::Entry,
                false, "bytes", 1024, 64 << 20, "1048576",
                "Largest request body."},
    SettingSpec{"caller_threads", &Settings::CallerThreads, SettingOwner::Entry,
                false, "threads", 2, 4096, "256",
                "Callers' connections served at a time."},
    SettingSpec{"caller_read_ms", &Settings::CallerReadMillis,
                SettingOwner::Entry, false, "ms", 100, MaxSettingMillis, "5000",
                "Longest time for a caller's whole request to arrive."},
    SettingSpec{"random_routing", &Settings::RandomRouting, SettingOwner::Entry,
                false, "true or false", 0, 0, "false",
                "Choose workers at random; for measurements only."},
    SettingSpec{"warm_limit", &Settings::WarmLimit, SettingOwner::Agent, false,
                "requests", 1, 4096, "16",
                "Requests that a warm back end runs at a time."},
    SettingSpec{"cold_limit", &Settings::ColdLimit, SettingOwner::Agent, false,
                "requests", 1, 4096, "2",
                "Requests that a back end just started bears."},
    SettingSpec{"queue_limit", &Settings::QueueLimit, SettingOwner::Agent,
                false, "requests", 0, 65536, "32",
                "Requests that wait in the agent at most."},
    SettingSpec{"fifo_queue", &Settings::FifoQueue, SettingOwner::Agent, false,
                "true or false", 0, 0, "false",
                "Let work wait in order of arrival, whoever's it is; for "
                "measurements only."},
    SettingSpec{"warm_after", &Settings::WarmAfter, SettingOwner::Agent, false,
                "requests", 1, 65536, "8",
                "Requests that a cold back end completes before its limit "
                "grows."},
    SettingSpec{"uplink_bytes_per_second", &Settings::UplinkBytesPerSecond,
                SettingOwner::Agent, false, "bytes/s", 0, int64_t{1} << 40, "0",
                "Rate at which weights are sent to peers; 0: unlimited."},
    SettingSpec{"link_mbps", &Settings::LinkMegabits, SettingOwner::Agent,
                false, "Mbit/s", 0, 1000000, "0",
                "Rate of this host's link, shared by weights and the back "
                "end's answers; 0: not known. Bounds weights under way, so "
                "that answers do not wait behind them."},
    SettingSpec{"across_bytes_per_second", &Settings::AcrossBytesPerSecond,
                SettingOwner::Agent, false, "bytes/s", 0, int64_t{1} << 40, "0",
                "Rate at which weights are sent to agents of other domains; "
                "0: unlimited."},
    SettingSpec{"weights_from_peers", &Settings::WeightsFromPeers,
                SettingOwner::Agent, false, "true or false", 0, 0, "true",
                "Whether chunks of weights are exchanged with other agents; "
                "false: all come from the origin."},
    SettingSpec{"chunk_takeover_ms", &Settings::ChunkTakeoverMillis,
                SettingOwner::Agent, false, "ms", 10, MaxSettingMillis, "1500",
                "Lack of progress after which the next rank draws a chunk "
                "from the origin or from another domain."},
    SettingSpec{"rollout_patience_ms", &Settings::RolloutPatienceMillis,
                SettingOwner::Agent, false, "ms", 100, MaxSettingMillis,
                "60000",
                "How long a worker waits in a rollout for the one before it "
                "while that makes no progress; longer than a load takes."},
};

/** Constraints between settings. Heartbeats less often than link_silence_ms
 * would drop every link, and less often than cut_off_ms would refuse all
 * requests. If pause_gap_ms is shorter than the heartbeat period, a process
 * takes its own period for a pause. */
constexpr std::array<SettingOrder, 4> SettingOrders = {{
    {"cold_limit", &Settings::ColdLimit, "warm_limit", &Settings::WarmLimit,
     true},
    {"heartbeat_ms", &Settings::HeartbeatMillis, "link_silence_ms",
     &Settings::LinkSilenceMillis, false},
    {"heartbeat_ms", &Settings::HeartbeatMillis, "pause_gap_ms",
     &Settings::PauseGapMillis, true},
    {"heartbeat_ms", &Settings::HeartbeatMillis, "cut_off_ms",
     &Settings::CutOffMillis, false},
}};

} // namespace jacinthpond

#endif

/** @file standin.h Small stand-ins for the systems around jacinthpond.
 *
 * Each runs as a process of its own, prints its address in a line of JSON on
 * standard output and has a /control path that brings about its failures.
 */

#ifndef JACINTHPOND_TESTS_STANDIN_STANDIN_H
#define JACINTHPOND_TESTS_STANDIN_STANDIN_H

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>

namespace jacinthpond::standin {

using Json = nlohmann::json;

/** Connections that a stand-in serves at a time. */
constexpr size_t ServerThreads = 96;

/**
 * Gives a stand-in's listener its set-up.
 * @param Server The listener.
 * @param Threads Connections served at a time.
 */
void prepare(httplib::Server &Server, size_t Threads = ServerThreads);

/**
 * Binds, prints the address and serves until the process ends.
 * @param Server The listener.
 * @param Port Port to use; 0 lets the kernel choose.
 * @param Ip Loopback address to use.
 * @return Exit code.
 */
int serve(httplib::Server &Server, int Port,
          const std::string &Ip = "127.0.0.1");

/**
 * Answers with JSON.
 * @param Answer Where to write.
 * @param Value What.
 */
void reply(httplib::Response &Answer, const Json &Value);

/**
 * Runs a model engine.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runEngine(int Port, const Json &Options);

/**
 * Runs several model engines in one process, each on a port of its own.
 * @param Port Not used; the kernel chooses.
 * @param Options "count", and start values for each engine.
 * @return Exit code.
 */
int runEngines(int Port, const Json &Options);

/**
 * Runs a plain service.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runService(int Port, const Json &Options);

/**
 * Runs the configuration service and host list.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runPlatform(int Port, const Json &Options);

/**
 * Runs the origin of weights.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runOrigin(int Port, const Json &Options);

/**
 * Runs the users' platform's key-value store, read side.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runStore(int Port, const Json &Options);

/**
 * Runs a worker of the users' platform, with a model or plain.
 * @param Port Port to use.
 * @param Options Start values of what /control can change.
 * @return Exit code.
 */
int runStoreWorker(int Port, const Json &Options);

/**
 * Runs the users' platform's origin of weights.
 * @param Port Port to use.
 * @param Options "chunks" and "chunk_bytes"; "upper_digests": lists digests in
 * upper case; "same_chunks" as setSameChunks() takes it.
 * @return Exit code.
 */
int runStoreOrigin(int Port, const Json &Options);

/**
 * Gives the bytes of a chunk of made-up weights.
 * @param Version Version of the model.
 * @param Number Place of the chunk.
 * @param Size Its size in bytes.
 * @return The bytes, other ones for each version and place unless
 * setSameChunks() says otherwise.
 */
std::string chunkOfWeights(uint64_t Version, uint64_t Number, size_t Size);

/**
 * Sets which chunks are the same as others.
 * @param Versions For a version, as a string, a list with version and place
 * whose bytes the chunk at each of its places has.
 */
void setSameChunks(const Json &Versions);

/**
 * Runs a fault-injecting TCP proxy.
 * @param Port Port of its /control.
 * @param Options "target": "IP:port", and start values.
 * @return Exit code.
 */
int runProxy(int Port, const Json &Options);

} // namespace jacinthpond::standin

#endif

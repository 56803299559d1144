/** @file http_backends.h Back ends and platform over HTTP, by cpp-httplib. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_HTTP_BACKENDS_H
#define JACINTHPOND_ADAPTERS_HTTP_HTTP_BACKENDS_H

#include "engine_port.h"
#include "platform_port.h"
#include "service_port.h"

#include <string>

namespace jacinthpond {

/** A model engine over HTTP with server-sent events. */
class HttpEngine final : public EnginePort {
public:
  /**
   * Names the engine; nothing is sent yet.
   * @param At "http://IP:port".
   */
  explicit HttpEngine(std::string At) : Url(std::move(At)) {}
  Result<EngineEnd>
  generate(const EngineRequest &Request,
           const std::function<bool(Digest)> &OnBegin,
           const std::function<bool(std::string)> &OnToken) override;
  Result<EngineState> state() override;
  Result<void> stage(const ChunkRef &Chunk, const std::string &Bytes) override;
  Result<std::string> staged(const ChunkRef &Chunk) override;
  Result<void> load(const LoadOrder &Order, const LoadSteps &Steps) override;

private:
  std::string Url;
};

/** A plain service over HTTP. */
class HttpService final : public ServicePort {
public:
  /**
   * Names the service; nothing is sent yet.
   * @param At "http://IP:port".
   */
  explicit HttpService(std::string At) : Url(std::move(At)) {}
  Result<ServiceAnswer> call(const ServiceCall &Call) override;
  Result<std::string> ping() override;

private:
  std::string Url;
};

/** The configuration service over HTTP. */
class HttpConfig final : public ConfigPort {
public:
  /**
   * Names the service; nothing is sent yet.
   * @param At "http://IP:port".
   */
  explicit HttpConfig(std::string At) : Url(std::move(At)) {}
  Result<std::string> watch(ConfigVersion After, const Digest &InForce,
                            Millis Wait) override;

private:
  std::string Url;
};

/** The host list over HTTP. */
class HttpHosts final : public HostsPort {
public:
  /**
   * Names the service; nothing is sent yet.
   * @param At "http://IP:port".
   */
  explicit HttpHosts(std::string At) : Url(std::move(At)) {}
  Result<HostStates> hosts() override;

private:
  std::string Url;
};

/** The origin of weights over HTTP. */
class HttpOrigin final : public OriginPort {
public:
  /**
   * Names the origin; nothing is sent yet.
   * @param At "http://IP:port".
   */
  explicit HttpOrigin(std::string At) : Url(std::move(At)) {}
  Result<std::string> fetch(const ChunkRef &Chunk) override;
  Result<ChunkList> list(const ChunkRef &Version) override;

private:
  std::string Url;
};

} // namespace jacinthpond

#endif

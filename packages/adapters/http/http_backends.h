/** @file http_backends.h HTTP clients of back ends and platform services. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_HTTP_BACKENDS_H
#define JACINTHPOND_ADAPTERS_HTTP_HTTP_BACKENDS_H

#include "engine_port.h"
#include "http/open_requests.h"
#include "platform_port.h"
#include "service_port.h"

#include <string>

namespace jacinthpond {

/** Client of a model engine over HTTP with server-sent events. */
class HttpEngine final : public EnginePort {
public:
  /**
   * Creates a client; each request makes a connection of its own.
   * @param BaseUrl "http://IP:port".
   */
  explicit HttpEngine(std::string BaseUrl) : Url(std::move(BaseUrl)) {}
  Result<EngineEnd>
  generate(const EngineRequest &Request,
           const std::function<bool(Digest)> &OnBegin,
           const std::function<bool(std::string)> &OnToken) override;
  Result<EngineState> state() override;
  Result<void> stage(const ChunkRef &Chunk, const std::string &Bytes) override;
  Result<std::string> readStagedContent(const ChunkRef &Chunk) override;
  Result<void> load(const LoadOrder &Order,
                    const LoadCallbacks &Steps) override;

private:
  std::string Url;
};

/** Client of a service over HTTP. */
class HttpService final : public ServicePort {
public:
  /**
   * Creates a client; each request makes a connection of its own.
   * @param BaseUrl "http://IP:port".
   */
  explicit HttpService(std::string BaseUrl) : Url(std::move(BaseUrl)) {}
  Result<ServiceAnswer> call(const ServiceCall &Call) override;
  Result<std::string> ping() override;

private:
  std::string Url;
};

/** Client of the configuration service over HTTP. */
class HttpConfig final : public ConfigPort {
public:
  /**
   * Creates a client; each request makes a connection of its own.
   * @param BaseUrl "http://IP:port".
   */
  explicit HttpConfig(std::string BaseUrl) : Url(std::move(BaseUrl)) {}
  Result<std::string> watch(ConfigVersion After, const Digest &InForce,
                            Millis Wait) override;

private:
  std::string Url;
};

/** Client of the host list over HTTP. */
class HttpHosts final : public HostsPort {
public:
  /**
   * Creates a client; each request makes a connection of its own.
   * @param BaseUrl "http://IP:port".
   */
  explicit HttpHosts(std::string BaseUrl) : Url(std::move(BaseUrl)) {}
  Result<HostStates> hosts() override;

private:
  std::string Url;
};

/** Client of the origin of weights over HTTP. */
class HttpOrigin final : public OriginPort {
public:
  /**
   * Creates a client; each request makes a connection of its own.
   * @param BaseUrl "http://IP:port".
   */
  explicit HttpOrigin(std::string BaseUrl) : Url(std::move(BaseUrl)) {}
  Result<std::string> fetch(const ChunkRef &Chunk) override;
  void cancelFetches() override { Fetches.stopAll(); }
  Result<ChunkList> list(const ChunkRef &Version) override;

private:
  std::string Url;
  OpenRequests Fetches;
};

} // namespace jacinthpond

#endif

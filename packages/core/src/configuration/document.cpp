/** @file document.cpp Validates documents and looks up their elements. */

#include "configuration/document_func.h"

#include "base/hash_func.h"
#include "base/json_reader.h"
#include "table/route_table.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Largest values allowed in a document; times in milliseconds. */
constexpr int64_t MaxMillis = 24LL * 3600 * 1000;
constexpr int64_t MaxPriority = 100;
constexpr int64_t MaxWeight = 1000;
constexpr int64_t MaxChunkBytes = 8 << 20;
constexpr int64_t MaxTotalBytes = int64_t{1} << 40;
/** Longest lists; well above the fleet size that the system is designed for. */
constexpr size_t MaxClasses = 256;
constexpr size_t MaxEntries = 2000;
constexpr size_t MaxTeams = 1000;
constexpr int64_t MaxConnectionsAllowed = 1000000;

/** Limits on routes, services, workspaces, models, domains and callers. */
struct ValueLimits {
  size_t TextBytes;     ///< Longest text.
  size_t Workspaces;    ///< Longest list of workspaces.
  size_t Routes;        ///< Longest list of routes.
  size_t Services;      ///< Longest list of services.
  size_t Models;        ///< Longest list of models.
  size_t Domains;       ///< Longest list of failure domains.
  size_t Targets;       ///< Most targets of a route.
  int64_t Times;        ///< Longest time, in milliseconds.
  int64_t Rank;         ///< Least urgent rank.
  int64_t Attempts;     ///< Most attempts for a request.
  int64_t Connections;  ///< Most connections to a back end.
  int64_t MinHeadBytes; ///< Smallest bound on a request's head.
  int64_t HeadBytes;    ///< Largest bound on a request's head.
  int64_t BodyBytes;    ///< Largest bound on a request's body.
  double RouteWeight;   ///< Largest weight of a target.
  double TokenRate;     ///< Most prompt tokens a second.
  double ColdRate;      ///< Most requests a second to a cold back end.
};

/** Limits for documents that people write: beyond them, it's a mistake. */
constexpr ValueLimits WrittenLimits = {.TextBytes = MaxTextBytes,
                                       .Workspaces = 10000,
                                       .Routes = 20000,
                                       .Services = 1000,
                                       .Models = 256,
                                       .Domains = 1000,
                                       .Targets = 64,
                                       .Times = MaxMillis,
                                       .Rank = MaxPriority,
                                       .Attempts = 16,
                                       .Connections = MaxConnectionsAllowed,
                                       .MinHeadBytes = 256,
                                       .HeadBytes = MaxChunkBytes,
                                       .BodyBytes = int64_t{1} << 30,
                                       .RouteWeight = 1000000,
                                       .TokenRate = 1e9,
                                       .ColdRate = MaxConnectionsAllowed};

/** Limits for generated documents: what the types hold. The length of the
 * document bounds its lists. */
constexpr ValueLimits GeneratedLimits = {.TextBytes = 64 << 10,
                                         .Workspaces = MaxDocumentBytes,
                                         .Routes = MaxDocumentBytes,
                                         .Services = MaxDocumentBytes,
                                         .Models = MaxDocumentBytes,
                                         .Domains = MaxDocumentBytes,
                                         .Targets = MaxDocumentBytes,
                                         .Times = MaxGeneratedNumber,
                                         .Rank = MaxGeneratedNumber,
                                         .Attempts = MaxGeneratedNumber,
                                         .Connections = MaxGeneratedNumber,
                                         .MinHeadBytes = 1,
                                         .HeadBytes = MaxGeneratedNumber,
                                         .BodyBytes = MaxGeneratedNumber,
                                         .RouteWeight = MaxGeneratedNumber,
                                         .TokenRate = MaxGeneratedNumber,
                                         .ColdRate = MaxGeneratedNumber};

/** Gives the limits for documents of an origin. */
const ValueLimits &limitsFor(DocumentOrigin Origin) {
  return Origin == DocumentOrigin::Generated ? GeneratedLimits : WrittenLimits;
}

/** Gives the path of a list's element, such as "workers[3]". */
std::string elementPath(const char *List, size_t n) {
  return std::string(List) + "[" + std::to_string(n) + "]";
}

/** Reads a list of objects, each with ReadOne, and reports unknown keys. */
template <typename T, typename Function>
std::vector<T> readList(ObjectReader &Root, const char *Key, size_t Max,
                        const ValueLimits &Limits, Function &&ReadOne) {
  std::vector<T> All;
  for (const Json *Element : Root.listElements(Key, Max)) {
    ObjectReader Reader(*Element, elementPath(Key, All.size()),
                        Root.errorList(), Limits.TextBytes);
    All.push_back(ReadOne(Reader));
    Reader.rejectUnknownKeys();
  }
  return All;
}

/** Reads an enum value by its name; Names lists them in enum order. */
template <typename Enum, size_t Size>
Enum readEnum(ObjectReader &Reader, const char *Key,
              const std::array<std::string_view, Size> &Names) {
  const std::string Word = Reader.readText(Key, true);
  const auto it = std::ranges::find(Names, Word);
  if (it != Names.end())
    return static_cast<Enum>(it - Names.begin());
  Reader.addError(Key, "\"" + Word + "\"", "another word");
  return static_cast<Enum>(0);
}

/** Turns texts into a set of typed names. */
template <typename Id>
std::set<Id> toIdSet(const std::vector<std::string> &From) {
  std::set<Id> Ids;
  std::ranges::transform(From, std::inserter(Ids, Ids.end()),
                         [](const std::string &Text) { return Id{Text}; });
  return Ids;
}

/** Reads a class of work; it has either a model or a service. */
WorkClass readClass(ObjectReader &Reader) {
  WorkClass Class;
  Class.Name.Value = Reader.readText("name", true);
  Class.Model.Value = Reader.readText("model", false);
  Class.Service.Value = Reader.readText("service", false);
  if (Class.Model.Value.empty() == Class.Service.Value.empty())
    Reader.addError("model", "both or none of model and service",
                    "one of them");
  Class.Kind =
      Class.Model.Value.empty() ? BackEndKind::Service : BackEndKind::Model;
  Class.Repeatable = Reader.readBool("repeatable", true);
  if (!Class.Repeatable && Class.Kind == BackEndKind::Model)
    Reader.addError("repeatable", "false", "true for a class with a model");
  Class.Priority = static_cast<uint32_t>(
      Reader.readInteger("priority", false, 1, 1, MaxPriority));
  Class.FirstToken = Millis(Reader.readInteger(
      "first_token_ms", false, Class.FirstToken.count(), 1, MaxMillis));
  Class.BetweenTokens = Millis(Reader.readInteger(
      "between_tokens_ms", false, Class.BetweenTokens.count(), 1, MaxMillis));
  Class.Deadline = Millis(Reader.readInteger(
      "deadline_ms", false, Class.Deadline.count(), 1, MaxMillis));
  Class.ServingShare =
      Reader.readNumber("serving_share", Class.ServingShare, 0, 1);
  return Class;
}

/** Reads a workspace. */
Workspace readWorkspace(ObjectReader &Reader, const ValueLimits &Limits) {
  Workspace Parsed;
  Parsed.Name.Value = Reader.readText("name", true);
  Parsed.Weight = static_cast<uint32_t>(
      Reader.readInteger("weight", false, 1, 1, MaxWeight));
  Parsed.Keys = Reader.readSecretList("keys");
  constexpr int64_t NoRank = -1;
  const int64_t Rank =
      Reader.readInteger("rank", false, NoRank, NoRank, Limits.Rank);
  if (Rank != NoRank)
    Parsed.Rank = static_cast<uint32_t>(Rank);
  Parsed.Regions = toIdSet<RegionName>(Reader.readTextList("regions"));
  return Parsed;
}

/** Reads the wanted version of a model, with its chunk list or origin. */
ModelVersion readModel(ObjectReader &Reader) {
  ModelVersion Model;
  Model.Name.Value = Reader.readText("name", true);
  Model.Version = Reader.readText("version", true);
  if (Reader.hasMember("origin")) {
    Model.Origin.Value = Reader.readAddress("origin");
    Model.Set = publishedWeightsId(Model.Name, Model.Version);
    return Model;
  }
  Model.ChunkBytes = static_cast<uint64_t>(
      Reader.readInteger("chunk_bytes", true, 1, 1, MaxChunkBytes));
  Model.TotalBytes = static_cast<uint64_t>(
      Reader.readInteger("total_bytes", true, 1, 1, MaxTotalBytes));
  for (const std::string &Text : Reader.readTextList("chunks")) {
    if (!isDigest(Text))
      Reader.addError("chunks", Text, "SHA-256 digests in lower-case hex");
    Model.Chunks.push_back(Digest{Text});
  }
  const uint64_t Needed =
      (Model.TotalBytes + Model.ChunkBytes - 1) / Model.ChunkBytes;
  if (Model.Chunks.size() != Needed)
    Reader.addError("chunks", std::to_string(Model.Chunks.size()) + " chunks",
                    std::to_string(Needed) + " for this size");
  Model.Set = weightsSetDigest(Model.Chunks);
  return Model;
}

/** Reads a worker; it runs either a model or a service. */
Worker readWorker(ObjectReader &Reader) {
  Worker Host;
  Host.Name.Value = Reader.readText("name", true);
  Host.Domain.Value = Reader.readText("domain", true);
  Host.Agent.Value = Reader.readAddress("agent");
  Host.Model.Value = Reader.readText("model", false);
  Host.Service.Value = Reader.readText("service", false);
  if (Host.Model.Value.empty() == Host.Service.Value.empty())
    Reader.addError("model", "both or none of model and service",
                    "one of them");
  return Host;
}

/** Reads an entry host. */
EntryHost readEntry(ObjectReader &Reader) {
  EntryHost Host;
  Host.Name.Value = Reader.readText("name", true);
  Host.Domain.Value = Reader.readText("domain", true);
  Host.Callers.Value = Reader.readAddress("callers");
  Host.Peers.Value = Reader.readAddress("peers");
  return Host;
}

/** Reads a route and its targets. */
Route readRoute(ObjectReader &Reader, const ValueLimits &Limits) {
  Route One;
  One.Name = Reader.readText("name", true);
  One.Host = Reader.readText("host", true);
  One.Prefix = Reader.readText("prefix", true);
  if (!One.Prefix.starts_with('/') || !One.Prefix.ends_with('/'))
    Reader.addError("prefix", "\"" + One.Prefix + "\"",
                    "a path that begins and ends with a slash");
  One.Kind = readEnum<RouteKind>(Reader, "kind", RouteKindNames);
  One.Resumable = Reader.readBool("resumable", false);
  One.Anonymous = Reader.readBool("anonymous", false);
  One.MaxAttempts = static_cast<uint32_t>(
      Reader.readInteger("max_attempts", false, 1, 1, Limits.Attempts));
  One.Timeout =
      Millis(Reader.readInteger("timeout_ms", true, 0, 1, Limits.Times));
  One.Target =
      Millis(Reader.readInteger("target_ms", false, 0, 0, Limits.Times));
  One.GapTarget =
      Millis(Reader.readInteger("gap_target_ms", false, 0, 0, Limits.Times));
  One.LongestSilence = Millis(
      Reader.readInteger("longest_silence_ms", false, 0, 0, Limits.Times));
  One.Rank = static_cast<uint32_t>(
      Reader.readInteger("rank", false, 0, 0, Limits.Rank));
  One.Regions = toIdSet<RegionName>(Reader.readTextList("regions"));
  for (const Json *Part : Reader.listElements("targets", Limits.Targets)) {
    ObjectReader Row(*Part, Reader.memberPath("targets"), Reader.errorList(),
                     Limits.TextBytes);
    RouteTarget Target;
    Target.Service.Value = Row.readText("service", true);
    Target.Weight = Row.readNumber("weight", 1, 0, Limits.RouteWeight);
    Row.rejectUnknownKeys();
    One.Targets.push_back(Target);
  }
  if (One.Targets.empty())
    Reader.addError("targets", "none", "at least one service");
  return One;
}

/** Reads a service that routes lead to. */
Service readService(ObjectReader &Reader, const ValueLimits &Limits) {
  Service One;
  One.Name.Value = Reader.readText("name", true);
  One.Model.Value = Reader.readText("model", false);
  One.MaxConnections = static_cast<uint32_t>(
      Reader.readInteger("max_connections", false, 0, 0, Limits.Connections));
  One.PromptTokensPerSecond =
      Reader.readNumber("read_tokens_per_second", 0, 0, Limits.TokenRate);
  One.ColdPerSecond =
      Reader.readNumber("cold_per_second", 0, 0, Limits.ColdRate);
  return One;
}

/** Reads a backend server of a service. */
BackEndServer readServer(ObjectReader &Reader) {
  BackEndServer One;
  One.Id.Value = Reader.readText("id", true);
  One.Service.Value = Reader.readText("service", true);
  One.At.Value = Reader.readAddress("at");
  One.Domain.Value = Reader.readText("domain", true);
  One.Slots = static_cast<uint32_t>(
      Reader.readInteger("slots", false, 1, 0, MaxConnectionsAllowed));
  One.Draining = Reader.readBool("draining", false);
  One.ColdFor = Millis(Reader.readInteger("cold_ms", false, 0, 0, MaxMillis));
  One.Weights.Value = Reader.readText("weights", false);
  One.Born = static_cast<uint64_t>(Reader.readInteger(
      "born", false, 0, 0, std::numeric_limits<int64_t>::max()));
  return One;
}

/** Reads the bounds on what callers send. */
CallerLimits readLimits(ObjectReader &Reader, const ValueLimits &Limits) {
  CallerLimits One;
  One.MaxHeadBytes = static_cast<uint32_t>(
      Reader.readInteger("max_head_bytes", false, One.MaxHeadBytes,
                         Limits.MinHeadBytes, Limits.HeadBytes));
  One.MaxBodyBytes = static_cast<uint32_t>(Reader.readInteger(
      "max_body_bytes", false, One.MaxBodyBytes, 0, Limits.BodyBytes));
  One.HeadTimeout = Millis(Reader.readInteger(
      "head_timeout_ms", false, One.HeadTimeout.count(), 1, Limits.Times));
  One.IdleTimeout = Millis(Reader.readInteger(
      "idle_timeout_ms", false, One.IdleTimeout.count(), 1, Limits.Times));
  return One;
}

/** Reads a failure domain and its region. */
std::pair<DomainName, RegionName> readDomain(ObjectReader &Reader) {
  DomainName Domain{Reader.readText("name", true)};
  return {std::move(Domain), RegionName{Reader.readText("region", true)}};
}

/** Reads the region of each failure domain. */
std::map<DomainName, RegionName> readRegions(ObjectReader &Root,
                                             const ValueLimits &Limits) {
  const auto Rows = readList<std::pair<DomainName, RegionName>>(
      Root, "domains", Limits.Domains, Limits, readDomain);
  std::map<DomainName, RegionName> RegionOf;
  for (const auto &[Domain, Region] : Rows)
    RegionOf[Domain] = Region;
  return RegionOf;
}

/** Reads a team of the administration API. */
Team readTeam(ObjectReader &Reader) {
  Team One;
  One.Name = Reader.readText("name", true);
  One.TokenDigest.Value = Reader.readDigest("token_sha256");
  One.Operator = Reader.readBool("operator", false);
  One.Classes = toIdSet<ClassName>(Reader.readTextList("classes"));
  One.Workspaces = toIdSet<WorkspaceName>(Reader.readTextList("tenants"));
  return One;
}

/** Reports each duplicate name in a list. */
template <typename List, typename Projection>
void checkUniqueNames(const List &All, const char *Key, Projection Name,
                      ValidationErrors &Faults) {
  std::set<std::string> Seen;
  for (const auto &Element : All)
    if (!Seen.insert(Name(Element)).second)
      Faults.add(Key, "\"" + Name(Element) + "\" twice", "each name once");
}

/** Reports references to models and domains that the document lacks. */
void checkReferences(const Document &Doc, ValidationErrors &Faults) {
  for (const WorkClass &Class : Doc.Classes)
    if (Class.Kind == BackEndKind::Model &&
        findModel(Doc, Class.Model) == nullptr)
      Faults.add("classes." + Class.Name.Value + ".model", Class.Model.Value,
                 "a model of the document");
  for (const Worker &Host : Doc.Workers)
    if (!Host.Model.Value.empty() && findModel(Doc, Host.Model) == nullptr)
      Faults.add("workers." + Host.Name.Value + ".model", Host.Model.Value,
                 "a model of the document");
  std::set<DomainName> Domains;
  for (const Worker &Host : Doc.Workers)
    Domains.insert(Host.Domain);
  for (const EntryHost &Host : Doc.Entries)
    Domains.insert(Host.Domain);
  for (const auto &[Domain, Region] : Doc.RegionOf)
    Domains.insert(Domain);
  for (const DomainName &Out : Doc.DomainsOut)
    if (!Domains.contains(Out))
      Faults.add("domains_out", "\"" + Out.Value + "\"",
                 "the domain of a worker or entry");
}

/** Reports duplicate names in the lists whose elements have unique names. */
void checkAllNamesUnique(const Document &Doc, ValidationErrors &Faults) {
  const auto Name = [](const auto &Element) { return Element.Name.Value; };
  checkUniqueNames(Doc.Classes, "classes", Name, Faults);
  checkUniqueNames(Doc.Workspaces, "tenants", Name, Faults);
  checkUniqueNames(Doc.Models, "models", Name, Faults);
  checkUniqueNames(Doc.Workers, "workers", Name, Faults);
  checkUniqueNames(Doc.Entries, "entries", Name, Faults);
  checkUniqueNames(
      Doc.Teams, "teams", [](const Team &One) { return One.Name; }, Faults);
}

/** Reads and checks the whole document; appends what is wrong to Faults. */
Document readDocument(const Json &Value, ValidationErrors &Faults) {
  Document Doc;
  ObjectReader Root(Value, "", Faults);
  Doc.Version.Value = static_cast<uint64_t>(Root.readInteger(
      "version", true, 1, 1, std::numeric_limits<int64_t>::max()));
  const DocumentOrigin Origin = Root.readBool("generated", false)
                                    ? DocumentOrigin::Generated
                                    : DocumentOrigin::Written;
  const ValueLimits &Limits = limitsFor(Origin);
  const auto Limited = [&](auto ReadOne) {
    return [&Limits, ReadOne](ObjectReader &Reader) {
      return ReadOne(Reader, Limits);
    };
  };
  Doc.Classes =
      readList<WorkClass>(Root, "classes", MaxClasses, Limits, readClass);
  Doc.Workspaces = readList<Workspace>(Root, "tenants", Limits.Workspaces,
                                       Limits, Limited(readWorkspace));
  Doc.Models =
      readList<ModelVersion>(Root, "models", Limits.Models, Limits, readModel);
  Doc.Workers =
      readList<Worker>(Root, "workers", MaxDocumentServers, Limits, readWorker);
  Doc.Entries =
      readList<EntryHost>(Root, "entries", MaxEntries, Limits, readEntry);
  Doc.DomainsOut = toIdSet<DomainName>(Root.readTextList("domains_out"));
  Doc.Teams = readList<Team>(Root, "teams", MaxTeams, Limits, readTeam);
  Doc.Routes = readList<Route>(Root, "routes", Limits.Routes, Limits,
                               Limited(readRoute));
  Doc.Services = readList<Service>(Root, "services", Limits.Services, Limits,
                                   Limited(readService));
  Doc.Servers = readList<BackEndServer>(Root, "servers", MaxDocumentServers,
                                        Limits, readServer);
  if (const Json *OfCallers = Root.readMember("limits")) {
    ObjectReader Row(*OfCallers, "limits", Faults, Limits.TextBytes);
    Doc.Limits = readLimits(Row, Limits);
    Row.rejectUnknownKeys();
  }
  Doc.RegionOf = readRegions(Root, Limits);
  Doc.RetryHorizon = Millis(Root.readInteger(
      "retry_horizon_ms", false, Doc.RetryHorizon.count(), 100, MaxMillis));
  Root.rejectUnknownKeys();
  checkAllNamesUnique(Doc, Faults);
  checkReferences(Doc, Faults);
  return Doc;
}

/** Reads a part of a document for its faults. */
using PartReader = void (*)(ObjectReader &Reader, const ValueLimits &Limits);

/** The readers of all parts, in the order of DocumentPart. */
constexpr std::array<PartReader, static_cast<size_t>(DocumentPart::Count)>
    PartReaders = {
        [](ObjectReader &Reader, const ValueLimits &Limits) {
          readRoute(Reader, Limits);
        },
        [](ObjectReader &Reader, const ValueLimits &Limits) {
          readService(Reader, Limits);
        },
        [](ObjectReader &Reader, const ValueLimits &Limits) {
          readWorkspace(Reader, Limits);
        },
        [](ObjectReader &Reader, const ValueLimits &) { readModel(Reader); },
        [](ObjectReader &Reader, const ValueLimits &) { readDomain(Reader); },
        [](ObjectReader &Reader, const ValueLimits &) { readServer(Reader); },
        [](ObjectReader &Reader, const ValueLimits &) { readWorker(Reader); },
        [](ObjectReader &Reader, const ValueLimits &Limits) {
          readLimits(Reader, Limits);
        }};

} // namespace

Digest publishedWeightsId(const ModelName &Model, const std::string &Version) {
  return Digest{Model.Value + "@" + Version};
}

Digest weightsSetDigest(const std::vector<Digest> &Chunks) {
  std::string All;
  for (const Digest &Chunk : Chunks)
    All += Chunk.Value;
  return sha256(All);
}

size_t maxParts(DocumentPart Part, DocumentOrigin Origin) {
  const ValueLimits &Limits = limitsFor(Origin);
  switch (Part) {
  case DocumentPart::Route:
    return Limits.Routes;
  case DocumentPart::Service:
    return Limits.Services;
  case DocumentPart::Workspace:
    return Limits.Workspaces;
  case DocumentPart::Model:
    return Limits.Models;
  case DocumentPart::Domain:
    return Limits.Domains;
  case DocumentPart::Server:
  case DocumentPart::Worker:
    return MaxDocumentServers;
  case DocumentPart::Limits:
  case DocumentPart::Count:
    break;
  }
  return 1;
}

std::string partErrors(DocumentPart Part, const Json &Value,
                       DocumentOrigin Origin) {
  const ValueLimits &Limits = limitsFor(Origin);
  ValidationErrors Faults;
  ObjectReader Reader(Value, "", Faults, Limits.TextBytes);
  PartReaders.at(static_cast<size_t>(Part))(Reader, Limits);
  Reader.rejectUnknownKeys();
  return Faults.joinErrors();
}

Result<DocumentPtr> parseDocument(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    return fail(ErrorKind::InvalidDocument,
                "document: found " + std::to_string(Text.size()) +
                    " bytes, allowed: " + std::to_string(MaxDocumentBytes));
  BOOST_LEAF_AUTO(Value,
                  parseJson(Text, "document", ErrorKind::InvalidDocument));
  ValidationErrors Faults;
  Document Doc = readDocument(Value, Faults);
  if (!Faults.Lines.empty())
    return fail(ErrorKind::InvalidDocument, Faults.joinErrors());
  Doc.Text = std::string(Text);
  Doc.ContentDigest = sha256(Text);
  return std::make_shared<const Document>(std::move(Doc));
}

namespace {

/** Finds the element with a name; null when there is none. */
template <typename List, typename Id>
auto findByName(const List &All, const Id &Name) -> decltype(All.data()) {
  const auto it = std::ranges::find_if(
      All, [&](const auto &Element) { return Element.Name == Name; });
  return it == All.end() ? nullptr : &*it;
}

} // namespace

const WorkClass *findClass(const Document &Doc, const ClassName &Name) {
  return findByName(Doc.Classes, Name);
}

const ModelVersion *findModel(const Document &Doc, const ModelName &Name) {
  return findByName(Doc.Models, Name);
}

const Worker *findWorker(const Document &Doc, const HostName &Name) {
  return findByName(Doc.Workers, Name);
}

bool servesClass(const Worker &Host, const WorkClass &Class) {
  if (Class.Kind == BackEndKind::Model)
    return Host.Model == Class.Model;
  return Host.Service == Class.Service;
}

std::vector<const Worker *> workersOf(const Document &Doc,
                                      const WorkClass &Class) {
  std::vector<const Worker *> Found;
  for (const Worker &Host : Doc.Workers)
    if (servesClass(Host, Class))
      Found.push_back(&Host);
  return Found;
}

} // namespace jacinthpond

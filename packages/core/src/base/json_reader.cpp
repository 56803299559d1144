/** @file json_reader.cpp Reads and validates values of JSON objects. */

#include "base/json_reader.h"

#include "base/address_func.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Longest excerpt of an invalid value that an error quotes, in bytes. */
constexpr size_t MaxExcerpt = 60;
/** Largest edit distance at which a known name is suggested. */
constexpr size_t MaxTypingErrors = 3;
/** Maximum nesting of lists and objects: the library prints values
 * recursively, which would overflow the stack. */
constexpr int MaxDepth = 32;
constexpr size_t DigestHexDigits = 64;

/** Says whether a text has control characters, which would corrupt headers,
 * logs and tables. */
bool hasControlCharacters(const std::string &Text) {
  return std::ranges::any_of(Text,
                             [](unsigned char c) { return std::iscntrl(c); });
}

/** Cuts the library's message down to " (at line L, column C)". What follows
 * quotes the text. */
std::string positionIn(const std::string &Message) {
  const size_t At = Message.find("at line");
  if (At == std::string::npos)
    return "";
  return " (" + Message.substr(At, Message.find(':', At) - At) + ")";
}

/** Formats a value as JSON, cut to MaxExcerpt bytes. */
std::string excerpt(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxExcerpt)
    Text = Text.substr(0, MaxExcerpt) + "...";
  return Text;
}

/** Computes the Levenshtein distance of two texts. */
size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), size_t{0});
  for (size_t i = 0; i < A.size(); ++i) {
    size_t Diagonal = Row[0];
    Row[0] = i + 1;
    for (size_t j = 0; j < B.size(); ++j) {
      const size_t Replaced = Diagonal + (A[i] == B[j] ? 0 : 1);
      Diagonal = Row[j + 1];
      Row[j + 1] = std::min({Replaced, Row[j] + 1, Row[j + 1] + 1});
    }
  }
  return Row.back();
}

/** Collects keys that occur more than once in one object; the parser would keep
 * only one of their values. */
class DuplicateKeyFinder {
public:
  explicit DuplicateKeyFinder(std::set<std::string> &Into) : Duplicates(Into) {}

  /** Handles a parse event; must get all events of a text in order. */
  void handleEvent(Json::parse_event_t Event, const Json &Value) {
    if (Event == Json::parse_event_t::object_start)
      Open.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      Open.pop_back();
    else if (Event == Json::parse_event_t::key &&
             !Open.back().insert(Value.get<std::string>()).second)
      Duplicates.insert(Value.get<std::string>());
  }

private:
  std::set<std::string> &Duplicates;
  std::vector<std::set<std::string>> Open; ///< Keys of each enclosing object.
};

} // namespace

void ValidationErrors::add(const std::string &Path, const std::string &Found,
                           const std::string &Allowed) {
  Lines.push_back(Path + ": found " + Found + ", allowed: " + Allowed);
}

std::string ValidationErrors::joinErrors() const {
  std::string All;
  for (const std::string &Line : Lines)
    All += (All.empty() ? "" : "\n") + Line;
  return All;
}

Result<Json> parseJson(std::string_view Text, const std::string &What,
                       ErrorKind Kind, std::set<std::string> *Duplicates) {
  bool TooDeep = false;
  std::set<std::string> Ignored;
  DuplicateKeyFinder Finder(Duplicates == nullptr ? Ignored : *Duplicates);
  const auto OnParseEvent = [&](int Depth, Json::parse_event_t Event,
                                Json &Value) {
    TooDeep = TooDeep || Depth > MaxDepth;
    if (Duplicates != nullptr && !TooDeep)
      Finder.handleEvent(Event, Value);
    return !TooDeep;
  };
  try {
    Json Value =
        Json::parse(Text.begin(), Text.end(), OnParseEvent, true, true);
    if (!TooDeep)
      return Value;
    return fail(Kind, What + ": found deeper nesting than allowed: " +
                          std::to_string(MaxDepth));
  } catch (const Json::parse_error &Error) {
    return fail(Kind, What + ": found text that is no JSON" +
                          positionIn(Error.what()) +
                          ", allowed: JSON with comments");
  }
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestHexDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

ObjectReader::ObjectReader(const Json &Value, std::string ObjectPath,
                           ValidationErrors &Into, size_t LongestText)
    : Object(Value.is_object() ? &Value : nullptr), Path(std::move(ObjectPath)),
      Errors(&Into), LongestText(LongestText) {
  if (Object == nullptr) // Not quoted: it may be a secret.
    Errors->add(Path.empty() ? "document" : Path, Value.type_name(),
                "an object");
}

bool ObjectReader::isSafeText(const Json &Value) const {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  return Text.size() <= LongestText && !hasControlCharacters(Text);
}

std::string ObjectReader::memberPath(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

void ObjectReader::addError(const char *Key, const std::string &Found,
                            const std::string &Allowed) {
  Errors->add(memberPath(Key), Found, Allowed);
}

const Json *ObjectReader::lookUpMember(const char *Key, bool Required,
                                       const char *Allowed) {
  Known.emplace_back(Key);
  if (Object == nullptr)
    return nullptr;
  const auto it = Object->find(Key);
  if (it != Object->end())
    return &*it;
  if (Required)
    addError(Key, "nothing", Allowed);
  return nullptr;
}

std::string ObjectReader::readText(const char *Key, bool Required,
                                   const std::string &Default) {
  const Json *Value = lookUpMember(Key, Required, "a text");
  if (Value == nullptr)
    return Default;
  if (isSafeText(*Value) &&
      !(Required && Value->get_ref<const std::string &>().empty()))
    return Value->get<std::string>();
  addError(Key, excerpt(*Value),
           std::string(Required ? "a text that is not empty" : "a text") +
               ", of at most " + std::to_string(LongestText) +
               " bytes without control characters");
  return Default;
}

std::string ObjectReader::readDigest(const char *Key) {
  const Json *Value =
      lookUpMember(Key, true, "a SHA-256 digest in lower-case hex");
  if (Value == nullptr)
    return "";
  if (Value->is_string() && isDigest(Value->get_ref<const std::string &>()))
    return Value->get<std::string>();
  addError(Key, "something else", "a SHA-256 digest in lower-case hex");
  return "";
}

std::string ObjectReader::readAddress(const char *Key) {
  std::string Text = readText(Key, true);
  if (!Text.empty() && !isAddress(Text, false))
    addError(Key, "\"" + Text + "\"", "IP:port with an IPv4 number");
  return Text;
}

int64_t ObjectReader::readInteger(const char *Key, bool Required,
                                  int64_t Default, int64_t Min, int64_t Max) {
  const auto Allowed = [&] {
    return "a whole number from " + std::to_string(Min) + " to " +
           std::to_string(Max);
  };
  const Json *Value = lookUpMember(Key, false, "");
  if (Value == nullptr) {
    if (Required && Object != nullptr)
      addError(Key, "nothing", Allowed());
    return Default;
  }
  const bool Fits =
      Value->is_number_integer() &&
      !(Value->is_number_unsigned() &&
        Value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  if (Fits && Value->get<int64_t>() >= Min && Value->get<int64_t>() <= Max)
    return Value->get<int64_t>();
  addError(Key, excerpt(*Value), Allowed());
  return Default;
}

double ObjectReader::readNumber(const char *Key, double Default, double Min,
                                double Max) {
  const Json *Value = lookUpMember(Key, false, "");
  if (Value == nullptr)
    return Default;
  if (Value->is_number() && Value->get<double>() >= Min &&
      Value->get<double>() <= Max)
    return Value->get<double>();
  addError(Key, excerpt(*Value),
           "a number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
  return Default;
}

bool ObjectReader::readBool(const char *Key, bool Default) {
  const Json *Value = lookUpMember(Key, false, "");
  if (Value == nullptr)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  addError(Key, excerpt(*Value), "true or false");
  return Default;
}

const Json *ObjectReader::readMember(const char *Key) {
  return lookUpMember(Key, false, "");
}

bool ObjectReader::hasMember(const char *Key) const {
  return Object != nullptr && Object->contains(Key);
}

std::vector<const Json *> ObjectReader::listElements(const char *Key,
                                                     size_t Max) {
  std::vector<const Json *> Elements;
  const Json *Value = lookUpMember(Key, false, "");
  if (Value == nullptr)
    return Elements;
  if (!Value->is_array()) {
    addError(Key, Value->type_name(), "a list");
    return Elements;
  }
  if (Value->size() > Max) {
    addError(Key, std::to_string(Value->size()) + " elements",
             "at most " + std::to_string(Max));
    return Elements;
  }
  Elements.reserve(Value->size());
  for (const Json &Element : *Value)
    Elements.push_back(&Element);
  return Elements;
}

std::vector<std::string> ObjectReader::readTextList(const char *Key) {
  return readTexts(Key, [](const Json &Bad) { return excerpt(Bad); });
}

std::vector<std::string> ObjectReader::readSecretList(const char *Key) {
  return readTexts(Key, [](const Json &) { return "something else"; });
}

std::vector<std::string>
ObjectReader::readTexts(const char *Key,
                        const std::function<std::string(const Json &)> &Quote) {
  std::vector<std::string> Texts;
  for (const Json *Element : listElements(Key)) {
    if (isSafeText(*Element))
      Texts.push_back(Element->get<std::string>());
    else
      addError(Key, Quote(*Element), "a list of plain texts");
  }
  return Texts;
}

void ObjectReader::rejectUnknownKeys() {
  if (Object == nullptr)
    return;
  for (const auto &Member : Object->items()) {
    if (std::ranges::find(Known, Member.key()) != Known.end())
      continue;
    const std::string Near = nearestName(Member.key(), Known);
    addError(Member.key().c_str(), "an unknown key",
             Near.empty() ? "no such key" : "did you mean \"" + Near + "\"?");
  }
}

std::string nearestName(std::string_view Wrong,
                        const std::vector<std::string> &Names) {
  const auto it =
      std::ranges::min_element(Names, {}, [&](const std::string &Name) {
        return editDistance(Wrong, Name);
      });
  if (it == Names.end() || editDistance(Wrong, *it) > MaxTypingErrors)
    return "";
  return *it;
}

} // namespace jacinthpond

/** @file status_view.cpp Answers of the administration API as text tables. */

#include "status_view.h"

#include <algorithm>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

using Cells = std::vector<std::string>;

/** Width of a progress bar, in characters. */
constexpr size_t BarWidth = 20;
/** Digits of a digest that are shown; enough to distinguish digests. */
constexpr size_t ShortDigestLength = 12;
constexpr int64_t MillisPerSecond = 1000;

/** Formats a field of a row; "-" when it is missing or empty. */
std::string fieldText(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  if (it == Row.end())
    return "-";
  if (!it->is_string())
    return it->dump();
  const auto &Text = it->get_ref<const std::string &>();
  return Text.empty() ? "-" : Text;
}

/** Returns the first digits of a digest. */
std::string shortDigest(const Json &Row, const char *Key) {
  return fieldText(Row, Key).substr(0, ShortDigestLength);
}

/** Returns a number of a row; 0 when it is missing or not unsigned. */
uint64_t fieldNumber(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  return it != Row.end() && it->is_number_unsigned() ? it->get<uint64_t>() : 0;
}

/** Formats a time in milliseconds as whole seconds; "-" when it is missing. */
std::string fieldSeconds(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  if (it == Row.end() || !it->is_number_integer())
    return "-";
  return std::to_string(it->get<int64_t>() / MillisPerSecond) + " s";
}

/** Returns the rows of a list; an empty list when the answer lacks it. */
const Json &fieldRows(const Json &Status, const char *Key) {
  static const Json Empty = Json::array();
  const auto it = Status.find(Key);
  return it != Status.end() && it->is_array() ? *it : Empty;
}

/** Formats a list as a table; ToCells turns an element into a row. */
template <typename Function>
std::string formatTable(const Json &List, Cells Heading, Function &&ToCells) {
  std::vector<Cells> Rows{std::move(Heading)};
  std::ranges::transform(List, std::back_inserter(Rows), ToCells);
  return alignColumns(Rows);
}

/** Formats the models and how far their weights have spread. */
std::string modelsText(const Json &Status) {
  return formatTable(
      fieldRows(Status, "models"),
      {"MODEL", "VERSION", "WEIGHTS", "LOADED", "TRANSFER"},
      [](const Json &Row) -> Cells {
        return {fieldText(Row, "name"), fieldText(Row, "version"),
                shortDigest(Row, "weights"),
                fieldText(Row, "loaded") + "/" + fieldText(Row, "workers"),
                progressBar(fieldNumber(Row, "chunks_held"),
                            fieldNumber(Row, "chunks_wanted"))};
      });
}

/** Formats the classes with their workers and requests. */
std::string classesText(const Json &Status) {
  return formatTable(
      fieldRows(Status, "classes"),
      {"CLASS", "SERVING", "RUNNING", "LIMIT", "WAITING"},
      [](const Json &Row) -> Cells {
        return {fieldText(Row, "name"),
                fieldText(Row, "serving") + "/" + fieldText(Row, "workers"),
                fieldText(Row, "running"), fieldText(Row, "limit"),
                fieldText(Row, "waiting")};
      });
}

/** Formats the workers with their load and weights. */
std::string workersText(const Json &Status) {
  return formatTable(
      fieldRows(Status, "workers"),
      {"WORKER", "DOMAIN", "STATE", "RUNNING", "LIMIT", "WAITING", "WEIGHTS",
       "TRANSFER"},
      [](const Json &Row) -> Cells {
        const uint64_t Wanted = fieldNumber(Row, "chunks_wanted");
        return {fieldText(Row, "name"),
                fieldText(Row, "domain"),
                fieldText(Row, "state"),
                fieldText(Row, "running"),
                fieldText(Row, "limit"),
                fieldText(Row, "waiting"),
                shortDigest(Row, "weights"),
                Wanted == 0
                    ? "-"
                    : progressBar(fieldNumber(Row, "chunks_held"), Wanted)};
      });
}

/** Joins names; each has a space in front. */
std::string joinNames(const Json &List) {
  std::string All;
  for (const Json &One : List)
    if (One.is_string())
      All += " " + One.get<std::string>();
  return All;
}

} // namespace

std::string progressBar(uint64_t Done, uint64_t All) {
  constexpr uint64_t Hundred = 100;
  // Rounded down, so that 100% and a full bar are shown only when all is done.
  const uint64_t Capped = std::min(Done, All);
  const size_t FilledWidth = All == 0 ? BarWidth : Capped * BarWidth / All;
  const std::string Percent =
      std::to_string(All == 0 ? Hundred : Capped * Hundred / All);
  return "[" + std::string(FilledWidth, '#') +
         std::string(BarWidth - FilledWidth, '.') + "] " +
         std::string(3 - Percent.size(), ' ') + Percent + "%";
}

std::string alignColumns(const std::vector<Cells> &Rows) {
  std::vector<size_t> Widths;
  for (const Cells &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (size_t n = 0; n < Row.size(); ++n)
      Widths[n] = std::max(Widths[n], Row[n].size());
  }
  std::string Text;
  for (const Cells &Row : Rows) {
    std::string Line;
    for (size_t n = 0; n < Row.size(); ++n)
      Line += Row[n] + std::string(Widths[n] - Row[n].size() + 2, ' ');
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

std::string statusText(const Json &Status) {
  const Json Self = Status.value("entry", Json::object());
  return fieldText(Self, "name") + ": version " + fieldText(Self, "version") +
         " (" + shortDigest(Self, "digest") + ") in force for " +
         fieldSeconds(Self, "in_force_ms") + ", " +
         fieldText(Status, "open_requests") + " requests open\n\n" +
         domainsText(Status) + "\n" + modelsText(Status) + "\n" +
         classesText(Status) + "\n" + workersText(Status);
}

std::string domainsText(const Json &Status) {
  return formatTable(fieldRows(Status, "domains"),
                     {"DOMAIN", "STATE", "SERVING", "UNSEEN", "RUNNING",
                      "WAITING", "REMAINING"},
                     [](const Json &Row) -> Cells {
                       return {fieldText(Row, "name"),
                               Row.value("out", false) ? "out" : "in",
                               fieldText(Row, "serving") + "/" +
                                   fieldText(Row, "workers"),
                               fieldText(Row, "unseen"),
                               fieldText(Row, "running"),
                               fieldText(Row, "waiting"),
                               fieldText(Row, "remaining")};
                     });
}

std::string configText(const Json &Status) {
  return formatTable(
      fieldRows(Status, "processes"),
      {"PROCESS", "KIND", "DOMAIN", "VERSION", "DIGEST", "SINCE"},
      [](const Json &Row) -> Cells {
        if (!Row.value("seen", false))
          return {fieldText(Row, "name"), fieldText(Row, "kind"),
                  fieldText(Row, "domain"), "unseen"};
        return {fieldText(Row, "name"),     fieldText(Row, "kind"),
                fieldText(Row, "domain"),   fieldText(Row, "version"),
                shortDigest(Row, "digest"), fieldSeconds(Row, "in_force_ms")};
      });
}

std::string changeText(const Json &Change) {
  std::string Text = "version " + fieldText(Change, "in_force") + " -> " +
                     fieldText(Change, "candidate") +
                     (Change.value("would_apply", false)
                          ? ""
                          : " (would not apply: not above that in force)") +
                     "\n";
  const Json Lists = Change.value("changes", Json::object());
  for (const auto &List : Lists.items())
    for (const char *What : {"added", "removed", "changed"})
      if (const std::string Names = joinNames(fieldRows(List.value(), What));
          !Names.empty())
        Text += List.key() + " " + What + ":" + Names + "\n";
  return Text + "workers that would load new weights: " +
         fieldText(Change, "workers_to_load") + "\n";
}

} // namespace jacinthpond

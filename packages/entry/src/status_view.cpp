/** @file status_view.cpp The administration API's answers for people. */

#include "status_view.h"

#include <algorithm>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

using Cells = std::vector<std::string>;

constexpr size_t BarWidth = 20;
/** Digits of a digest that are shown; enough to tell two apart. */
constexpr size_t ShownDigits = 12;
constexpr int64_t MillisPerSecond = 1000;

std::string textOf(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  if (it == Row.end())
    return "-";
  if (!it->is_string())
    return it->dump();
  const auto &Text = it->get_ref<const std::string &>();
  return Text.empty() ? "-" : Text;
}

std::string shortDigest(const Json &Row, const char *Key) {
  return textOf(Row, Key).substr(0, ShownDigits);
}

uint64_t numberOf(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  return it != Row.end() && it->is_number_unsigned() ? it->get<uint64_t>() : 0;
}

std::string secondsOf(const Json &Row, const char *Key) {
  const auto it = Row.find(Key);
  if (it == Row.end() || !it->is_number_integer())
    return "-";
  return std::to_string(it->get<int64_t>() / MillisPerSecond) + " s";
}

/** Gives a list's rows; empty when the answer lacks it. */
const Json &listOf(const Json &Status, const char *Key) {
  static const Json Nothing = Json::array();
  const auto it = Status.find(Key);
  return it != Status.end() && it->is_array() ? *it : Nothing;
}

template <typename Function>
std::string table(const Json &List, Cells Heading, Function &&RowOf) {
  std::vector<Cells> Rows{std::move(Heading)};
  std::ranges::transform(List, std::back_inserter(Rows), RowOf);
  return alignColumns(Rows);
}

std::string modelsText(const Json &Status) {
  return table(listOf(Status, "models"),
               {"MODEL", "VERSION", "WEIGHTS", "LOADED", "TRANSFER"},
               [](const Json &Row) -> Cells {
                 return {textOf(Row, "name"), textOf(Row, "version"),
                         shortDigest(Row, "weights"),
                         textOf(Row, "loaded") + "/" + textOf(Row, "workers"),
                         progressBar(numberOf(Row, "chunks_held"),
                                     numberOf(Row, "chunks_wanted"))};
               });
}

std::string classesText(const Json &Status) {
  return table(listOf(Status, "classes"),
               {"CLASS", "SERVING", "RUNNING", "LIMIT", "WAITING"},
               [](const Json &Row) -> Cells {
                 return {textOf(Row, "name"),
                         textOf(Row, "serving") + "/" + textOf(Row, "workers"),
                         textOf(Row, "running"), textOf(Row, "limit"),
                         textOf(Row, "waiting")};
               });
}

std::string workersText(const Json &Status) {
  return table(listOf(Status, "workers"),
               {"WORKER", "DOMAIN", "STATE", "RUNNING", "LIMIT", "WAITING",
                "WEIGHTS", "TRANSFER"},
               [](const Json &Row) -> Cells {
                 const uint64_t Wanted = numberOf(Row, "chunks_wanted");
                 return {textOf(Row, "name"),
                         textOf(Row, "domain"),
                         textOf(Row, "state"),
                         textOf(Row, "running"),
                         textOf(Row, "limit"),
                         textOf(Row, "waiting"),
                         shortDigest(Row, "weights"),
                         Wanted == 0 ? "-"
                                     : progressBar(numberOf(Row, "chunks_held"),
                                                   Wanted)};
               });
}

std::string namesOf(const Json &List) {
  std::string All;
  for (const Json &One : List)
    if (One.is_string())
      All += " " + One.get<std::string>();
  return All;
}

} // namespace

std::string progressBar(uint64_t Done, uint64_t All) {
  constexpr uint64_t Hundred = 100;
  // Rounded down: only what is whole may look whole.
  const uint64_t Kept = std::min(Done, All);
  const size_t Full = All == 0 ? BarWidth : Kept * BarWidth / All;
  const std::string Share =
      std::to_string(All == 0 ? Hundred : Kept * Hundred / All);
  return "[" + std::string(Full, '#') + std::string(BarWidth - Full, '.') +
         "] " + std::string(3 - Share.size(), ' ') + Share + "%";
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
  return textOf(Self, "name") + ": version " + textOf(Self, "version") + " (" +
         shortDigest(Self, "digest") + ") in force for " +
         secondsOf(Self, "in_force_ms") + ", " +
         textOf(Status, "open_requests") + " requests open\n\n" +
         domainsText(Status) + "\n" + modelsText(Status) + "\n" +
         classesText(Status) + "\n" + workersText(Status);
}

std::string domainsText(const Json &Status) {
  return table(listOf(Status, "domains"),
               {"DOMAIN", "STATE", "SERVING", "UNSEEN", "RUNNING", "WAITING",
                "REMAINING"},
               [](const Json &Row) -> Cells {
                 return {textOf(Row, "name"),
                         Row.value("out", false) ? "out" : "in",
                         textOf(Row, "serving") + "/" + textOf(Row, "workers"),
                         textOf(Row, "unseen"),
                         textOf(Row, "running"),
                         textOf(Row, "waiting"),
                         textOf(Row, "remaining")};
               });
}

std::string configText(const Json &Status) {
  return table(listOf(Status, "processes"),
               {"PROCESS", "KIND", "DOMAIN", "VERSION", "DIGEST", "SINCE"},
               [](const Json &Row) -> Cells {
                 if (!Row.value("seen", false))
                   return {textOf(Row, "name"), textOf(Row, "kind"),
                           textOf(Row, "domain"), "unseen"};
                 return {
                     textOf(Row, "name"),        textOf(Row, "kind"),
                     textOf(Row, "domain"),      textOf(Row, "version"),
                     shortDigest(Row, "digest"), secondsOf(Row, "in_force_ms")};
               });
}

std::string changeText(const Json &Change) {
  std::string Text = "version " + textOf(Change, "in_force") + " -> " +
                     textOf(Change, "candidate") +
                     (Change.value("would_apply", false)
                          ? ""
                          : " (would not apply: not above that in force)") +
                     "\n";
  const Json Lists = Change.value("changes", Json::object());
  for (const auto &List : Lists.items())
    for (const char *What : {"added", "removed", "changed"})
      if (const std::string Names = namesOf(listOf(List.value(), What));
          !Names.empty())
        Text += List.key() + " " + What + ":" + Names + "\n";
  return Text + "workers that would load new weights: " +
         textOf(Change, "workers_to_load") + "\n";
}

} // namespace jacinthpond

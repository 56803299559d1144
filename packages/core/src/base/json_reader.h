/** @file json_reader.h Reads checked values out of JSON and gathers faults.
 *
 * Used by the published document and by the settings, so that both report
 * faults alike: path, what was found, what is allowed.
 */

#ifndef JACINTHPOND_CORE_JSON_READER_H
#define JACINTHPOND_CORE_JSON_READER_H

#include "base/error_func.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/** Gathers every fault of one text. */
struct FaultList {
  std::vector<std::string> Lines; ///< One fault each.

  /**
   * Adds a fault.
   * @param Path Where, as in "workers[2].agent".
   * @param Found What stands there.
   * @param Allowed What may stand there.
   */
  void add(const std::string &Path, const std::string &Found,
           const std::string &Allowed);

  /**
   * Joins the faults.
   * @return One line for each fault.
   */
  std::string text() const;
};

/**
 * Parses JSON with comments.
 * @param Text Not trusted.
 * @param What Name of the text in the fault.
 * @param Kind Kind of the fault.
 * @param Twins Gets the keys that stand twice in one object, each once; null:
 *   nobody asks.
 * @return The value, or where the text is no JSON or nests too deeply.
 */
Result<nlohmann::json> parseJson(std::string_view Text, const std::string &What,
                                 ErrorKind Kind,
                                 std::set<std::string> *Twins = nullptr);

/**
 * Says whether a text is a SHA-256 digest.
 * @param Text The text.
 * @return True for 64 lower-case hex digits.
 */
bool isDigest(std::string_view Text);

/** One JSON object being read, with its path. */
class ObjectReader {
public:
  /**
   * Opens an object; anything else is a fault.
   * @param Value The JSON value.
   * @param ObjectPath Its path; empty for the root.
   * @param Into Where faults go.
   */
  ObjectReader(const nlohmann::json &Value, std::string ObjectPath,
               FaultList &Into);

  /**
   * Reads a text.
   * @param Key Name of the member.
   * @param Required Whether its absence is a fault.
   * @param Default Value when absent.
   * @return The text.
   */
  std::string text(const char *Key, bool Required,
                   const std::string &Default = "");

  /**
   * Reads a SHA-256 digest. A fault never repeats what stands there: people
   * put the token itself where its digest belongs.
   * @param Key Name of the member; its absence is a fault.
   * @return The digest in lower-case hex, or empty.
   */
  std::string digest(const char *Key);

  /**
   * Reads "IP:port" with a port above 0.
   * @param Key Name of the member; its absence is a fault.
   * @return The address.
   */
  std::string address(const char *Key);

  /**
   * Reads a whole number.
   * @param Key Name of the member.
   * @param Required Whether its absence is a fault.
   * @param Default Value when absent.
   * @param Min Smallest value allowed.
   * @param Max Largest value allowed.
   * @return The number.
   */
  int64_t number(const char *Key, bool Required, int64_t Default, int64_t Min,
                 int64_t Max);

  /**
   * Reads a fraction.
   * @param Key Name of the member.
   * @param Default Value when absent.
   * @param Min Smallest value allowed.
   * @param Max Largest value allowed.
   * @return The number.
   */
  double real(const char *Key, double Default, double Min, double Max);

  /**
   * Reads a truth value.
   * @param Key Name of the member.
   * @param Default Value when absent.
   * @return The value.
   */
  bool flag(const char *Key, bool Default);

  /**
   * Reads a list of texts.
   * @param Key Name of the member; absent means empty.
   * @return The texts.
   */
  std::vector<std::string> texts(const char *Key);

  /**
   * Gives the elements of a list.
   * @param Key Name of the member; absent means empty.
   * @param Max Longest list allowed.
   * @return The elements, pointers into the JSON value.
   */
  std::vector<const nlohmann::json *> list(const char *Key,
                                           size_t Max = SIZE_MAX);

  /**
   * Gives a member that is an object.
   * @param Key Name of the member.
   * @return Pointer into the JSON value; null when absent.
   */
  const nlohmann::json *object(const char *Key);

  /**
   * Says whether a member is there.
   * @param Key Name of the member.
   * @return True when it stands in the object, whatever it holds.
   */
  bool has(const char *Key) const;

  /**
   * Gives where faults go, for readers of members.
   * @return The list.
   */
  FaultList &faults() { return *Faults; }

  /** Reports every member that was not asked for, with the nearest known. */
  void refuseUnknown();

  /**
   * Adds a fault of a member.
   * @param Key Name of the member.
   * @param Found What stands there.
   * @param Allowed What may stand there.
   */
  void fault(const char *Key, const std::string &Found,
             const std::string &Allowed);

  /**
   * Gives the path of a member.
   * @param Key Name of the member.
   * @return Path from the root.
   */
  std::string pathOf(std::string_view Key) const;

private:
  const nlohmann::json *find(const char *Key, bool Required,
                             const char *Allowed);

  const nlohmann::json *Object;   ///< Null when the value is no object.
  std::string Path;               ///< Path of the object.
  FaultList *Faults;              ///< Where faults go.
  std::vector<std::string> Known; ///< Members asked for so far.
};

/**
 * Finds the name nearest to a mistyped one.
 * @param Wrong What was written.
 * @param Names What may be written.
 * @return The nearest name, or empty when none is near.
 */
std::string nearestName(std::string_view Wrong,
                        const std::vector<std::string> &Names);

} // namespace jacinthpond

#endif

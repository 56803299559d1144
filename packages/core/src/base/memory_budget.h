/** @file memory_budget.h A bound on what several owners hold together. */

#ifndef JACINTHPOND_CORE_MEMORY_BUDGET_H
#define JACINTHPOND_CORE_MEMORY_BUDGET_H

#include <cstddef>
#include <utility>

namespace jacinthpond {

/** A number of bytes that is shared out; for one thread. */
struct MemoryBudget {
  size_t Limit = 0; ///< Most bytes that all shares may have together.
  size_t Used = 0;  ///< Sum of all shares.
};

/** The part of a budget that one owner holds; given back when it ends. */
class MemoryShare {
public:
  /** Bytes of each owner that are not counted: small ones are never refused for
   * what others hold. */
  static constexpr size_t FreeBytes = 16 << 10;

  /**
   * Creates an empty share.
   * @param From The budget; must outlive the share.
   */
  explicit MemoryShare(MemoryBudget &From) : Budget(&From) {}
  ~MemoryShare() { Budget->Used -= Held; }
  MemoryShare(MemoryShare &&Other) noexcept
      : Budget(Other.Budget), Held(std::exchange(Other.Held, 0)) {}
  MemoryShare &operator=(MemoryShare &&Other) noexcept {
    std::swap(Budget, Other.Budget);
    std::swap(Held, Other.Held);
    return *this;
  }

  /**
   * Changes the size of the share.
   * @param Bytes All that the owner holds now.
   * @return Whether the budget allows it; if not, nothing changes.
   */
  bool resize(size_t Bytes) {
    const size_t Wanted = Bytes > FreeBytes ? Bytes - FreeBytes : 0;
    const size_t Others = Budget->Used - Held;
    if (Wanted > Held && Others + Wanted > Budget->Limit)
      return false;
    Budget->Used = Others + Wanted;
    Held = Wanted;
    return true;
  }

private:
  MemoryBudget *Budget;
  size_t Held = 0; ///< Bytes that are counted.
};

} // namespace jacinthpond

#endif

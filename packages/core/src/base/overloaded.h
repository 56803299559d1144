/** @file overloaded.h Visitor built from lambdas. */

#ifndef JACINTHPOND_CORE_OVERLOADED_H
#define JACINTHPOND_CORE_OVERLOADED_H

namespace jacinthpond {

/** Visitor for std::visit that combines one lambda for each alternative. */
template <typename... Lambdas> struct Overloaded : Lambdas... {
  using Lambdas::operator()...;
};

template <typename... Lambdas> Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

} // namespace jacinthpond

#endif

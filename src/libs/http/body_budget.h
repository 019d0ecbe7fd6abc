/// \file
/// Limits the bytes of all message bodies that a process holds at a time.
#pragma once

#include <cstdint>
#include <memory>

namespace coriandertray {

/// Not thread-safe.
struct body_budget {
  std::uint64_t Limit = 0;
  /// The sum of all reservations.
  std::uint64_t Used = 0;
};

/// The share of one message in a budget; given back at its destruction. Not
/// thread-safe.
class body_reservation {
public:
  /// \pre \p Budget is not null.
  explicit body_reservation(std::shared_ptr<body_budget> Budget)
      : Budget(std::move(Budget)) {}
  body_reservation(const body_reservation &) = delete;
  body_reservation &operator=(const body_reservation &) = delete;
  ~body_reservation() { Budget->Used -= Bytes; }

  /// Changes the share to \p Next bytes. \returns false, without a change, if
  /// the budget doesn't allow it.
  [[nodiscard]] bool resize(std::uint64_t Next) {
    if (Budget->Used - Bytes + Next > Budget->Limit)
      return false;
    Budget->Used += Next - Bytes;
    Bytes = Next;
    return true;
  }

private:
  std::shared_ptr<body_budget> Budget;
  std::uint64_t Bytes = 0;
};

} // namespace coriandertray

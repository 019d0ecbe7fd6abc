/// \file
/// The index from an API key to its client account. Holds keys as keyed hashes
/// only.
#pragma once

#include "accounts/client_account.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Random bytes that key the hashes of one process, so that a digest that leaks
/// can't be tested against guessed keys. Never logged, dumped or sent.
struct key_secret {
  std::array<unsigned char, 32> Bytes{};
};

/// \returns a new random secret. Thread-safe.
[[nodiscard]] key_secret makeKeySecret();

/// The keyed hash of an API key. Digests with different secrets are unrelated.
struct key_digest {
  std::array<unsigned char, 32> Bytes{};
  /// Compares in constant time.
  bool operator==(const key_digest &Other) const;
};

/// \returns the digest of \p Key. Thread-safe.
[[nodiscard]] key_digest digestOf(std::string_view Key,
                                  const key_secret &Secret);

/// The accounts of one configuration. Immutable once built, so safe to share
/// between threads.
class account_directory {
public:
  /// Has no accounts.
  account_directory() = default;

  /// \pre No two of \p Accounts have a key in common.
  account_directory(const std::vector<client_account> &Accounts,
                    const key_secret &Secret);

  /// \returns the account whose key has \p Digest, or null. The result lives as
  /// long as the directory.
  [[nodiscard]] const request_account *find(const key_digest &Digest) const;

  /// \returns whether the configuration has no accounts, so that requests need
  /// no key.
  [[nodiscard]] bool empty() const { return Accounts.empty(); }
  [[nodiscard]] std::size_t accountCount() const { return Accounts.size(); }

  bool operator==(const account_directory &) const = default;

private:
  struct key_entry {
    /// The first bytes of Digest. They may be compared in variable time:
    /// without the secret nobody can choose a key with a given prefix.
    std::uint64_t Prefix = 0;
    key_digest Digest;
    std::size_t AccountIndex = 0;
    bool operator==(const key_entry &) const = default;
  };

  std::vector<request_account> Accounts;
  /// Sorted by Prefix.
  std::vector<key_entry> Keys;
};

} // namespace coriandertray

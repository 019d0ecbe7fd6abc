#include "accounts/account_directory.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace coriandertray {

namespace {

std::uint64_t prefixOf(const key_digest &Digest) {
  std::uint64_t Prefix = 0;
  std::memcpy(&Prefix, Digest.Bytes.data(), sizeof(Prefix));
  return Prefix;
}

} // namespace

key_secret makeKeySecret() {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium can't be initialized");
  key_secret Secret;
  randombytes_buf(Secret.Bytes.data(), Secret.Bytes.size());
  return Secret;
}

bool key_digest::operator==(const key_digest &Other) const {
  return sodium_memcmp(Bytes.data(), Other.Bytes.data(), Bytes.size()) == 0;
}

key_digest digestOf(std::string_view Key, const key_secret &Secret) {
  key_digest Digest;
  static_assert(sizeof(Digest.Bytes) == crypto_generichash_BYTES &&
                sizeof(Secret.Bytes) == crypto_generichash_KEYBYTES);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto *Text = reinterpret_cast<const unsigned char *>(Key.data());
  // Fails only for lengths out of range, which the assertion excludes.
  (void)crypto_generichash(Digest.Bytes.data(), Digest.Bytes.size(), Text,
                           Key.size(), Secret.Bytes.data(),
                           Secret.Bytes.size());
  return Digest;
}

account_directory::account_directory(
    const std::vector<client_account> &Accounts, const key_secret &Secret) {
  for (const client_account &Account : Accounts) {
    for (const std::string &Key : Account.Keys) {
      const key_digest Digest = digestOf(Key, Secret);
      Keys.push_back({prefixOf(Digest), Digest, this->Accounts.size()});
    }
    this->Accounts.push_back({Account.Name, Account.Priority, Account.Quota});
  }
  std::ranges::sort(Keys, {}, &key_entry::Prefix);
}

const request_account *account_directory::find(const key_digest &Digest) const {
  const auto Candidates =
      std::ranges::equal_range(Keys, prefixOf(Digest), {}, &key_entry::Prefix);
  const auto Found = std::ranges::find(Candidates, Digest, &key_entry::Digest);
  return Found == Candidates.end() ? nullptr : &Accounts[Found->AccountIndex];
}

} // namespace coriandertray

#include "accounts/account_directory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace coriandertray;

namespace {

client_account makeAccount(const std::string &Name,
                           std::vector<std::string> Keys) {
  client_account Account;
  Account.Name = Name;
  Account.Keys = std::move(Keys);
  return Account;
}

std::string nameFor(const account_directory &Directory,
                    const key_secret &Secret, std::string_view Key) {
  const request_account *Account = Directory.find(digestOf(Key, Secret));
  return Account ? Account->Name : "none";
}

} // namespace

// Guards against: a key that is not found, or found for another account.
TEST_CASE("each key leads to its account with priority and quota") {
  const key_secret Secret = makeKeySecret();
  client_account First = makeAccount("first", {"a1", "a2"});
  First.Priority = 3;
  First.Quota = {10, 5};
  const account_directory Directory({First, makeAccount("second", {"b1"})},
                                    Secret);
  const request_account *Found = Directory.find(digestOf("a2", Secret));
  REQUIRE(Found);
  CHECK(*Found == request_account{"first", 3, {10, 5}});
  CHECK(nameFor(Directory, Secret, "a1") == "first");
  CHECK(nameFor(Directory, Secret, "b1") == "second");
  CHECK(nameFor(Directory, Secret, "") == "none");
  CHECK(nameFor(Directory, Secret, "a") == "none");
  CHECK(Directory.accountCount() == 2);
}

// Guards against: a configuration without accounts that asks for keys, and one
// whose accounts have no keys that does not.
TEST_CASE("a directory is empty only without accounts") {
  CHECK(account_directory().empty());
  CHECK(account_directory({}, makeKeySecret()).empty());
  CHECK_FALSE(
      account_directory({makeAccount("keyless", {})}, makeKeySecret()).empty());
}

// Guards against: digests that are the same in all processes, so that a leaked
// one can be tested against guessed keys.
TEST_CASE("a digest depends on the secret of the process") {
  const key_secret Secret = makeKeySecret();
  const key_secret Other = makeKeySecret();
  CHECK(Secret.Bytes != Other.Bytes);
  CHECK(digestOf("key", Secret) == digestOf("key", Secret));
  CHECK_FALSE(digestOf("key", Secret) == digestOf("key", Other));
}

// Guards against: a comparison of digests that stops before the last byte.
TEST_CASE("digests that differ in one bit are different") {
  const bool Holds = rc::check("each bit counts", [] {
    const key_digest Digest = digestOf(*rc::gen::arbitrary<std::string>(), {});
    key_digest Changed = Digest;
    const auto Bit = *rc::gen::inRange<std::size_t>(0, 256);
    Changed.Bytes[Bit / 8] ^= static_cast<unsigned char>(1U << (Bit % 8));
    RC_ASSERT(!(Digest == Changed));
  });
  CHECK(Holds);
}

// Guards against: any set of keys for which the index differs from a plain map.
TEST_CASE("the directory answers like a map from keys to names") {
  const bool Holds = rc::check("same answers as a map", [] {
    const key_secret Secret = makeKeySecret();
    const auto Keys = *rc::gen::unique<std::vector<std::string>>(
        rc::gen::arbitrary<std::string>());
    std::map<std::string, std::string> Expected;
    std::vector<client_account> Accounts;
    for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
      const std::string Name = "account-" + std::to_string(Index / 3);
      if (Index % 3 == 0)
        Accounts.push_back(makeAccount(Name, {}));
      Accounts.back().Keys.push_back(Keys[Index]);
      Expected[Keys[Index]] = Name;
    }
    const account_directory Directory(Accounts, Secret);
    for (const auto &[Key, Name] : Expected)
      RC_ASSERT(nameFor(Directory, Secret, Key) == Name);
    const auto Other = *rc::gen::arbitrary<std::string>();
    const auto Found = Expected.find(Other);
    RC_ASSERT(nameFor(Directory, Secret, Other) ==
              (Found == Expected.end() ? "none" : Found->second));
  });
  CHECK(Holds);
}

#include "accounts/bearer_key.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace coriandertray;

namespace {

bearer_key readOne(std::string Value, std::string Name = "Authorization") {
  return readBearerKey({{"Host", "a"}, {std::move(Name), std::move(Value)}});
}

rc::Gen<std::string> genKey() {
  return rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange<char>('!', '\x7f')));
}

/// \returns \p Text with the case of each letter chosen at random.
std::string anyCase(std::string Text) {
  for (char &Character : Text)
    if (*rc::gen::arbitrary<bool>())
      Character = static_cast<char>(std::toupper(Character));
    else
      Character = static_cast<char>(std::tolower(Character));
  return Text;
}

} // namespace

// Guards against: a valid key that is refused because of how it is written.
TEST_CASE("a key is read from one Authorization header") {
  const bearer_key Expected = {bearer_status::Present, "k-1"};
  CHECK(readOne("Bearer k-1") == Expected);
  CHECK(readOne("bEARER   k-1 \t") == Expected);
  CHECK(readOne(" Bearer k-1", "aUTHORIZATION") == Expected);
  CHECK(readOne("Bearer k,1=;").Key == "k,1=;");
  CHECK(readBearerKey({{"Host", "a"}}).Status == bearer_status::None);
  CHECK(readBearerKey({{"Proxy-Authorization", "Bearer k"}}).Status ==
        bearer_status::None);
}

// Guards against: a header without a readable key that counts as no header, so
// that a route for anonymous requests serves it.
TEST_CASE("headers without exactly one token are malformed") {
  for (const char *Value :
       {"", " ", "Bearer", "Bearer ", "Basic k", "k", "Bearerk", "Bearer a b",
        "Bearer\tk", "Bearer k\r\n x", "Bearer k\x7f", "Bearer k\xc3\xa4",
        "Bearer k, Bearer k", "Token Bearer k"})
    CHECK_MESSAGE(readOne(Value).Status == bearer_status::Malformed, Value);
  CHECK(readOne(std::string("Bearer k\0x", 10)).Status ==
        bearer_status::Malformed);
}

// Guards against: a choice between two keys, which differs between programs.
TEST_CASE("two Authorization headers are refused even if they are the same") {
  const http_headers Same = {{"Authorization", "Bearer k"},
                             {"authorization", "Bearer k"}};
  const http_headers OneEmpty = {{"Authorization", "Bearer k"},
                                 {"AUTHORIZATION", ""}};
  CHECK(readBearerKey(Same) == bearer_key{bearer_status::Doubled, ""});
  CHECK(readBearerKey(OneEmpty).Status == bearer_status::Doubled);
}

// Guards against: a key, a case of letters or a number of spaces for which the
// key that is read is not the one that was sent.
TEST_CASE("each key is read as it was sent") {
  const bool Holds = rc::check("the key round trips", [] {
    const std::string Key = *genKey();
    const std::string Spaces(*rc::gen::inRange<std::size_t>(1, 4), ' ');
    const bearer_key Read =
        readOne(anyCase("bearer") + Spaces + Key, anyCase("authorization"));
    RC_ASSERT((Read == bearer_key{bearer_status::Present, Key}));
  });
  CHECK(Holds);
}

// Guards against: bytes that make the reader fail, or return a key that is no
// token.
TEST_CASE("random bytes never give a key that is not a token") {
  const bool Holds = rc::check("only tokens", [] {
    const auto Prefix =
        *rc::gen::element<std::string>("", "Bearer ", "bearer", "Bearer \r\n ");
    const bearer_key Read =
        readOne(Prefix + *rc::gen::arbitrary<std::string>());
    RC_ASSERT(Read.Status != bearer_status::None);
    RC_ASSERT((Read.Status == bearer_status::Present) == isKeyToken(Read.Key));
  });
  CHECK(Holds);
}

// Guards against: a folded line whose second part is taken for the key, or is
// joined to it.
TEST_CASE("a folded or doubled header never gives a key") {
  const bool Holds = rc::check("refused", [] {
    const std::string Key = *genKey();
    const auto Fold =
        *rc::gen::element<std::string>("\r\n ", "\r\n\t", "\n ", " ", "\t");
    RC_ASSERT(readOne("Bearer " + Key + Fold + *genKey()).Status ==
              bearer_status::Malformed);
    http_headers Headers(*rc::gen::inRange<std::size_t>(2, 5),
                         {"Authorization", "Bearer " + Key});
    for (http_header &Header : Headers)
      Header.Name = anyCase(Header.Name);
    RC_ASSERT(readBearerKey(Headers).Status == bearer_status::Doubled);
  });
  CHECK(Holds);
}

#include "one_call.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

// A server may end in the middle of a response. The caller must never get what
// has arrived until then as if it were the whole response.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.3", 18'099};

constexpr std::string_view WithLength = "HTTP/1.1 200 OK\r\n"
                                        "X-Request-Id: mine\r\n"
                                        "Content-Length: 30\r\n"
                                        "Signature: 3e1b.07\r\n\r\n"
                                        "thirty bytes, and not one less";
constexpr std::string_view Chunked = "HTTP/1.1 200 OK\r\n"
                                     "X-Request-Id: mine\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "10;name=value\r\nsixteen of bytes\r\n"
                                     "5\r\nfive.\r\n"
                                     "0\r\nTrailer: 1\r\n\r\n";
constexpr std::string_view AfterInterim = "HTTP/1.1 100 Continue\r\n\r\n"
                                          "HTTP/1.1 200 OK\r\n"
                                          "X-Request-Id: mine\r\n"
                                          "Content-Length: 2\r\n\r\nok";
constexpr std::string_view WithoutLength = "HTTP/1.1 200 OK\r\n"
                                           "X-Request-Id: mine\r\n"
                                           "Signature: 3e1b.07\r\n\r\n"
                                           "until the end";

call_result callOnce(const raw_reply &Reply, std::size_t BodyBytes = 0) {
  return testing::callOnce(ServerAddress, Reply, true, BodyBytes);
}

// More than the buffers of a loopback connection take.
constexpr std::size_t LongBodyBytes = 32U << 20U;
// By then the client waits for the server to read on.
constexpr milliseconds ClientBlocksAfter{100};

} // namespace

TEST_CASE("a response cut at any byte is not answered") {
  for (const std::string_view Whole : {WithLength, Chunked, AfterInterim}) {
    CHECK(callOnce({std::string(Whole)}).Status == call_status::Answered);
    for (std::size_t Length = 0; Length < Whole.size(); ++Length)
      for (const after_reply End : {after_reply::Close, after_reply::Reset}) {
        CAPTURE(Whole.substr(0, Length));
        const call_result Cut =
            callOnce({std::string(Whole.substr(0, Length)), End});
        CHECK(Cut.Status != call_status::Answered);
        CHECK_FALSE(provesNotRun(Cut.Status));
      }
  }
}

TEST_CASE("a response without a length is whole only if its connection is "
          "closed after the head") {
  const std::size_t BodyAt = WithoutLength.find("\r\n\r\n") + 4;
  for (std::size_t Length = 0; Length <= WithoutLength.size(); ++Length) {
    CAPTURE(Length);
    const std::string Sent(WithoutLength.substr(0, Length));
    const call_result Closed = callOnce({Sent, after_reply::Close});
    CHECK((Closed.Status == call_status::Answered) == (Length >= BodyAt));
    CHECK(callOnce({Sent, after_reply::Reset}).Status != call_status::Answered);
  }
}

// Guards against: the error of the reset goes to the write of the request, the
// read then sees a regular end, and the part that arrived counts as the whole.
TEST_CASE("a response without a length that is reset during the upload is not "
          "answered") {
  const std::size_t BodyAt = WithoutLength.find("\r\n\r\n") + 4;
  for (const std::size_t Length : {BodyAt, BodyAt + 5, WithoutLength.size()})
    for (const milliseconds Pause : {milliseconds(0), ClientBlocksAfter}) {
      CAPTURE(Length);
      const std::string Sent(WithoutLength.substr(0, Length));
      const call_result Cut =
          callOnce({Sent, after_reply::Reset, Pause}, LongBodyBytes);
      CHECK(Cut.Status != call_status::Answered);
      CHECK_FALSE(provesNotRun(Cut.Status));
    }
}

TEST_CASE("a whole response during the upload is answered") {
  SUBCASE("without a length, if the server ends its side and reads on") {
    const call_result Result = callOnce(
        {std::string(WithoutLength), after_reply::ReadOn, ClientBlocksAfter},
        LongBodyBytes);
    CHECK(Result.Status == call_status::Answered);
    CHECK(Result.Response.Body == "until the end");
  }
  SUBCASE("with a length, also if the server resets the connection") {
    const call_result Result = callOnce(
        {std::string(WithLength), after_reply::Reset, ClientBlocksAfter},
        LongBodyBytes);
    CHECK(Result.Status == call_status::Answered);
  }
}

#include "one_call.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// A server in trouble may send a head that is not one. The caller must get
// neither its lines nor a body whose length they state.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.4", 18'097};
const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const std::string IdLine = "X-Request-Id: mine\r\n";
const std::string LengthAndBody = "Content-Length: 2\r\n\r\nok";

// The server closes the connection after \p Bytes.
call_result callOnce(const std::string &Bytes, bool AcceptWithoutLength) {
  return testing::callOnce(ServerAddress, {Bytes, after_reply::Close},
                           AcceptWithoutLength);
}

// The settings for backend servers, and for the store and other services.
void checkMalformed(const std::string &Bytes) {
  CAPTURE(Bytes);
  for (const bool AcceptWithoutLength : {true, false}) {
    const call_result Result = callOnce(Bytes, AcceptWithoutLength);
    CHECK(Result.Status == call_status::Malformed);
    CHECK_FALSE(provesNotRun(Result.Status));
  }
}

} // namespace

TEST_CASE("a well-formed head is answered") {
  const call_result Result = callOnce(OkLine + IdLine + LengthAndBody, false);
  CHECK(Result.Status == call_status::Answered);
  CHECK(Result.Response.Body == "ok");
}

// Guards against: a status below 100 is taken for an interim one, and the bytes
// after it for the response.
TEST_CASE("a response whose status doesn't exist is malformed") {
  for (const std::string Status : {"000", "001", "099", "20", "2000", "2x0"}) {
    const std::string Head = "HTTP/1.1 " + Status + " Odd\r\n" + IdLine;
    checkMalformed(Head + LengthAndBody);
    checkMalformed(Head + "\r\n" + OkLine + IdLine + LengthAndBody);
  }
}

// Guards against: a server changes to a protocol that nobody asked for, and its
// bytes are taken for a response.
TEST_CASE("a response that switches protocols is malformed") {
  checkMalformed("HTTP/1.1 101 Switching Protocols\r\n" + IdLine + "\r\n" +
                 OkLine + IdLine + LengthAndBody);
}

TEST_CASE("a field whose name is not a token makes the response malformed") {
  std::vector<std::string> Lines = {
      " X-Odd: 1",         "X Odd: 1",  "X-Odd : 1", "X-Odd\t: 1",
      "\tX-Odd: 1",        ": 1",       "X-Odd",     "Content-Length : 9",
      "Content Length: 9", "X(Odd): 1",
  };
  for (const char Control : {'\x01', '\x0b', '\x1f', '\x7f', '\x00'})
    Lines.push_back("X-" + std::string(1, Control) + "Odd: 1");
  for (const std::string &Line : Lines) {
    checkMalformed(OkLine + IdLine + Line + "\r\n" + LengthAndBody);
    checkMalformed(OkLine + Line + "\r\n" + IdLine + LengthAndBody);
    checkMalformed("HTTP/1.1 100 Continue\r\n" + Line + "\r\n\r\n" + OkLine +
                   IdLine + LengthAndBody);
    checkMalformed(OkLine + IdLine + "Transfer-Encoding: chunked\r\n\r\n" +
                   "2\r\nok\r\n0\r\n" + Line + "\r\n\r\n");
  }
}

TEST_CASE("a field whose value holds a control byte makes it malformed") {
  for (const char Control : {'\x01', '\x0b', '\x1f', '\x7f', '\x00'})
    checkMalformed(OkLine + IdLine + "X-Odd: a" + std::string(1, Control) +
                   "b\r\n" + LengthAndBody);
}

// Guards against: the end of the body is not where the server meant it.
TEST_CASE("a response whose framing is ambiguous is malformed") {
  for (const std::string Lines : {
           "Content-Length: 2\r\nContent-Length: 3\r\n",
           "Content-Length: 2, 3\r\n",
           "Content-Length: +2\r\n",
           "Content-Length: -2\r\n",
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: gzip\r\n",
           "Transfer-Encoding: chunked, gzip\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       })
    checkMalformed(OkLine + IdLine + Lines + "\r\n2\r\nok\r\n0\r\n\r\n");
}

// Guards against: a server that sends interim responses without end holds the
// call up to its deadline.
TEST_CASE("interim responses without end are malformed") {
  std::string Bytes;
  for (int Count = 0; Count < 100; ++Count)
    Bytes += "HTTP/1.1 103 Early Hints\r\n\r\n";
  checkMalformed(Bytes + OkLine + IdLine + LengthAndBody);
}

// Guards against: a trailer adds a field to the head, or replaces one.
TEST_CASE("the trailers of a chunked body are dropped") {
  const call_result Result =
      callOnce(OkLine + IdLine + "Transfer-Encoding: chunked\r\n\r\n" +
                   "2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n",
               false);
  CHECK(Result.Status == call_status::Answered);
  CHECK(Result.Response.Body == "ok");
  CHECK_FALSE(findHeader(Result.Response.Headers, "X-Late"));
}

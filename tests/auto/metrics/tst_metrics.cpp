#include "metrics/metrics.h"

#include "utils/query.h"
#include "utils/settings.h"

#include <doctest/doctest.h>

using namespace coriandertray;

TEST_CASE("quantiles are exact to within one bin") {
  duration_histogram Histogram;
  for (int Ms = 1; Ms <= 1000; ++Ms)
    Histogram.record(milliseconds(Ms));
  CHECK(Histogram.quantileMs(0.5) >= 500);
  CHECK(Histogram.quantileMs(0.5) < 540);
  CHECK(Histogram.quantileMs(0.99) >= 990);
  CHECK(duration_histogram().quantileMs(0.5) == 0);
}

TEST_CASE("metrics are exported in the text format") {
  metric_registry Metrics;
  Metrics.count("requests_total", "service=\"a\"", 2);
  Metrics.count("requests_total", "service=\"b\"");
  Metrics.set("version", "", 3);
  Metrics.observe("seconds", "service=\"a\"", milliseconds(5));
  const std::string Text = Metrics.write();
  CHECK(Text.find("# TYPE requests_total counter\n"
                  "requests_total{service=\"a\"} 2\n"
                  "requests_total{service=\"b\"} 1\n") != std::string::npos);
  CHECK(Text.find("seconds_bucket{service=\"a\",le=\"+Inf\"} 1\n") !=
        std::string::npos);
  CHECK(Text.find("seconds_count{service=\"a\"} 1\n") != std::string::npos);
}

TEST_CASE("the settings reader reports all errors at once") {
  settings_reader Reader(
      parseJson(R"({"host": 3, "listen": "nowhere", "extra": 1,
                    "limit": 99})")
          ->as_object());
  (void)Reader.requiredString("host");
  (void)Reader.requiredString("zone");
  (void)Reader.requiredAddress("listen");
  CHECK(Reader.optionalInteger("limit", 5, 1, 10) == 5);
  const std::vector<error> Errors = Reader.finish();
  REQUIRE(Errors.size() == 5);
  CHECK(Errors[0].Code == error_code::FieldOfWrongType);
  CHECK(Errors[1].Code == error_code::FieldMissing);
  CHECK(Errors[2].Code == error_code::AddressMalformed);
  CHECK(Errors[3].Code == error_code::ValueOutOfRange);
  CHECK(Errors[4].Code == error_code::FieldUnknown);
}

TEST_CASE("request targets are split into path and query") {
  const parsed_target Target = parseTarget("/a/b?x=1&y=two&z");
  CHECK(Target.Path == "/a/b");
  CHECK(queryNumber(Target, "x", 0) == 1);
  CHECK(queryNumber(Target, "z", 7) == 7);
  CHECK(Target.Query.at("y") == "two");
}

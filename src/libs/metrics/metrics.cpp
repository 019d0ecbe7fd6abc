#include "metrics/metrics.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr unsigned BinCount = 256;
constexpr double MinMs = 0.05;
constexpr double MaxMs = 120'000;
// Only the end of every 16th bin is exported, as a bucket.
constexpr unsigned BinsPerBucket = 16;
constexpr double MsPerSecond = 1000;

std::string formatSample(std::string_view Name, std::string_view Labels,
                         const std::string &Value) {
  std::string Line(Name);
  if (!Labels.empty())
    Line += "{" + std::string(Labels) + "}";
  return Line + " " + Value + "\n";
}

std::string joinLabels(std::string_view Labels, std::string_view Extra) {
  return Labels.empty() ? std::string(Extra)
                        : std::string(Labels) + "," + std::string(Extra);
}

} // namespace

duration_histogram::duration_histogram()
    : Bins(boost::histogram::make_histogram_with(
          std::vector<std::uint64_t>(), axis(BinCount, MinMs, MaxMs))) {}

void duration_histogram::record(duration Value) {
  // The upper bound of the last bin is exclusive.
  Bins(std::clamp(toMilliseconds(Value), MinMs, MaxMs * 0.99));
  SumSeconds += toSeconds(Value);
  ++Count;
}

double duration_histogram::quantileMs(double Quantile) const {
  const double Rank = Quantile * static_cast<double>(Count);
  std::uint64_t CumulativeCount = 0;
  for (const auto &&Bin : boost::histogram::indexed(Bins)) {
    CumulativeCount += *Bin;
    if (CumulativeCount > 0 && static_cast<double>(CumulativeCount) >= Rank)
      return Bin.bin().upper();
  }
  return 0;
}

void duration_histogram::write(std::string_view Name, std::string_view Labels,
                               std::string &Out) const {
  const std::string BucketName = std::string(Name) + "_bucket";
  std::uint64_t CumulativeCount = 0;
  unsigned Index = 0;
  for (const auto &&Bin : boost::histogram::indexed(Bins)) {
    CumulativeCount += *Bin;
    if (++Index % BinsPerBucket != 0)
      continue;
    const std::string Bound =
        "le=\"" + std::to_string(Bin.bin().upper() / MsPerSecond) + "\"";
    Out += formatSample(BucketName, joinLabels(Labels, Bound),
                        std::to_string(CumulativeCount));
  }
  Out += formatSample(BucketName, joinLabels(Labels, "le=\"+Inf\""),
                      std::to_string(Count));
  Out += formatSample(std::string(Name) + "_sum", Labels,
                      std::to_string(SumSeconds));
  Out +=
      formatSample(std::string(Name) + "_count", Labels, std::to_string(Count));
}

void metric_registry::count(std::string_view Name, std::string_view Labels,
                            std::uint64_t Step) {
  Counters[{std::string(Name), std::string(Labels)}] += Step;
}

void metric_registry::set(std::string_view Name, std::string_view Labels,
                          double Value) {
  Gauges[{std::string(Name), std::string(Labels)}] = Value;
}

void metric_registry::observe(std::string_view Name, std::string_view Labels,
                              duration Value) {
  Histograms[{std::string(Name), std::string(Labels)}].record(Value);
}

std::uint64_t metric_registry::counter(std::string_view Name,
                                       std::string_view Labels) const {
  const auto Found = Counters.find({std::string(Name), std::string(Labels)});
  return Found == Counters.end() ? 0 : Found->second;
}

std::string metric_registry::write() const {
  std::string Out;
  std::string LastName;
  const auto WriteType = [&](const std::string &Name, std::string_view Type) {
    if (Name != LastName)
      Out += "# TYPE " + Name + " " + std::string(Type) + "\n";
    LastName = Name;
  };
  for (const auto &[Key, Value] : Counters) {
    WriteType(Key.first, "counter");
    Out += formatSample(Key.first, Key.second, std::to_string(Value));
  }
  for (const auto &[Key, Value] : Gauges) {
    WriteType(Key.first, "gauge");
    Out += formatSample(Key.first, Key.second, std::to_string(Value));
  }
  for (const auto &[Key, Histogram] : Histograms) {
    WriteType(Key.first, "histogram");
    Histogram.write(Key.first, Key.second, Out);
  }
  return Out;
}

} // namespace coriandertray

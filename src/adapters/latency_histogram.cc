#include "adapters/latency_histogram.h"

#include <sstream>

namespace quetzalline {
void LatencyHistogram::Add(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  histogram_(seconds);
  sum_seconds_ += seconds;
  ++count_;
}

void LatencyHistogram::AppendText(const std::string& name,
                                  std::string& text) const {
  std::ostringstream out;
  out << "# TYPE " << name << " histogram\n";
  double cumulative = histogram_.at(-1);
  const auto& axis = histogram_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += histogram_.at(i);
    out << name << "_bucket{le=\"" << axis.bin(i).upper() << "\"} "
        << cumulative << "\n";
  }
  out << name << "_bucket{le=\"+Inf\"} " << count_ << "\n"
      << name << "_sum " << sum_seconds_ << "\n"
      << name << "_count " << count_ << "\n";
  text += out.str();
}

}  // namespace quetzalline

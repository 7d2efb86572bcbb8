// Claims and predictions of the scale runs; the program ends non-zero when one does not hold.
#pragma once

#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "lab/scale/fit.hpp"

namespace topazweir::lab::scale {

inline int& broken() {
  static int count = 0;
  return count;
}

inline void claim(bool holds, const std::string& what) {
  fmt::print("{} {}\n", holds ? "holds: " : "BROKEN:", what);
  std::fflush(stdout);
  broken() += !holds;
}

enum class Model { constant, linear, nLogN, power };  // power: a line through the logarithms
inline constexpr const char* kModelNames[] = {"constant", "linear", "n log n", "power, by ln"};

// What is measured at some sizes, fitted, and compared at the largest, which is not part of the fit.
struct Slope {
  Model model = Model::linear;
  std::vector<double> sizes{}, values{};

  void add(double size, double value) { sizes.push_back(size), values.push_back(value); }
  double of(double size) const {
    return model == Model::nLogN ? size * std::log2(size) : model == Model::power ? std::log(size) : size;
  }
  Fit fit() const {
    if (model == Model::constant) {
      double sum = 0;
      for (const double value : values) sum += value;
      return {sum / static_cast<double>(values.size()), 0, 1};
    }
    std::vector<double> x, y = values;
    for (const double size : sizes) x.push_back(of(size));
    if (model == Model::power)
      for (double& value : y) value = std::log(value);
    return fitLine(x, y);
  }
  double at(double size) const {
    const double value = fit().at(of(size));
    return model == Model::power ? std::exp(value) : value;
  }
  // Prints prediction and outcome; over a quarter off: not understood.
  void compare(const std::string& what, double size, double came) const {
    const auto f = fit();
    const double predicted = at(size), off = offBy(predicted, came);
    fmt::print(
        "{}: {} {:.4g} + {:.4g} x, R2 {:.4f}; at {:.0f} predicted {:.4g}, came {:.4g}, off by {:.0f}%\n",
        what, kModelNames[static_cast<int>(model)], f.intercept, f.slope, f.r2, size, predicted, came,
        100 * off);
    claim(off <= kUnderstood, what + (off <= kUnderstood ? " is understood" : " is not understood"));
  }
};

// Microseconds of this thread's processor time.
inline double threadMicros() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Microseconds a time of `what`, `times` times.
inline double costOf(int times, const std::function<void()>& what) {
  const double from = threadMicros();
  for (int i = 0; i < times; ++i) what();
  return (threadMicros() - from) / times;
}

// Each measured once a round, one after the other, so that what else the machine does for a while falls on
// all of them. It can only add: the least is what each costs.
inline std::vector<Repeated> inRounds(int rounds, const std::vector<std::function<double()>>& each) {
  std::vector<std::vector<double>> values(each.size());
  for (int round = 0; round < rounds; ++round)
    for (std::size_t i = 0; i < each.size(); ++i) values[i].push_back(each[i]());
  std::vector<Repeated> out;
  for (auto& value : values) out.push_back(repeated(std::move(value)));
  return out;
}

}  // namespace topazweir::lab::scale

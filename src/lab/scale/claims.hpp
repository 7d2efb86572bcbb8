// Claims and predictions of the scale measurements. The program exits with a non-zero status if one fails.
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

// Number of claims that failed so far.
inline int& brokenClaims() {
  static int count = 0;
  return count;
}

// Prints the claim and whether it holds.
inline void checkClaim(bool holds, const std::string& text) {
  fmt::print("{} {}\n", holds ? "holds: " : "BROKEN:", text);
  std::fflush(stdout);
  brokenClaims() += !holds;
}

enum class FitModel { constant, linear, nLogN, power };  // power: a linear fit of the logarithms
inline constexpr const char* kFitModelNames[] = {"constant", "linear", "n log n", "power, by ln"};

// A figure measured at several sizes, fitted, and compared at the largest size, which is not part of the fit.
struct ScalingFit {
  FitModel model = FitModel::linear;
  std::vector<double> sizes{}, values{};

  void add(double size, double value) {
    sizes.push_back(size);
    values.push_back(value);
  }
  // The independent variable of the fit.
  double regressor(double size) const {
    return model == FitModel::nLogN   ? size * std::log2(size)
           : model == FitModel::power ? std::log(size)
                                      : size;
  }
  Fit fit() const {
    if (model == FitModel::constant) {
      double sum = 0;
      for (const double value : values) sum += value;
      return {sum / static_cast<double>(values.size()), 0, 1};
    }
    std::vector<double> x, y = values;
    for (const double size : sizes) x.push_back(regressor(size));
    if (model == FitModel::power)
      for (double& value : y) value = std::log(value);
    return fitLine(x, y);
  }
  double predict(double size) const {
    const double value = fit().predict(regressor(size));
    return model == FitModel::power ? std::exp(value) : value;
  }
  // Prints prediction and measurement; claims that the error is at most kMaxRelativeError.
  void compare(const std::string& figure, double size, double measured) const {
    const auto f = fit();
    const double predicted = predict(size), error = relativeError(predicted, measured);
    fmt::print(
        "{}: {} {:.4g} + {:.4g} x, R2 {:.4f}; at {:.0f} predicted {:.4g}, came {:.4g}, off by {:.0f}%\n",
        figure, kFitModelNames[static_cast<int>(model)], f.intercept, f.slope, f.r2, size, predicted,
        measured, 100 * error);
    checkClaim(error <= kMaxRelativeError,
               figure + (error <= kMaxRelativeError ? " is understood" : " is not understood"));
  }
};

// CPU time of this thread in microseconds.
inline double threadCpuMicros() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Mean CPU time of `operation` over `repetitions`, in microseconds.
inline double meanCostMicros(int repetitions, const std::function<void()>& operation) {
  const double from = threadCpuMicros();
  for (int i = 0; i < repetitions; ++i) operation();
  return (threadCpuMicros() - from) / repetitions;
}

// Takes each measurement once per round, in turn, so that a temporary load on the machine affects all of them
// alike. Other load can only add to a cost, so the minimum is the best estimate.
inline std::vector<Summary> measureInRounds(int rounds,
                                            const std::vector<std::function<double()>>& measurements) {
  std::vector<std::vector<double>> values(measurements.size());
  for (int round = 0; round < rounds; ++round)
    for (std::size_t i = 0; i < measurements.size(); ++i) values[i].push_back(measurements[i]());
  std::vector<Summary> out;
  for (auto& value : values) out.push_back(summarise(std::move(value)));
  return out;
}

}  // namespace topazweir::lab::scale

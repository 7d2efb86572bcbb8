// A straight line through measured points, and what it says of a size that was not measured.
#pragma once

#include <algorithm>
#include <boost/math/statistics/linear_regression.hpp>
#include <cmath>
#include <limits>
#include <tuple>
#include <vector>

namespace topazweir::lab::scale {

struct Fit {
  double intercept = 0, slope = 0, r2 = 0;
  double at(double x) const { return intercept + slope * x; }
};

// Ordinary least squares, by Boost.Math. `x` and `y` of one length, at least two different values of `x`.
inline Fit fitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto [intercept, slope, r2] =
      boost::math::statistics::simple_ordinary_least_squares_with_R_squared(x, y);
  return {intercept, slope, r2};
}

// By how much `came` is off from `predicted`, as a share of what was predicted; over kUnderstood the slope is
// not understood.
inline double offBy(double predicted, double came) {
  if (predicted == came) return 0;
  return predicted == 0 ? std::numeric_limits<double>::infinity()
                        : std::abs(came - predicted) / std::abs(predicted);
}
inline constexpr double kUnderstood = 0.25;

// Of several repetitions; `spread` is the difference between the largest and the least over the middle one.
struct Repeated {
  double least = 0, middle = 0, most = 0;
  double spread() const { return middle == 0 ? 0 : (most - least) / middle; }
};
inline Repeated repeated(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

}  // namespace topazweir::lab::scale

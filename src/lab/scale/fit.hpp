// Linear fits through measured points, and summaries of repeated measurements.
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
  double predict(double x) const { return intercept + slope * x; }
};

// Ordinary least squares. `x` and `y` have the same length; `x` has at least two different values.
inline Fit fitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto [intercept, slope, r2] =
      boost::math::statistics::simple_ordinary_least_squares_with_R_squared(x, y);
  return {intercept, slope, r2};
}

// The prediction error as a share of the predicted value.
inline double relativeError(double predicted, double measured) {
  if (predicted == measured) return 0;
  return predicted == 0 ? std::numeric_limits<double>::infinity()
                        : std::abs(measured - predicted) / std::abs(predicted);
}
// Above this error the scaling of a figure counts as not understood.
inline constexpr double kMaxRelativeError = 0.25;

// Summary of repeated measurements of one figure.
struct Summary {
  double min = 0, median = 0, max = 0;
  // The range as a share of the median.
  double relativeSpread() const { return median == 0 ? 0 : (max - min) / median; }
};
inline Summary summarise(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

}  // namespace topazweir::lab::scale

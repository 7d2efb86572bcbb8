#include "lab/scale/fit.hpp"
int main() { return topazweir::lab::scale::fitLine({1, 2, 3}, {2, 4, 6}).slope > 1.9 ? 0 : 1; }

# Throughput of unary calls, directly to a stub backend and through the broker, in one run.
# Claim: throughput through the broker is at least `leastRatio` times the direct throughput.
seconds = 4
unary = [
  { inFlight = 1, bytes = 100, leastRatio = 0.2 },
  { inFlight = 16, bytes = 100, leastRatio = 0.2 },
  { inFlight = 256, bytes = 100, leastRatio = 0.1 },
  { inFlight = 1, bytes = 65536, leastRatio = 0.15 },
  { inFlight = 16, bytes = 65536, leastRatio = 0.15 },
  { inFlight = 256, bytes = 65536, leastRatio = 0.15 },
]

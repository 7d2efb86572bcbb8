# Memory use of the broker in two cases: one long stream whose reader is `slower` times slower than the
# throughput measured through the broker, and many idle streams.
# Claims: resident memory stays within `mostMb` (stream: peak; idle: with all streams open).
stream {
  mebibytes = 1024
  slower    = 10
  mostMb    = 64
}
idle {
  streams = 10000
  mostMb  = 150
}

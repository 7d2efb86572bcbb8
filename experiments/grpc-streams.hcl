# One long stream with a slow reader, and many idle ones.
# Claims: resident memory stays within `mostMb`.
stream {
  mebibytes = 1024
  slower    = 10
  mostMb    = 64
}
idle {
  streams = 10000
  mostMb  = 150
}

# One of the five aggregators; examples/fleet/run replaces "@" by its number and "@STATE@" by a directory.
membership {
  fleet  = "example"
  listen = "127.0.0.1:942@"
  zone   = "a"
  state  = "@STATE@"
  voter "n1" { address = "127.0.0.1:9421" }
  voter "n2" { address = "127.0.0.1:9422" }
  voter "n3" { address = "127.0.0.1:9423" }
}

# The smallest gRPC set-up: one pool of two backends, one route.
#   topazweir run --operator examples/grpc/broker.hcl
# `scripts/demo` starts the same with stand-in backends.
grpc {
  listen = "127.0.0.1:8443"

  pool "catalogue" {
    backend "127.0.0.1:7001" {}
    backend "127.0.0.1:7002" {}
  }

  route "catalogue" {
    service = "dawa.Catalogue"
    pool    = "catalogue"
    effect  = "safe"     # reads: may be tried again on the other backend
    retryOn = ["UNAVAILABLE"]
  }
}

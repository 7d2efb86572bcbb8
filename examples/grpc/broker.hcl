# Minimal gRPC settings: one pool of two backends, one route.
#   topazweir run --operator examples/grpc/broker.hcl
# `scripts/demo` starts a similar set-up with stub backends.
grpc {
  listen = "127.0.0.1:8443"

  pool "catalogue" {
    backend "127.0.0.1:7001" {}
    backend "127.0.0.1:7002" {}
  }

  route "catalogue" {
    service = "dawa.Catalogue"
    pool    = "catalogue"
    effect  = "safe"     # read-only: may be retried on the other backend
    retryOn = ["UNAVAILABLE"]
  }
}

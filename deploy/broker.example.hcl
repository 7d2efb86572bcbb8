# The operator file: what runs beside the platform's part. Started as
#   topazweir run --operator deploy/broker.example.hcl
# and checked as
#   topazweir check deploy/broker.example.hcl
# README.md, docs/grpc.md and docs/membership.md say what each key means.

log {
  format = "text"   # or "json": one object a line
  level  = "info"
}

# OGC API - Features. The keys are those of deploy/features.example.json.
features {
  listen      = "127.0.0.1:8081"
  title       = "Branch locations"
  class       = "branch-search"
  deadlineMs  = 2000
  aimMs       = 1000
  partialFrom = 0.8
  collections = [
    { id = "branches", title = "Branches", description = "Shops and collection points of the member groups" },
  ]
  groups = [
    { name = "nairobi", servers = [{ address = "127.0.0.1:9101" }, { address = "127.0.0.1:9102" }] },
    { name = "coast", servers = [{ address = "127.0.0.1:9103" }, { address = "127.0.0.1:9104", state = "draining" }] },
  ]
}

snmp {
  listen    = "127.0.0.1:1161"
  community = "public"
}

grpc {
  listen  = "127.0.0.1:8443"
  drainMs = 30000

  pool "catalogue" {
    backend "127.0.0.1:7001" { zone = "a" }
    backend "127.0.0.1:7002" { zone = "b" }
  }

  # Two shards, by the branch that a call is about; each backend holds one, and the third stands in for both.
  pool "stock" {
    shards  = 2
    shardBy = "x-branch"
    backend "127.0.0.1:7011" { shards = [0] }
    backend "127.0.0.1:7012" { shards = [1] }
    backend "127.0.0.1:7013" { state = "draining" }
  }

  route "search" {
    service    = "dawa.Catalogue"
    method     = "Search"
    pool       = "catalogue"
    effect     = "safe"
    deadlineMs = 2000
    aimMs      = 500
    attempts   = 3
    attemptMs  = 800
    hedging    = true
    retryOn    = ["UNAVAILABLE", "RESOURCE_EXHAUSTED"]
  }

  route "catalogue" {
    service = "dawa.Catalogue"
    pool    = "catalogue"
  }

  # An order is placed once: it is tried again only where it cannot have run.
  route "order" {
    prefix     = "dawa.orders"
    pool       = "stock"
    effect     = "unsafe"
    deadlineMs = 10000
  }

  # Calls of the tills' test ring, by metadata.
  route "test-ring" {
    prefix   = "dawa.orders"
    metadata = { x-ring = "test" }
    pool     = "catalogue"
  }
}

# The aggregators of one fleet know each other: docs/membership.md. Without this block none speaks.
membership {
  name      = "n1"
  fleet     = "dawa"
  listen    = "127.0.0.1:7946"
  zone      = "nbi-dc1"
  state     = "/var/lib/topazweir"   # a voter keeps its word here
  voter "n1" { address = "127.0.0.1:7946" }
  voter "n2" { address = "127.0.0.1:7947" }
  voter "n3" { address = "127.0.0.1:7948" }
  periodMs  = 1000
  fanOut    = 5                      # members that one hands the voters' register on to
  changeBytesPerS = 2048             # sent for that, in the mean
  # relays = ["r1", "r2"]            # these alone hand it on while any of them is there
}

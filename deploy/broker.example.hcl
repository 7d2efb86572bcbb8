# Example operator file: the settings of everything other than the platform's protocol. Started as
#   topazweir run --operator deploy/broker.example.hcl
# and checked as
#   topazweir check deploy/broker.example.hcl
# The keys are described in README.md, docs/grpc.md and docs/membership.md.

log {
  format = "text"   # or "json": one object per line
  level  = "info"
}

# OGC API - Features. The keys are the same as in deploy/features.example.json.
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

  # Two shards, selected by the metadata key x-branch. The first two backends hold one shard each, the third
  # holds both.
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

  # Orders are not idempotent: a call is retried only if the failed attempt cannot have been executed.
  route "order" {
    prefix     = "dawa.orders"
    pool       = "stock"
    effect     = "unsafe"
    deadlineMs = 10000
  }

  # Calls from the test ring of the tills (points of sale), matched by metadata.
  route "test-ring" {
    prefix   = "dawa.orders"
    metadata = { x-ring = "test" }
    pool     = "catalogue"
  }
}

# Membership of the aggregators of one fleet, see docs/membership.md. An aggregator without this block takes
# no part in it.
membership {
  name      = "n1"
  fleet     = "dawa"
  listen    = "127.0.0.1:7946"
  zone      = "nbi-dc1"
  state     = "/var/lib/topazweir"   # directory of the persistent Raft state of a voter
  voter "n1" { address = "127.0.0.1:7946" }
  voter "n2" { address = "127.0.0.1:7947" }
  voter "n3" { address = "127.0.0.1:7948" }
  periodMs  = 1000
  fanOut    = 5                      # members to which each member relays the voters' register
  changeBytesPerS = 2048             # mean send rate of this relaying, bytes per second
  # relays = ["r1", "r2"]            # while any of these is available, only they and the voters relay it
}

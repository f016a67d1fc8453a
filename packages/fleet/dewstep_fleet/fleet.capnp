@0xb9d1f2c7a6e3405d;
# Messages between the instances of a fleet.

struct Row {
  table @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
  removed @4 :Bool;
}

struct RowChange {
  table @0 :Text;
  key @1 :Text;
  base @2 :UInt64;         # version that the change applies to
  version @3 :UInt64;
  pieces @4 :List(Data);
  checksum @5 :UInt32;     # of the new content
}

struct Load {
  target @0 :Text;
  running @1 :UInt32;      # requests in progress at the target
  ended @2 :UInt32;        # requests ended since the last report
  busyMicroseconds @3 :UInt64;      # time of the ended requests at the target, without queueing
  expectedMicroseconds @4 :UInt64;  # typical time of these requests
}

struct Totals {
  # Lists of equal length with one entry for each target that has requests.
  targets @0 :List(UInt32);    # hashes of the target names
  running @1 :List(UInt16);    # requests in progress, from all instances
  slowness @2 :List(UInt16);   # response time in percent of the typical one
  admitted @3 :List(UInt8);    # percentage of its requests that it can serve
}

struct Versions {
  # Lists of equal length with one entry for each row that the sender has.
  rows @0 :List(UInt64);       # hashes of the row keys
  versions @1 :List(UInt64);
}

struct Span {
  service @0 :Text;
  first @1 :UInt32;
  last @2 :UInt32;
}

struct KeyCount {
  service @0 :Text;
  key @1 :UInt32;
  count @2 :UInt32;
}

struct Crash {
  fingerprint @0 :Data;
  count @1 :UInt32;
  target @2 :Text;         # "report": the lost target; empty from earlier versions
  life @3 :UInt64;         # its incarnation
  sentAgeMs @4 :UInt32;    # time since the request was sent to it
  lostAgeMs @5 :UInt32;    # time since it was lost
}

struct Departure {
  target @0 :Text;
  life @1 :UInt64;         # incarnation of the target
}

struct Limit {
  target @0 :Text;
  life @1 :UInt64;
  rate @2 :Float64;        # requests/s, infinite if the target names no limit any more
  ageMs @3 :UInt32;        # time since the answer that named it
}

struct Cold {
  target @0 :Text;
  life @1 :UInt64;
  ageMs @2 :UInt32;        # time since the observation
  leftMs @3 :UInt32;       # time until it becomes warm
  unanswered @4 :Bool;     # no answer since the observation; leftMs is 0
  failed @5 :Bool;         # it has refused or reset connections
}

struct PermitRequest {
  target @0 :Text;
  life @1 :UInt64;
  count @2 :UInt32;
  coldRate @3 :Float64;    # requests/s to a cold target; 0 if it is warm for the sender
}

struct Permits {
  target @0 :Text;
  count @1 :UInt32;
  waitMs @2 :UInt32;       # time until the next permit; 0 if all were issued
  cold @3 :Bool;           # issued for a cold target
}

struct Frame {
  kind @0 :Text;           # message type, see Frame.kind in frames.py
  term @1 :UInt64;
  node @2 :Text;
  incarnation @3 :Text;
  heard @4 :Bool;          # see Frame.heard in frames.py
  contact @5 :Bool;        # the store answers the sender
  members @6 :UInt32;
  rows @7 :List(Row);
  loads @8 :List(Load);
  moving @9 :List(Span);
  keys @10 :List(KeyCount);
  crashes @11 :List(Crash);
  stopping @12 :Bool;
  deputy @13 :Bool;        # "beat": the receiver also follows the store
  holdsMs @14 :UInt32;     # remaining time of grants longer than the usual duration
  totals @15 :Totals;
  versions @16 :Versions;
  holdsKnown @17 :Bool;    # holdsMs covers the grants sent before the sender's start
  heartbeatMs @18 :UInt64; # see Frame.heartbeat_ms in frames.py
  departures @19 :List(Departure);
  limits @20 :List(Limit);
  wanted @21 :List(PermitRequest);
  permits @22 :List(Permits);
  askedMs @23 :UInt64;     # see Frame.asked_ms in frames.py
  reachesTargets @24 :Bool; # "report": a target has just answered the sender
  changes @25 :List(RowChange);
  acceptsChanges @26 :Bool; # "versions": the sender can apply changes of rows
  ageMs @27 :UInt32;       # "confirmed": time since the sender's configuration was the newest
  movesKept @28 :Bool;     # see Frame.moves_kept in frames.py
  begun @29 :List(Span);
  ended @30 :List(Span);
  acceptsMoves @31 :Bool;  # "versions": the sender can apply changes of the moves
  readsEvacuations @32 :Bool; # the sender reads the rows that ask for an evacuation
  cold @33 :List(Cold);
  acceptsCompact @34 :Bool; # "report": see Frame.accepts_compact in frames.py
  wantsTotals @35 :Bool;   # "report": the last totals did not fit
}

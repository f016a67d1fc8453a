@0xb9d1f2c7a6e3405d;
# Messages between the instances of a fleet.

struct Row {
  table @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
  removed @4 :Bool;
}

struct Load {
  target @0 :Text;
  running @1 :UInt32;      # requests at the target
  ended @2 :UInt32;        # requests that ended since the last report
  busyMicroseconds @3 :UInt64;      # their time at the target, without waiting
  expectedMicroseconds @4 :UInt64;  # their typical time
}

struct Totals {
  # Columns of equal length, one entry for each busy target.
  targets @0 :List(UInt32);    # short identifiers
  running @1 :List(UInt16);    # requests at the target, of all instances
  slowness @2 :List(UInt16);   # hundredths of the typical time of its answers
  admitted @3 :List(UInt8);    # hundredths of its requests that it can serve
}

struct Versions {
  # Columns of equal length, one entry for each row that the sender has.
  rows @0 :List(UInt64);       # identifiers
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
}

struct Frame {
  kind @0 :Text;           # see frames.py
  term @1 :UInt64;
  node @2 :Text;
  incarnation @3 :Text;
  heard @4 :Bool;          # "tell": the sender hears a coordinator
  contact @5 :Bool;        # the sender reaches the store
  members @6 :UInt32;
  rows @7 :List(Row);
  loads @8 :List(Load);
  moving @9 :List(Span);
  keys @10 :List(KeyCount);
  crashes @11 :List(Crash);
  stopping @12 :Bool;
  deputy @13 :Bool;        # "beat": the receiver follows the store as well
  holdsMs @14 :UInt32;     # for how long unusually long grants may go on
  totals @15 :Totals;
  versions @16 :Versions;
}

@0xc6f1a8d2b94e3075;

# Frames between entry processes. Each is preceded by its length in bytes
# (4 bytes, big endian).

struct Frame {
  stream @0 :UInt64;
  # Number of the request on its link, from 1 and never reused; 0 for messages.

  union {
    hello @1 :Hello;
    request @2 :RequestHead;
    answer @3 :AnswerHead;
    chunk @4 :Data;
    # Part of the body, at most 64 KiB.
    end @5 :End;
    # End of the body.
    cancel @6 :Void;
    # The answer to the request is no longer needed.
    credit @7 :UInt32;
    # Additional bytes of the body that may be sent.
    heartbeat @8 :Heartbeat;
    fetch @9 :Fetch;
    value @10 :Value;
    alive @11 :Void;
    # A heartbeat without changes.
  }
}

struct Hello {
  protocol @0 :UInt32;
  member @1 :Member;
}

struct Member {
  entry @0 :Text;
  incarnation @1 :Text;
  dataCentre @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  operatorPort @5 :UInt16;
}

struct Suspicion {
  entry @0 :Text;
  incarnation @1 :Text;
}

struct RequestHead {
  service @0 :Text;
  kind @1 :Text;
  key @2 :Text;
  requestId @3 :Text;
  generatedId @4 :Bool;
  method @5 :Text;
  path @6 :Text;
  headers @7 :Data;
  # Alternating names and values, separated by line feeds, which they cannot contain.
  bodyLength @8 :Int64;
  # -1 for a chunked body.
  remainingMilliseconds @9 :UInt32;
  # Time until the deadline when the frame was written.
  start @10 :Data;
  complete @11 :Bool;
  # Whether `start` is the whole body; otherwise chunks and an end follow.
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :Data;
  bodyLength @2 :Int64;
  failure @3 :Text;
  start @4 :Data;
  complete @5 :Bool;
}

struct End {
  failure @0 :Text;
  # Name of the failure that ended the body early; empty for a complete body.
  detail @1 :Text;
  # Fields of the failure as JSON.
}

struct Heartbeat {
  revision @0 :UInt64;
  versions @1 :List(Version);
  tableContactMilliseconds @2 :Int64;
  # Time since the last contact with the table service; -1 if there was none.
  members @3 :List(Member);
  suspicions @4 :List(Suspicion);
}

struct Version {
  service @0 :Text;
  version @1 :UInt64;
}

struct Fetch {
  what @0 :Text;
  # Kind of the item, for example "assignment".
  name @1 :Text;
}

struct Value {
  what @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  payload @3 :Data;
}

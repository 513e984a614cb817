@0xc1f5a3d2b8e94c71;
# Messages on a connection between two processes of the system. A Batch is sent as one
# frame: a length of four bytes, big endian, followed by this message.

struct Batch {
  frames @0 :List(Frame);
}

struct Frame {
  stream @0 :UInt64;
  # Stream that the frame belongs to; 0 is the connection itself.
  union {
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    open @3 :Open;
    head @4 :Head;
    chunk @5 :Data;
    end @6 :Void;
    broken @7 :Text;
    refused @8 :Refused;
    cancel @9 :Void;
    credit @10 :UInt32;
    # Bytes of chunks that the peer may send in addition to those granted before.
    notice @11 :Notice;
    # Information for the peer; it gets no answer.
    question @12 :Notice;
    answer @13 :Data;
  }
}

struct Hello {
  version @0 :UInt16;
  role @1 :Text;
  vm @2 :Text;
  availabilityZone @3 :Text;
  incarnation @4 :UInt64;
  token @5 :Text;
  service @6 :Text;
}

struct Heartbeat {
  sequence @0 :UInt64;
  tableRevision @1 :UInt64;
  running @2 :UInt32;
  tokensInFlight @3 :UInt64;
  leaving @4 :Bool;
  tableEra @5 :UInt64;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Open {
  requestId @0 :Text;
  attempt @1 :Data;
  incarnation @2 :UInt64;
  customer @3 :Text;
  method @4 :Text;
  path @5 :Data;
  headers @6 :List(Header);
  deadlineMs @7 :UInt32;
  key @8 :Text;
  bodyDigest @9 :Data;
  join @10 :Bool;
  # Deliver the answer of the attempt that holds the key; start no attempt.
  resumeFrom @11 :UInt64;
  keyWindowS @12 :UInt32;
}

struct Head {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct Refused {
  reason @0 :Text;
  retryAfterMs @1 :UInt32;
}

struct Notice {
  topic @0 :Text;
  body @1 :Data;
}

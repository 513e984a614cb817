@0xd8a3b1f47c20e695;
# Claims of idempotency keys: the pages in the key-value service and the messages
# between entries.

struct Claim {
  # Three words, so a claim takes 24 bytes in a page.
  keyHash @0 :UInt64;
  attempt @1 :UInt64;
  bodyDigest @2 :UInt32;
  target @3 :UInt16;
  # Index into the list of targets of the page.
  void @4 :Bool;
}

struct Target {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Page {
  claims @0 :List(Claim);
  targets @1 :List(Target);
  writeId @2 :UInt64;
  # Random for each write, so that the first bytes of a page identify its content.
}

struct Change {
  slice @0 :UInt64;
  expectedAttempt @1 :UInt64;
  claim @2 :Claim;
  target @3 :Target;
}

struct Result {
  status @0 :UInt8;
  present @1 :Bool;
  claim @2 :Claim;
  target @3 :Target;
}

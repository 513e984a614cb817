@0xb3e8d1f0a6c24795;
# Requests and grants of shares of customers' limits, sent between entries.

struct Asks {
  asks @0 :List(Ask);
}

struct Ask {
  customer @0 :Text;
  sequence @1 :UInt64;
  need @2 :Float64;
  # Fraction of the customer's limits that is requested beyond the safe share.
  held @3 :Float64;
  heldMs @4 :UInt32;
}

struct Answers {
  answers @0 :List(Answer);
}

struct Answer {
  customer @0 :Text;
  sequence @1 :UInt64;
  amount @2 :Float64;
  leaseMs @3 :UInt32;
  againMs @4 :UInt32;
}

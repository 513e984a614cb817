@0xd1f4a7c2b9e85361;
# What entries and agents of the direct path tell each other in datagrams. Each one says
# how things are at the moment; a lost one is made good by the next.

struct Datagram {
  union {
    entry @0 :EntryState;
    load @1 :Load;
    rank @2 :RankState;
    change @3 :MapChange;
  }
}

struct EntryState {
  address @0 :Text;
  configurationRevision @1 :UInt64;
  replicasRevision @2 :UInt64;
  beliefs @3 :Text;
  unheard @4 :Bool;
}

struct Beliefs {
  # What an entry has learnt from the store, for one that can't read it.
  configurationRevision @0 :UInt64;
  configuration @1 :Data;
  replicasRevision @2 :UInt64;
  replicas @3 :List(Item);
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Load {
  group @0 :Text;
  epoch @1 :UInt32;
  ranks @2 :UInt16;
  open @3 :Bool;
  step @4 :UInt64;
  passUs @5 :UInt32;
  entries @6 :List(Text);
  members @7 :List(Member);
}

struct Member {
  address @0 :Text;
  active @1 :UInt16;
  queued @2 :UInt16;
  ageMs @3 :UInt16;
  pace @4 :Float32;
  startedMs @5 :UInt64;
}

struct Lists {
  # Lists of experts, one behind the other: lists of their own take three times the
  # space, and a map of 16 sets on 24 ranks has 384 of them.
  items @0 :List(UInt16);
  lengths @1 :List(UInt16);
}

struct RankState {
  messages @0 :Text;
  replica @1 :Text;
  group @2 :Text;
  epoch @3 :UInt32;
  rank @4 :UInt16;
  ranks @5 :UInt16;
  open @6 :Bool;
  active @7 :UInt16;
  step @8 :UInt64;
  mapVersion @9 :UInt64;
  prepared @10 :UInt64;
  armedVersion @11 :UInt64;
  armedStep @12 :UInt64;
  heldStep @13 :UInt64;
  experts @14 :Lists;
  counts @15 :List(UInt16);
  # Choices since the rank's start, modulo 65,536; empty in most datagrams.
  queued @16 :UInt16;
  pace @17 :Float32;
  startedMs @18 :UInt64;
}

struct MapChange {
  group @0 :Text;
  epoch @1 :UInt32;
  version @2 :UInt64;
  experts @3 :Lists;
  # By set, then by rank.
  step @4 :UInt64;
  # Pass from which on the map is used; 0 while its experts are being copied.
  sets @5 :UInt16;
  forward @6 :List(Text);
}

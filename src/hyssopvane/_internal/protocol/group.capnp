@0xd1f4a7c2b9e85361;
# Datagrams between entries and agents of the direct path. Each one holds the current
# state of its sender, so the next one makes up for a lost one.

struct Datagram {
  union {
    entry @0 :EntryState;
    load @1 :Load;
    rank @2 :RankState;
    change @3 :MapChange;
    roster @4 :Roster;
    presence @5 :Presence;
    order @6 :OrderRequest;
    limits @7 :ReplicaLimits;
  }
}

struct EntryState {
  address @0 :Text;
  unusedRevision @1 :UInt64;
  # Compared by processes of an earlier release only, which take 0 for no change.
  replicasRevision @2 :UInt64;
  beliefs @3 :Text;
  unheard @4 :Bool;
  availabilityZone @5 :Text;
  via @6 :Text;
  storeReturnedMs @7 :UInt16;
  # Milliseconds since the store last became reachable again, plus one; 0 for none.
  configurationVersion @8 :UInt64;
  replicasEra @9 :UInt64;
  unreportedRequests @10 :UInt32;
  # Requests of services that report no load, plus one; 0 if not told.
  evacuationsChangedAt @11 :Position;
  # Position of the last change of evacuations; zero if not told.
  waiting @12 :Data;
  # What waits for the receiver's service, as described at `Load.waiting`.
  tellsWaiting @13 :Bool;
}

struct Position {
  era @0 :UInt64;
  revision @1 :UInt64;
}

struct ReplicaLimits {
  news @0 :List(LimitNews);
}

struct LimitNews {
  replica @0 :Text;
  startedMs @1 :UInt64;
  named @2 :Bool;
  # Whether the replica currently reports a limit.
  perS @3 :Float64;
  ageMs @4 :UInt32;
}

struct Presence {
  messages @0 :Text;
  group @1 :Text;
  epoch @2 :UInt32;
  rank @3 :UInt16;
  leads @4 :Bool;
}

struct Beliefs {
  # What an entry has read from the store, for an entry that can't read it.
  configurationRevision @0 :UInt64;
  configuration @1 :Data;
  replicasRevision @2 :UInt64;
  replicas @3 :List(Item);
  replicasEra @4 :UInt64;
  evacuations @5 :List(Item);
  evacuationsPosition @6 :Position;
  # Zero if the sender does not follow evacuations.
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Load {
  roster @0 :UInt64;
  source @1 :UInt32;
  sequence @2 :UInt32;
  epoch @3 :UInt32;
  ranks @4 :UInt16;
  open @5 :Bool;
  step @6 :UInt64;
  passUs @7 :UInt32;
  entries @8 :UInt16;
  members @9 :Data;
  # Six bytes per member: two for its running requests, two for its queued requests,
  # one for its pace in sixteenths and one for its age in hundredths of a second.
  relay @10 :Bool;
  forward @11 :Text;
  waiting @12 :Data;
  # Waiting requests of all entries: the number of priorities, one byte for each of
  # them, then for each customer a hash of four bytes, one byte for the number of counts,
  # and a count for each of the first priorities, in groups of seven bits. The same
  # customers have requests of several priorities, so this takes half of the bytes of
  # one row for each count.
  tellsWaiting @13 :Bool;
  # Whether the sender tells what waits; absent from earlier releases.
  reporting @14 :UInt16;
  # Number of entries that report what waits.
}

struct Roster {
  number @0 :UInt64;
  group @1 :Text;
  members @2 :List(Member);
  entries @3 :List(EntryContact);
  relay @4 :Bool;
  forward @5 :Text;
}

struct Member {
  address @0 :Text;
  startedMs @1 :UInt64;
}

struct EntryContact {
  address @0 :Text;
  availabilityZone @1 :Text;
}

struct OrderRequest {
  group @0 :Text;
  epoch @1 :UInt32;
  step @2 :UInt64;
  # 0 to only poll the rank.
  release @3 :Bool;
}

struct Lists {
  # Concatenated lists of experts with one or two bytes per expert. Separate lists take
  # three times the space, and a map of 12 sets on 64 ranks has 768 of them.
  items @0 :Data;
  lengths @1 :Data;
  wide @2 :Bool;
}

struct Counts {
  # Compressed, one byte per count, in a unit that fits the largest count. The counts of
  # 12 sets of 256 experts take 2 KB this way, and 6 KB with two bytes per count.
  items @0 :Data;
  unit @1 :UInt32;
  size @2 :UInt32;
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
  counts @15 :Counts;
  # Expert choices since the last counts of the rank; empty in most datagrams.
  queued @16 :UInt16;
  pace @17 :Float32;
  startedMs @18 :UInt64;
}

struct MapChange {
  group @0 :Text;
  epoch @1 :UInt32;
  version @2 :UInt64;
  experts @3 :Lists;
  # Ordered by set, then by rank.
  step @4 :UInt64;
  # Pass from which the map is used; 0 while its experts are being copied.
  sets @5 :UInt16;
  forward @6 :List(Text);
}

@0xc1f27d4a903be856;
# The table and the list of VMs, exchanged between entries and sent to agents.

struct PageState {
  key @0 :Text;
  revision @1 :UInt64;
  era @2 :UInt64;
}

struct PageChange {
  key @0 :Text;
  baseRevision @1 :UInt64;
  # Zero when the content is the full page.
  revision @2 :UInt64;
  digest @3 :UInt64;
  content @4 :Data;
  era @5 :UInt64;
  # Era of the key-value service that both revisions belong to.
}

struct Pages {
  changes @0 :List(PageChange);
  more @1 :Bool;
  # There are further pages; query again with the pages that are held by then.
}

struct Question {
  held @0 :List(PageState);
}

struct Beat {
  origin @0 :Text;
  # Watcher that sent the beat first.
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  revision @3 :UInt64;
  digest @4 :UInt64;
  # Revision and digest are those of the sender.
  inTouch @5 :Bool;
  vmsDigest @6 :UInt64;
  era @7 :UInt64;
}

struct Cell {
  column @0 :Text;
  text @1 :Text;
}

struct OwnRow {
  row @0 :Text;
  pageRevision @1 :UInt64;
  present @2 :Bool;
  cells @3 :List(Cell);
  pageEra @4 :UInt64;
  lostRevision @5 :UInt64;
}

struct OwnRows {
  tableRevision @0 :UInt64;
  rows @1 :List(OwnRow);
  tableEra @2 :UInt64;
}

struct ListedVm {
  name @0 :Text;
  address @1 :Text;
  availabilityZone @2 :Text;
  role @3 :Text;
  service @4 :Text;
  state @5 :Text;
}

struct VmChanges {
  changed @0 :List(ListedVm);
  gone @1 :List(Text);
}

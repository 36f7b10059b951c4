@0x94c1e7d20b8f6a35;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

struct ServerEntry {
  name @0 :Text;
  service @1 :Text;
  daemon @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  slots @5 :UInt32;
  connections @6 :UInt32;
  incarnation @7 :UInt64;
  sequence @8 :UInt64;
  leaving @9 :Bool;
  backend @10 :UInt64;
  warmUpRate @11 :Float64;
}

struct ViewRecord {
  entry @0 :ServerEntry;
  home @1 :Text;
  attachment @2 :UInt64;
  revision @3 :UInt64;
  lapsed @4 :Bool;
}

struct DaemonReport {
  attachment @0 :UInt64;
  entry @1 :ServerEntry;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  stream @4 :UInt64;
  position @5 :UInt64;
  digest @6 :UInt64;
}

struct MemberRecords {
  all @0 :Bool;
  records @1 :List(ViewRecord);
}

struct ViewMemberMessage {
  union {
    report @0 :DaemonReport;
    records @1 :MemberRecords;
    digest @2 :UInt64;
    syncAsk @3 :Void;
  }
}

struct ViewChange {
  entry @0 :ServerEntry;
  gone @1 :Bool;
}

struct ViewDelta {
  stream @0 :UInt64;
  from @1 :UInt64;
  to @2 :UInt64;
  whole @3 :Bool;
  replace @4 :Bool;
  wantEntry @5 :Bool;
  changes @6 :List(ViewChange);
}

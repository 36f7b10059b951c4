@0xe7b08d4f5a61c293;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

struct ClaimHandle {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
}

struct ClaimRecord {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
  holder @3 :UInt32;
  ageMillis @4 :UInt32;
}

struct ClaimRefillAsk {
  incarnation @0 :UInt64;
  cursor @1 :UInt64;
  settled @2 :Bool;
}

struct ClaimRefillPage {
  asker @0 :UInt64;
  incarnation @1 :UInt64;
  ready @2 :Bool;
  firstStart @3 :Bool;
  founders @4 :List(UInt64);
  cursor @5 :UInt64;
  next @6 :UInt64;
  done @7 :Bool;
  holders @8 :List(Text);
  records @9 :List(ClaimRecord);
  settled @10 :Bool;
}

struct ClaimMemberMessage {
  union {
    request @0 :ClaimHandle;
    release @1 :ClaimHandle;
    refillAsk @2 :ClaimRefillAsk;
    refillPage @3 :ClaimRefillPage;
  }
}

struct ClaimVote {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
  kind @3 :UInt8;
  holder @4 :Text;
  holderToken @5 :UInt64;
}

struct KeptHeader {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimFetched {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  token @2 :UInt64;
  state @3 :UInt8;
  status @4 :UInt16;
  headers @5 :List(KeptHeader);
  body @6 :Data;
  verdict @7 :UInt8;
  reason @8 :UInt8;
  retryAfterMillis @9 :UInt32;
}

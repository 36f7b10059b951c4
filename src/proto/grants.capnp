@0xd1a4c6f0927b3e58;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

struct GrantAsk {
  workspace @0 :Text;
  sequence @1 :UInt64;
  generation @2 :UInt64;
  granted @3 :UInt64;
  spent @4 :UInt64;
  want @5 :UInt32;
  waiting @6 :UInt32;
}

struct GrantAskBatch {
  incarnation @0 :UInt64;
  asks @1 :List(GrantAsk);
}

struct GrantReply {
  workspace @0 :Text;
  sequence @1 :UInt64;
  generation @2 :UInt64;
  granted @3 :UInt64;
  scarce @4 :Bool;
  waitMillis @5 :UInt32;
}

struct GrantReplyBatch {
  owner @0 :Bool;
  leader @1 :Text;
  replies @2 :List(GrantReply);
}

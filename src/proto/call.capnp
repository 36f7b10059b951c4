@0xb2f5a1c8d3e47960;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

struct HeaderLine {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  id @0 :UInt64;
  route @1 :Text;
  service @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(HeaderLine);
  body @6 :Data;
  workspace @7 :Text;
  requestId @8 :Text;
  workspacePriority @9 :UInt16;
  idempotent @10 :Bool;
  nested @11 :Bool;
  depth @12 :UInt8;
  attempts @13 :UInt32;
  timeLeftMicros @14 :UInt32;
  host @15 :Text;
  callerService @16 :Text;
  routePriority @17 :UInt16;
  repeated @18 :Bool;
  hasStatedRate @19 :Bool;
  statedRateStart @20 :UInt64;
  statedRequestsPerSecond @21 :Float64;
  digest @22 :UInt64;
  suspect @23 :Bool;
  trial @24 :Bool;
}

struct ServiceDemand {
  service @0 :Text;
  price @1 :Float32;
  workMicros @2 :UInt32;
}

struct SlotPrice {
  server @0 :UInt64;
  price @1 :Float32;
  report @2 :UInt32;
  ageMillis @3 :UInt16;
}

struct ServicePrices {
  service @0 :Text;
  servers @1 :List(SlotPrice);
}

struct LoadHint {
  running @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  admissionFloor @3 :UInt8;
  leaving @4 :Bool;
  hasRateLimit @5 :Bool;
  requestsPerSecond @6 :Float64;
  offeredPerSecond @7 :Float64;
  backendStart @8 :UInt64;
  departed @9 :Bool;
  warmUpRate @10 :Float64;
  workMicros @11 :UInt32;
}

struct Answer {
  id @0 :UInt64;
  verdict @1 :UInt8;
  reason @2 :UInt8;
  retryAfterMillis @3 :UInt32;
  status @4 :UInt16;
  headers @5 :List(HeaderLine);
  body @6 :Data;
  attemptsUnused @7 :UInt32;
  load @8 :LoadHint;
  downstream @9 :List(Text);
  saturated @10 :Text;
  arrived @11 :Bool;
  demands @12 :List(ServiceDemand);
  prices @13 :List(ServicePrices);
}

struct Cancel {
  id @0 :UInt64;
}

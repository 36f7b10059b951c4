@0xd0c3b1f7a2e94586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

struct ControlMember {
  id @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  voter @3 :Bool;
  failureDomain @4 :Text;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
  members @4 :List(ControlMember);
}

struct LogBatch {
  entries @0 :List(LogEntry);
}

struct LogSnapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(ControlMember);
  data @3 :Data;
}

struct VoteRecord {
  identity @0 :UInt64;
  cluster @1 :UInt64;
  term @2 :UInt64;
  votedFor @3 :UInt64;
}

struct VoteAsk {
  round @0 :UInt64;
  proposedTerm @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
  handOver @5 :Bool;
}

struct VoteReply {
  round @0 :UInt64;
  preVote @1 :Bool;
  granted @2 :Bool;
  notMember @3 :Bool;
}

struct AppendAsk {
  prevIndex @0 :UInt64;
  prevTerm @1 :UInt64;
  commit @2 :UInt64;
  sentAtNanos @3 :Int64;
  entries @4 :List(LogEntry);
}

struct AppendReply {
  accepted @0 :Bool;
  match @1 :UInt64;
  sentAtNanos @2 :Int64;
}

struct SnapshotAsk {
  snapshot @0 :LogSnapshot;
  sentAtNanos @1 :Int64;
}

struct ReadAsk {
  sentAtNanos @0 :Int64;
  sessionsIndex @1 :UInt64;
}

struct ReadReply {
  sentAtNanos @0 :Int64;
  commit @1 :UInt64;
}

struct JoinAsk {
  name @0 :Text;
  failureDomain @1 :Text;
}

struct JoinReply {
  empty @0 :Bool;
  leader @1 :Text;
}

struct RaftMessage {
  cluster @0 :UInt64;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  union {
    voteAsk @4 :VoteAsk;
    voteReply @5 :VoteReply;
    appendAsk @6 :AppendAsk;
    appendReply @7 :AppendReply;
    snapshotAsk @8 :SnapshotAsk;
    handOver @9 :Void;
    readAsk @10 :ReadAsk;
    readReply @11 :ReadReply;
    joinAsk @12 :JoinAsk;
    joinReply @13 :JoinReply;
  }
}

struct Configuration {
  version @0 :UInt64;
  text @1 :Text;
  baseVersion @2 :UInt64;
  compressedText @3 :Data;
}

struct ConfigurationDifference {
  index @0 :UInt64;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  difference @3 :Data;
}

struct Key {
  keyId @0 :Text;
  workspace @1 :Text;
  label @2 :Text;
  digest @3 :Data;
  withdrawn @4 :Bool;
}

struct Evacuation {
  failureDomain @0 :Text;
  evacuated @1 :Bool;
  revision @2 :UInt64;
}

struct EvacuationOrder {
  failureDomain @0 :Text;
  evacuated @1 :Bool;
  hasBaseRevision @2 :Bool;
  baseRevision @3 :UInt64;
}

struct Suspect {
  digest @0 :UInt64;
  service @1 :Text;
  crashes @2 :UInt32;
  concurrency @3 :UInt32;
  servers @4 :List(UInt64);
  revision @5 :UInt64;
  trials @6 :UInt32;
}

struct CrashReport {
  service @0 :Text;
  server @1 :UInt64;
  concurrency @2 :UInt32;
  running @3 :List(UInt64);
  isolated @4 :List(UInt64);
}

struct TrialClaim {
  digest @0 :UInt64;
  revision @1 :UInt64;
  trials @2 :UInt32;
}

struct SuspectRevision {
  digest @0 :UInt64;
  revision @1 :UInt64;
}

struct FleetDelta {
  index @0 :UInt64;
  union {
    configuration @1 :Configuration;
    key @2 :Key;
    members @3 :List(ControlMember);
    evacuation @4 :Evacuation;
    suspects @5 :List(Suspect);
    departure @6 :UInt64;
  }
}

struct FleetImage {
  index @0 :UInt64;
  configuration @1 :Configuration;
  keys @2 :List(Key);
  members @3 :List(ControlMember);
  evacuations @4 :List(Evacuation);
  suspects @5 :List(Suspect);
  departures @6 :List(UInt64);
}

struct ChangeResult {
  outcome @0 :UInt8;
  version @1 :UInt64;
  index @2 :UInt64;
  reason @3 :Text;
}

struct KeptChange {
  id @0 :Text;
  checksum @1 :UInt32;
  result @2 :ChangeResult;
}

struct ConfigurationStep {
  version @0 :UInt64;
  index @1 :UInt64;
  changeId @2 :Text;
}

struct FleetState {
  image @0 :FleetImage;
  kept @1 :List(KeptChange);
  history @2 :List(ConfigurationStep);
}

struct Change {
  id @0 :Text;
  union {
    submit @1 :Configuration;
    issue @2 :Key;
    withdraw @3 :Text;
    setEvacuation @4 :EvacuationOrder;
    reportCrash @5 :CrashReport;
    clearSuspects @6 :List(SuspectRevision);
    claimTrial @7 :TrialClaim;
    recordDeparture @8 :UInt64;
  }
}

struct SessionAsk {
  cluster @0 :UInt64;
  name @1 :Text;
  appliedIndex @2 :UInt64;
  version @3 :UInt64;
  sentAtNanos @4 :Int64;
}

struct SessionReply {
  cluster @0 :UInt64;
  serving @1 :Bool;
  sentAtNanos @2 :Int64;
  ageNanos @3 :Int64 = -1;
  baseIndex @4 :UInt64;
  index @5 :UInt64;
  image @6 :FleetImage;
  deltas @7 :List(FleetDelta);
  configuration @8 :ConfigurationDifference;
}

struct OperatorAsk {
  token @0 :UInt64;
  union {
    change @1 :Change;
    removeMember @2 :Text;
    awaitInForce @3 :UInt64;
  }
}

struct OperatorReply {
  token @0 :UInt64;
  result @1 :ChangeResult;
}

@0xd6a1f0923b7c5e14;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pw::proto");

# First frame of each side: who it is and what the other side must sign.
struct Hello {
  version @0 :UInt16;
  address @1 :Text;
  nonce @2 :Data;
}

# Second frame of each side: proof that it knows the fleet's secret.
struct Proof {
  mac @0 :Data;
}

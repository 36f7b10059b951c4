@0xe81b0c6fa2d39457;

using Cxx = import "/capnp/c++.capnp";
using Call = import "call.capnp".Call;
using Answer = import "call.capnp".Answer;
$Cxx.namespace("pw::proto");

# The request path as an RPC interface; only measured, see docs/design/transport.md.
interface Exchange {
  run @0 (call :Call) -> (answer :Answer);
}

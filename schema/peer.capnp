# Calls between nodes.
#
# The generated code is committed, so a build needs neither the compiler nor its
# plugin. After a change to this file, with capnpc-rust on the path, regenerate with:
#   capnp compile -orust:src/generated --src-prefix=schema schema/peer.capnp

@0xc1f0a7d5b3e94826;

# Heartbeats are sent all the time, so their fields have a binary form. All other
# calls carry their plain struct as JSON, as the records inside them are written
# in JSON everywhere else.

struct MemberRow {
  name @0 :Text;
  dataCentre @1 :Text;
  # Request address, then peer address; each is a length byte of 6 (IPv4) or 18
  # (IPv6), the octets, and the port in network byte order.
  addresses @2 :Data;
  incarnation @3 :UInt64;
  leaving @4 :Bool;
  # Age of the last exchange in units of 50 ms; 255 when there was none.
  age @5 :UInt8;
}

struct NodeStatus {
  # Sequence number of the configuration in effect.
  sequence @0 :UInt64;
  # Age of the newest confirmation in milliseconds, or maximum when there was none.
  confirmationAgeMs @1 :UInt32 = 0xffffffff;
  # Digest of the instance list in use.
  listDigest @2 :UInt64;
  # Age of the read of that list in milliseconds, or maximum when there was none.
  listAgeMs @3 :UInt32 = 0xffffffff;
}

struct Heartbeat {
  sender @0 :Text;
  status @1 :NodeStatus;
  rows @2 :List(MemberRow);
  # Digest of each bucket of the sender's table.
  digests @3 :List(UInt32);
}

struct HeartbeatReply {
  status @0 :NodeStatus;
  rows @1 :List(MemberRow);
  # Bit per bucket: set when the digests of both tables agree.
  matching @2 :UInt64;
  # For each matching bucket the number of its members and their ages, in table order.
  ages @3 :Data;
  # Ages of the members of the other buckets: the first 24 bits of the hash of the
  # name, then 8 bits of age.
  keyedAges @4 :List(UInt32);
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (reply :HeartbeatReply);
  pushChange @1 (body :Data) -> (body :Data);
  fetchChanges @2 (body :Data) -> (body :Data);
  requestQuota @3 (body :Data) -> (body :Data);
  reportCold @4 (body :Data) -> (body :Data);
  pinSession @5 (body :Data) -> (body :Data);
  lookUpSession @6 (body :Data) -> (body :Data);
  claim @7 (body :Data) -> (body :Data);
  finishClaim @8 (body :Data) -> (body :Data);
  copyBills @9 (body :Data) -> (body :Data);
  sendEvidence @10 (body :Data) -> (body :Data);
  handOverQuota @11 (body :Data) -> (body :Data);
}

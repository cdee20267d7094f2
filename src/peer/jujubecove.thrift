// The protocol between entry daemons. Binary protocol in frames of a 4-byte
// big-endian length, over TCP. Generate with:
//   thrift -gen cpp:no_skeleton,moveable_types -out src/peer/gen-cpp src/peer/jujubecove.thrift
namespace cpp jujubecove.wire

// A later value overrides an earlier one at the same sequence number.
enum MemberState {
  LIVE = 0
  SUSPECT = 1
  LEAVING = 2
  GONE = 3
}

// What is claimed of one incarnation of an entry daemon. Only that incarnation
// raises the sequence number.
struct Member {
  1: i64 incarnation
  2: string id
  // "ip:port" of its peer server.
  3: string address
  4: string zone
  5: i64 sequence
  6: MemberState state
}

// What a daemon has of the operators' document. Versions are zero for none;
// hashes are the 64-bit content hash of the canonical text.
struct ConfigState {
  1: i64 active_version
  2: i64 active_hash
  // The newest proposal that it has heard of.
  3: i64 proposed_version
  4: i64 proposed_hash
  // Whether it holds the proposed document, checked and valid.
  5: bool staged
  // Why the proposed document can't be used; absent if it can. Fields that are
  // rarely needed are optional, because each exchange carries the others.
  6: optional string rejection
}

// A daemon that no longer lives and may still have connections to searchers.
struct GoneDaemon {
  1: string id
  // Least number of live daemons by which its share can have been computed.
  2: i32 live_count
}

// Says to a joining daemon that the sender counts it and has closed its
// connections to searchers of the zone above its smaller share.
struct ZoneShare {
  1: string zone
  2: bool settled
  3: list<string> live
  4: list<GoneDaemon> gone
}

struct ExchangeMessage {
  1: Member sender
  // Changes that the sender still spreads.
  2: list<Member> changes
  // Of the sender's whole member list, to notice a difference.
  3: i64 digest
  // Asks for the member list after `sync_after`, in the order of incarnations.
  4: optional bool sync
  5: optional i64 sync_after
  // In a reply to `sync`: whether the list goes on after the last change.
  6: optional bool sync_more
  7: ConfigState config
  // Asks for acknowledgements of the sender's share.
  8: optional bool joining
  9: optional list<ZoneShare> shares
}

struct DocumentReply {
  1: bool found
  2: i64 version
  // SHA-256 of the canonical text of `version`.
  3: string sha256
  // FetchDelta: the delta; FetchDocument: the canonical text.
  4: binary content
}

// A caller's request that another daemon has to execute.
struct ForwardRequest {
  1: string kind
  // Header names in lower case.
  2: map<string, string> headers
  3: binary body
  // Time that the caller has left.
  4: i32 deadline_ms
}

struct ForwardReply {
  1: i32 status
  2: map<string, string> headers
  3: binary body
}

service Peer {
  ExchangeMessage Exchange(1: ExchangeMessage message)
  DocumentReply FetchDelta(1: i64 from_version, 2: i64 to_version)
  DocumentReply FetchDocument(1: i64 version)
  ForwardReply Execute(1: ForwardRequest request)
}

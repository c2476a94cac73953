// Protocol between daemons. Frames are bounded and follow a handshake that
// authenticates both sides; see docs/design/0006-peers.md.

struct MemberNews {
  1: required string name,
  2: required string zone,
  3: required string peer_address,
  4: required string caller_address,
  5: required i64 incarnation,
  6: required i32 state,
}

// A note on a target or a request, such as "the health check reports draining". It
// expires after `remaining_ms`.
struct Note {
  1: required string subject,
  2: required string source,
  3: required i32 remaining_ms,
}

// Version of the sender's copy of a table that daemons exchange.
struct TableState {
  1: required string table,
  // Version of the table in the store that the copy equals.
  2: required i64 version,
  // Milliseconds for which the sender still keeps removed rows, because the store was
  // unavailable.
  3: required i32 grace_ms,
  // Milliseconds since the store became unavailable; omitted if that is not known, as
  // after a restore of the store. Earlier releases omit this and the next fields.
  4: optional i32 outage_age_ms,
  // Removals at versions after `settled_after`, up to and including `settled_until`,
  // were received while the store was available. Both are relative to `version`.
  5: optional i64 settled_after,
  6: optional i64 settled_until,
}

struct TableRow {
  1: required string key,
  // Omitted if the row was removed.
  2: optional binary value,
  3: required i64 version,
}

// Update for a copy of a table at an older version.
struct TableNews {
  // Whether the rows are the whole table rather than only the changed rows.
  1: required bool whole,
  2: required i64 version,
  3: required list<TableRow> rows,
  // The same update with its rows, in the compact protocol and compressed; `rows` is
  // empty then. Only for peers that ask for it.
  4: optional binary packed,
}

struct Heartbeat {
  1: required MemberNews sender,
  // Revision in force at the sender.
  2: required i64 revision,
  // Milliseconds since the sender last confirmed that its revision is the newest; -1
  // if it never did.
  3: required i32 confirmed_age_ms,
  // Free capacity of the sender, in thousandths of its capacity.
  4: required i32 spare,
  5: required list<MemberNews> news,
  6: required list<Note> notes,
  // Daemons of earlier releases send none.
  7: optional list<TableState> tables,
  // Notes on requests suspected of crashing targets; omitted if there are none.
  8: optional list<Note> suspicions,
  // Notes on limits that targets declare; omitted if there are none.
  9: optional list<Note> limits,
}

// Limit that a target declared last.
struct LimitState {
  1: required string target,
  // Requests per second from all daemons together; -1 without a limit.
  2: required double per_s,
  // Milliseconds since the target declared it.
  3: required i32 age_ms,
  // Milliseconds for which the target is still cold, and requests per second that it
  // accepts during that time; omitted if it is warm, and by daemons of earlier
  // releases.
  4: optional i32 cold_ms,
  5: optional double cold_per_s,
}

// Request for permits for one limited target.
struct PermitsWanted {
  1: required LimitState limit,
  // Availability zone of the target, which determines the permit issuer.
  2: required string zone,
  3: required i32 count,
  // Permits granted earlier that are returned unused.
  4: required i32 returned,
}

// Permits granted for one limited target.
struct PermitsGiven {
  1: required LimitState limit,
  // Milliseconds from now after which each permit may be used.
  2: required list<i32> delays_ms,
  // Milliseconds after which the requester may ask again.
  3: required i32 retry_ms,
}

// Request for tokens for requests of one workspace.
struct TokenQuery {
  1: required string workspace,
  // Urgency of the requests; 0 is the most urgent.
  2: required i32 rank,
  3: required i32 count,
  // Tokens granted earlier whose requests did not run.
  4: required i32 returned,
  // Milliseconds for which a request may wait for its token.
  5: required i32 max_wait_ms,
  // Revision of the asker's rules, and the limit that they set.
  6: required i64 revision,
  7: required double rate_per_s,
  8: required double burst,
}

struct TokenReply {
  // Milliseconds from now after which each request may run, for each token granted.
  1: required list<i32> delays_ms,
  // Milliseconds until there is capacity for a request without a token.
  2: required i32 retry_ms,
  // Name of the daemon that owns the workspace; empty if the called daemon does.
  3: required string owner,
  // Tokens in the bucket, and its size; the size is -1 if the owner grants none yet.
  4: required double level,
  5: required double capacity,
}

// Update of the document that contains the rules.
struct DocumentNews {
  // Revision after the update; 0 if there is no update now.
  1: required i64 revision,
  // Revision that the update applies to; 0 if it is the whole document.
  2: required i64 base,
  // The update, compressed.
  3: required binary packed,
}

struct LogRow {
  1: required i64 revision,
  2: required string body,
}

service Peer {
  // Exchanges the state of both daemons.
  Heartbeat heartbeat(1: Heartbeat mine),
  // Rows of the log from revision `first` on, as many as fit in a frame.
  list<LogRow> pull(1: i64 first),
  // All records in force at the called daemon, in the format of the snapshots in the
  // object store; for a peer that is too far behind for `pull`.
  binary snapshot(),
  // Update for a copy of a table at the given version, as much as fits in a frame.
  // `packed` tells whether the caller reads compressed rows; daemons of earlier releases
  // neither send nor read it.
  TableNews news_since(1: string table, 2: i64 version, 3: bool packed),
  // Update of the rules for a daemon that has the given revision of them, 0 for none.
  // Daemons of earlier releases implement only `snapshot`.
  DocumentNews document_since(1: i64 revision),
  // Requests permits from the daemon that issues them for some limited targets.
  list<PermitsGiven> ask_permits(1: string asker, 2: list<PermitsWanted> wanted),
  // Requests tokens from the daemon that owns some workspaces. Daemons of earlier
  // releases do not implement this call.
  list<TokenReply> ask_tokens(1: string asker, 2: list<TokenQuery> queries),
}

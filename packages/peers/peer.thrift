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

// A note on a target that lapses by itself, such as "its health answer says that
// it is draining".
struct Note {
  1: required string subject,
  2: required string source,
  3: required i32 remaining_ms,
}

// How new the sender's copy of a table is that daemons tell each other.
struct TableState {
  1: required string table,
  // Version of the table's store at which the copy was exact.
  2: required i64 version,
  // Milliseconds for which rows that vanish are held, as the store was away.
  3: required i32 grace_ms,
}

struct TableRow {
  1: required string key,
  // Left out if the row was removed.
  2: optional binary value,
  3: required i64 version,
}

// What a copy of an older version lacks.
struct TableNews {
  // Whether these are all rows, and not changes alone.
  1: required bool whole,
  2: required i64 version,
  3: required list<TableRow> rows,
}

struct Heartbeat {
  1: required MemberNews sender,
  // Revision in force at the sender.
  2: required i64 revision,
  // Milliseconds since the sender knew its revision to be the last; -1: never.
  3: required i32 confirmed_age_ms,
  // Thousandths of the sender's capacity that are free.
  4: required i32 spare,
  5: required list<MemberNews> news,
  6: required list<Note> notes,
  // Daemons of earlier releases tell none.
  7: optional list<TableState> tables,
  // Notes on requests under which targets ended; left out if there are none.
  8: optional list<Note> suspicions,
  // Notes on limits that targets name; left out if there are none.
  9: optional list<Note> limits,
}

// What a target said last of its limit.
struct LimitState {
  1: required string target,
  // Requests a second from all daemons together; -1: it names no limit.
  2: required double per_s,
  // Milliseconds since then.
  3: required i32 age_ms,
  // Milliseconds for which it is cold, and requests a second that it takes meanwhile;
  // left out if it is warm, and by daemons of earlier releases.
  4: optional i32 cold_ms,
  5: optional double cold_per_s,
}

struct PermitsWanted {
  1: required LimitState limit,
  // Availability zone of the target, which decides who gives permits.
  2: required string zone,
  3: required i32 count,
  // Permits that were given before and not used.
  4: required i32 returned,
}

struct PermitsGiven {
  1: required LimitState limit,
  // Milliseconds from now after which each permit may be used.
  2: required list<i32> delays_ms,
  // Milliseconds after which to ask again.
  3: required i32 retry_ms,
}

// What a daemon lacks of the document that holds the rules.
struct DocumentNews {
  // Revision that this makes; 0 if there is nothing to tell now.
  1: required i64 revision,
  // Revision that it builds on; 0 if it is the whole document.
  2: required i64 base,
  // Compressed.
  3: required binary packed,
}

struct LogRow {
  1: required i64 revision,
  2: required string body,
}

service Peer {
  // Exchanges what both sides know.
  Heartbeat heartbeat(1: Heartbeat mine),
  // Rows of the log from `first` on, as many as fit a frame.
  list<LogRow> pull(1: i64 first),
  // All records in force at the sender, in the form of the object store's
  // snapshots; for a peer that is too far behind for `pull`.
  binary snapshot(),
  // What a copy of a table lacks that has the version; as much as fits a frame.
  TableNews news_since(1: string table, 2: i64 version),
  // What a daemon lacks of the rules that holds a revision of them, 0 if none.
  // Daemons of earlier releases know `snapshot` alone.
  DocumentNews document_since(1: i64 revision),
  // Asks the daemon that gives permits for some limited targets.
  list<PermitsGiven> ask_permits(1: string asker, 2: list<PermitsWanted> wanted),
}

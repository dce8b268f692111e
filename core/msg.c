/* msg.c -- schemas of the messages between hosts */
#include "core/msg.h"

static const char *const RAFT_ROLE_NAMES[] = {"learner", "voter"};
static const char *const RAFT_ENTRY_KIND_NAMES[] = {"noop", "change",
                                                    "members"};

static const struct fp_field RAFT_MEMBER_FIELDS[] = {
    {"id", FP_U64, offsetof(struct raft_member, id), 0, NULL, NULL, NULL},
    {"host", FP_STR, offsetof(struct raft_member, host), MSG_HOST_BYTES, NULL,
     NULL, NULL},
    {"role", FP_ENUM, offsetof(struct raft_member, role), 2, NULL,
     RAFT_ROLE_NAMES, NULL},
};
const struct fp_schema RAFT_MEMBER_SCHEMA = {
    "member", 40, sizeof(struct raft_member), RAFT_MEMBER_FIELDS,
    FP_FIELD_COUNT(RAFT_MEMBER_FIELDS)};

static const struct fp_field RAFT_MEMBERS_FIELDS[] = {
    {"list", FP_LIST, offsetof(struct raft_members, list), MSG_MAX_MEMBERS,
     &RAFT_MEMBER_SCHEMA, NULL, NULL},
};
const struct fp_schema RAFT_MEMBERS_SCHEMA = {
    "members", 41, sizeof(struct raft_members), RAFT_MEMBERS_FIELDS,
    FP_FIELD_COUNT(RAFT_MEMBERS_FIELDS)};

static const struct fp_field RAFT_ENTRY_FIELDS[] = {
    {"index", FP_U64, offsetof(struct raft_entry, index), 0, NULL, NULL, NULL},
    {"term", FP_U64, offsetof(struct raft_entry, term), 0, NULL, NULL, NULL},
    {"kind", FP_ENUM, offsetof(struct raft_entry, kind), 3, NULL,
     RAFT_ENTRY_KIND_NAMES, NULL},
    {"data", FP_BLOB, offsetof(struct raft_entry, data), MSG_ENTRY_MAX_BYTES,
     NULL, NULL, NULL},
};
const struct fp_schema RAFT_ENTRY_SCHEMA = {
    "entry", 42, sizeof(struct raft_entry), RAFT_ENTRY_FIELDS,
    FP_FIELD_COUNT(RAFT_ENTRY_FIELDS)};

static const struct fp_field MSG_HELLO_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_hello, from_id), 0, NULL, NULL,
     NULL},
    {"host", FP_STR, offsetof(struct msg_hello, host), MSG_HOST_BYTES, NULL,
     NULL, NULL},
    {"has_disk", FP_BOOL, offsetof(struct msg_hello, has_disk), 0, NULL, NULL,
     NULL},
    {"holds", FP_U32, offsetof(struct msg_hello, holds), 0, NULL, NULL, NULL},
    {"leaves", FP_BOOL, offsetof(struct msg_hello, leaves), 0, NULL, NULL,
     NULL},
};
const struct fp_schema MSG_HELLO_SCHEMA = {
    "hello", MSG_HELLO, sizeof(struct msg_hello), MSG_HELLO_FIELDS,
    FP_FIELD_COUNT(MSG_HELLO_FIELDS)};

static const struct fp_field MSG_APPEND_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_append, from_id), 0, NULL, NULL,
     NULL},
    {"to_id", FP_U64, offsetof(struct msg_append, to_id), 0, NULL, NULL, NULL},
    {"term", FP_U64, offsetof(struct msg_append, term), 0, NULL, NULL, NULL},
    {"leader_host", FP_STR, offsetof(struct msg_append, leader_host),
     MSG_HOST_BYTES, NULL, NULL, NULL},
    {"prev_index", FP_U64, offsetof(struct msg_append, prev_index), 0, NULL,
     NULL, NULL},
    {"prev_term", FP_U64, offsetof(struct msg_append, prev_term), 0, NULL,
     NULL, NULL},
    {"commit_index", FP_U64, offsetof(struct msg_append, commit_index), 0,
     NULL, NULL, NULL},
    {"sent_ms", FP_U64, offsetof(struct msg_append, sent_ms), 0, NULL, NULL,
     NULL},
    {"fresh_asked_ms", FP_U64, offsetof(struct msg_append, fresh_asked_ms), 0,
     NULL, NULL, NULL},
    {"entries", FP_LIST, offsetof(struct msg_append, entries),
     MSG_APPEND_MAX_ENTRIES, &RAFT_ENTRY_SCHEMA, NULL, NULL},
};
const struct fp_schema MSG_APPEND_SCHEMA = {
    "append", MSG_APPEND, sizeof(struct msg_append), MSG_APPEND_FIELDS,
    FP_FIELD_COUNT(MSG_APPEND_FIELDS)};

static const struct fp_field MSG_APPEND_REPLY_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_append_reply, from_id), 0, NULL,
     NULL, NULL},
    {"to_id", FP_U64, offsetof(struct msg_append_reply, to_id), 0, NULL, NULL,
     NULL},
    {"term", FP_U64, offsetof(struct msg_append_reply, term), 0, NULL, NULL,
     NULL},
    {"accepted", FP_BOOL, offsetof(struct msg_append_reply, accepted), 0, NULL,
     NULL, NULL},
    {"match_index", FP_U64, offsetof(struct msg_append_reply, match_index), 0,
     NULL, NULL, NULL},
    {"hint_index", FP_U64, offsetof(struct msg_append_reply, hint_index), 0,
     NULL, NULL, NULL},
    {"echo_sent_ms", FP_U64, offsetof(struct msg_append_reply, echo_sent_ms),
     0, NULL, NULL, NULL},
    {"asked_ms", FP_U64, offsetof(struct msg_append_reply, asked_ms), 0, NULL,
     NULL, NULL},
    {"applied_index", FP_U64, offsetof(struct msg_append_reply, applied_index),
     0, NULL, NULL, NULL},
};
const struct fp_schema MSG_APPEND_REPLY_SCHEMA = {
    "append-reply", MSG_APPEND_REPLY, sizeof(struct msg_append_reply),
    MSG_APPEND_REPLY_FIELDS, FP_FIELD_COUNT(MSG_APPEND_REPLY_FIELDS)};

static const struct fp_field MSG_VOTE_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_vote, from_id), 0, NULL, NULL,
     NULL},
    {"to_id", FP_U64, offsetof(struct msg_vote, to_id), 0, NULL, NULL, NULL},
    {"term", FP_U64, offsetof(struct msg_vote, term), 0, NULL, NULL, NULL},
    {"pre", FP_BOOL, offsetof(struct msg_vote, pre), 0, NULL, NULL, NULL},
    {"transfer", FP_BOOL, offsetof(struct msg_vote, transfer), 0, NULL, NULL,
     NULL},
    {"last_index", FP_U64, offsetof(struct msg_vote, last_index), 0, NULL,
     NULL, NULL},
    {"last_term", FP_U64, offsetof(struct msg_vote, last_term), 0, NULL, NULL,
     NULL},
};
const struct fp_schema MSG_VOTE_SCHEMA = {
    "vote", MSG_VOTE, sizeof(struct msg_vote), MSG_VOTE_FIELDS,
    FP_FIELD_COUNT(MSG_VOTE_FIELDS)};

static const struct fp_field MSG_VOTE_REPLY_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_vote_reply, from_id), 0, NULL,
     NULL, NULL},
    {"to_id", FP_U64, offsetof(struct msg_vote_reply, to_id), 0, NULL, NULL,
     NULL},
    {"term", FP_U64, offsetof(struct msg_vote_reply, term), 0, NULL, NULL,
     NULL},
    {"pre", FP_BOOL, offsetof(struct msg_vote_reply, pre), 0, NULL, NULL,
     NULL},
    {"granted", FP_BOOL, offsetof(struct msg_vote_reply, granted), 0, NULL,
     NULL, NULL},
};
const struct fp_schema MSG_VOTE_REPLY_SCHEMA = {
    "vote-reply", MSG_VOTE_REPLY, sizeof(struct msg_vote_reply),
    MSG_VOTE_REPLY_FIELDS, FP_FIELD_COUNT(MSG_VOTE_REPLY_FIELDS)};

static const struct fp_field MSG_SNAPSHOT_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_snapshot, from_id), 0, NULL, NULL,
     NULL},
    {"to_id", FP_U64, offsetof(struct msg_snapshot, to_id), 0, NULL, NULL,
     NULL},
    {"term", FP_U64, offsetof(struct msg_snapshot, term), 0, NULL, NULL, NULL},
    {"last_index", FP_U64, offsetof(struct msg_snapshot, last_index), 0, NULL,
     NULL, NULL},
    {"last_term", FP_U64, offsetof(struct msg_snapshot, last_term), 0, NULL,
     NULL, NULL},
    {"members", FP_LIST, offsetof(struct msg_snapshot, members),
     MSG_MAX_MEMBERS, &RAFT_MEMBER_SCHEMA, NULL, NULL},
    {"offset_bytes", FP_U64, offsetof(struct msg_snapshot, offset_bytes), 0,
     NULL, NULL, NULL},
    {"total_bytes", FP_U64, offsetof(struct msg_snapshot, total_bytes), 0,
     NULL, NULL, NULL},
    {"sent_ms", FP_U64, offsetof(struct msg_snapshot, sent_ms), 0, NULL, NULL,
     NULL},
    {"chunk", FP_BLOB, offsetof(struct msg_snapshot, chunk),
     MSG_SNAPSHOT_CHUNK_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_SNAPSHOT_SCHEMA = {
    "snapshot", MSG_SNAPSHOT, sizeof(struct msg_snapshot), MSG_SNAPSHOT_FIELDS,
    FP_FIELD_COUNT(MSG_SNAPSHOT_FIELDS)};

static const struct fp_field MSG_SNAPSHOT_REPLY_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_snapshot_reply, from_id), 0, NULL,
     NULL, NULL},
    {"to_id", FP_U64, offsetof(struct msg_snapshot_reply, to_id), 0, NULL,
     NULL, NULL},
    {"term", FP_U64, offsetof(struct msg_snapshot_reply, term), 0, NULL, NULL,
     NULL},
    {"last_index", FP_U64, offsetof(struct msg_snapshot_reply, last_index), 0,
     NULL, NULL, NULL},
    {"received_bytes", FP_U64,
     offsetof(struct msg_snapshot_reply, received_bytes), 0, NULL, NULL, NULL},
    {"echo_sent_ms", FP_U64, offsetof(struct msg_snapshot_reply, echo_sent_ms),
     0, NULL, NULL, NULL},
};
const struct fp_schema MSG_SNAPSHOT_REPLY_SCHEMA = {
    "snapshot-reply", MSG_SNAPSHOT_REPLY, sizeof(struct msg_snapshot_reply),
    MSG_SNAPSHOT_REPLY_FIELDS, FP_FIELD_COUNT(MSG_SNAPSHOT_REPLY_FIELDS)};

static const struct fp_field MSG_TIMEOUT_NOW_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_timeout_now, from_id), 0, NULL,
     NULL, NULL},
    {"to_id", FP_U64, offsetof(struct msg_timeout_now, to_id), 0, NULL, NULL,
     NULL},
    {"term", FP_U64, offsetof(struct msg_timeout_now, term), 0, NULL, NULL,
     NULL},
};
const struct fp_schema MSG_TIMEOUT_NOW_SCHEMA = {
    "timeout-now", MSG_TIMEOUT_NOW, sizeof(struct msg_timeout_now),
    MSG_TIMEOUT_NOW_FIELDS, FP_FIELD_COUNT(MSG_TIMEOUT_NOW_FIELDS)};

static const struct fp_field MSG_PROPOSE_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_propose, from_id), 0, NULL, NULL,
     NULL},
    {"request_id", FP_U64, offsetof(struct msg_propose, request_id), 0, NULL,
     NULL, NULL},
    {"change", FP_BLOB, offsetof(struct msg_propose, change),
     MSG_ENTRY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_PROPOSE_SCHEMA = {
    "propose", MSG_PROPOSE, sizeof(struct msg_propose), MSG_PROPOSE_FIELDS,
    FP_FIELD_COUNT(MSG_PROPOSE_FIELDS)};

static const struct fp_field MSG_PROPOSE_REPLY_FIELDS[] = {
    {"to_id", FP_U64, offsetof(struct msg_propose_reply, to_id), 0, NULL, NULL,
     NULL},
    {"request_id", FP_U64, offsetof(struct msg_propose_reply, request_id), 0,
     NULL, NULL, NULL},
    {"err", FP_U32, offsetof(struct msg_propose_reply, err), FP_ERR_COUNT,
     NULL, NULL, NULL},
    {"index", FP_U64, offsetof(struct msg_propose_reply, index), 0, NULL, NULL,
     NULL},
    {"answer", FP_BLOB, offsetof(struct msg_propose_reply, answer),
     MSG_ENTRY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_PROPOSE_REPLY_SCHEMA = {
    "propose-reply", MSG_PROPOSE_REPLY, sizeof(struct msg_propose_reply),
    MSG_PROPOSE_REPLY_FIELDS, FP_FIELD_COUNT(MSG_PROPOSE_REPLY_FIELDS)};

static const struct fp_field MSG_CALL_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_call, from_id), 0, NULL, NULL,
     NULL},
    {"to_id", FP_U64, offsetof(struct msg_call, to_id), 0, NULL, NULL, NULL},
    {"request_id", FP_U64, offsetof(struct msg_call, request_id), 0, NULL,
     NULL, NULL},
    {"sent_ms", FP_U64, offsetof(struct msg_call, sent_ms), 0, NULL, NULL,
     NULL},
    {"budget_ms", FP_U32, offsetof(struct msg_call, budget_ms), 0, NULL, NULL,
     NULL},
    {"queue", FP_STR, offsetof(struct msg_call, queue), 64, NULL, NULL, NULL},
    {"team", FP_STR, offsetof(struct msg_call, team), 64, NULL, NULL, NULL},
    {"key_hash", FP_STR, offsetof(struct msg_call, key_hash), 72, NULL, NULL,
     NULL},
    {"method", FP_STR, offsetof(struct msg_call, method), 12, NULL, NULL,
     NULL},
    {"path", FP_STR, offsetof(struct msg_call, path), 1024, NULL, NULL, NULL},
    {"content_type", FP_STR, offsetof(struct msg_call, content_type), 128,
     NULL, NULL, NULL},
    {"idempotency_key", FP_STR, offsetof(struct msg_call, idempotency_key),
     128, NULL, NULL, NULL},
    {"repeatable", FP_BOOL, offsetof(struct msg_call, repeatable), 0, NULL,
     NULL, NULL},
    {"body", FP_BLOB, offsetof(struct msg_call, body), MSG_CALL_BODY_MAX_BYTES,
     NULL, NULL, NULL},
};
const struct fp_schema MSG_CALL_SCHEMA = {
    "call", MSG_CALL, sizeof(struct msg_call), MSG_CALL_FIELDS,
    FP_FIELD_COUNT(MSG_CALL_FIELDS)};

static const struct fp_field MSG_CALL_REPLY_FIELDS[] = {
    {"to_id", FP_U64, offsetof(struct msg_call_reply, to_id), 0, NULL, NULL,
     NULL},
    {"request_id", FP_U64, offsetof(struct msg_call_reply, request_id), 0,
     NULL, NULL, NULL},
    {"err", FP_U32, offsetof(struct msg_call_reply, err), FP_ERR_COUNT, NULL,
     NULL, NULL},
    {"status", FP_U32, offsetof(struct msg_call_reply, status), 0, NULL, NULL,
     NULL},
    {"retry_after_ms", FP_U32, offsetof(struct msg_call_reply, retry_after_ms),
     0, NULL, NULL, NULL},
    {"free_slots", FP_U32, offsetof(struct msg_call_reply, free_slots), 0,
     NULL, NULL, NULL},
    {"waiting", FP_U32, offsetof(struct msg_call_reply, waiting), 0, NULL,
     NULL, NULL},
    {"content_type", FP_STR, offsetof(struct msg_call_reply, content_type),
     128, NULL, NULL, NULL},
    {"target", FP_STR, offsetof(struct msg_call_reply, target), 64, NULL, NULL,
     NULL},
    {"body", FP_BLOB, offsetof(struct msg_call_reply, body),
     MSG_CALL_BODY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_CALL_REPLY_SCHEMA = {
    "call-reply", MSG_CALL_REPLY, sizeof(struct msg_call_reply),
    MSG_CALL_REPLY_FIELDS, FP_FIELD_COUNT(MSG_CALL_REPLY_FIELDS)};

static const struct fp_field MSG_QUERY_FIELDS[] = {
    {"from_id", FP_U64, offsetof(struct msg_query, from_id), 0, NULL, NULL,
     NULL},
    {"request_id", FP_U64, offsetof(struct msg_query, request_id), 0, NULL,
     NULL, NULL},
    {"route", FP_STR, offsetof(struct msg_query, route), 64, NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct msg_query, body),
     MSG_CALL_BODY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_QUERY_SCHEMA = {
    "ask", MSG_QUERY, sizeof(struct msg_query), MSG_QUERY_FIELDS,
    FP_FIELD_COUNT(MSG_QUERY_FIELDS)};

static const struct fp_field MSG_QUERY_REPLY_FIELDS[] = {
    {"to_id", FP_U64, offsetof(struct msg_query_reply, to_id), 0, NULL, NULL,
     NULL},
    {"request_id", FP_U64, offsetof(struct msg_query_reply, request_id), 0,
     NULL, NULL, NULL},
    {"err", FP_U32, offsetof(struct msg_query_reply, err), FP_ERR_COUNT, NULL,
     NULL, NULL},
    {"body", FP_BLOB, offsetof(struct msg_query_reply, body),
     MSG_MAX_BYTES / 2, NULL, NULL, NULL},
};
const struct fp_schema MSG_QUERY_REPLY_SCHEMA = {
    "ask-reply", MSG_QUERY_REPLY, sizeof(struct msg_query_reply),
    MSG_QUERY_REPLY_FIELDS, FP_FIELD_COUNT(MSG_QUERY_REPLY_FIELDS)};

static const struct fp_field MSG_HINT_QUEUE_FIELDS[] = {
    {"queue", FP_STR, offsetof(struct msg_hint_queue, queue), 64, NULL, NULL,
     NULL},
    {"free_slots", FP_U32, offsetof(struct msg_hint_queue, free_slots), 0,
     NULL, NULL, NULL},
    {"waiting", FP_U32, offsetof(struct msg_hint_queue, waiting), 0, NULL,
     NULL, NULL},
    {"instances", FP_U32, offsetof(struct msg_hint_queue, instances), 0, NULL,
     NULL, NULL},
    {"service_ms", FP_U32, offsetof(struct msg_hint_queue, service_ms), 0,
     NULL, NULL, NULL},
};
static const struct fp_schema MSG_HINT_QUEUE_SCHEMA = {
    "hint-queue", 43, sizeof(struct msg_hint_queue), MSG_HINT_QUEUE_FIELDS,
    FP_FIELD_COUNT(MSG_HINT_QUEUE_FIELDS)};

static const struct fp_field MSG_DEMAND_FIELDS[] = {
    {"team", FP_STR, offsetof(struct msg_demand, team), 64, NULL, NULL, NULL},
    {"used", FP_U32, offsetof(struct msg_demand, used), 0, NULL, NULL, NULL},
    {"wanted", FP_U32, offsetof(struct msg_demand, wanted), 0, NULL, NULL,
     NULL},
};
static const struct fp_schema MSG_DEMAND_SCHEMA = {
    "demand", 44, sizeof(struct msg_demand), MSG_DEMAND_FIELDS,
    FP_FIELD_COUNT(MSG_DEMAND_FIELDS)};

static const struct fp_field MSG_HINT_FIELDS[] = {
    {"run_id", FP_U64, offsetof(struct msg_hint, run_id), 0, NULL, NULL, NULL},
    {"host", FP_STR, offsetof(struct msg_hint, host), MSG_HOST_BYTES, NULL,
     NULL, NULL},
    {"sent_ms", FP_U64, offsetof(struct msg_hint, sent_ms), 0, NULL, NULL,
     NULL},
    {"leaving", FP_BOOL, offsetof(struct msg_hint, leaving), 0, NULL, NULL,
     NULL},
    {"queues", FP_LIST, offsetof(struct msg_hint, queues), 1024,
     &MSG_HINT_QUEUE_SCHEMA, NULL, NULL},
    {"demand", FP_LIST, offsetof(struct msg_hint, demand), 1024,
     &MSG_DEMAND_SCHEMA, NULL, NULL},
    {"caps", FP_LIST, offsetof(struct msg_hint, caps), 1024,
     &MSG_DEMAND_SCHEMA, NULL, NULL},
};
const struct fp_schema MSG_HINT_SCHEMA = {
    "hint", MSG_HINT, sizeof(struct msg_hint), MSG_HINT_FIELDS,
    FP_FIELD_COUNT(MSG_HINT_FIELDS)};

static const struct fp_field MSG_FORWARD_FIELDS[] = {
    {"request_id", FP_U64, offsetof(struct msg_forward, request_id), 0, NULL,
     NULL, NULL},
    {"kind", FP_U32, offsetof(struct msg_forward, kind), 0, NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct msg_forward, body), MSG_ENTRY_MAX_BYTES,
     NULL, NULL, NULL},
};
const struct fp_schema MSG_FORWARD_SCHEMA = {
    "forward", MSG_FORWARD, sizeof(struct msg_forward), MSG_FORWARD_FIELDS,
    FP_FIELD_COUNT(MSG_FORWARD_FIELDS)};

static const struct fp_field MSG_FORWARD_REPLY_FIELDS[] = {
    {"request_id", FP_U64, offsetof(struct msg_forward_reply, request_id), 0,
     NULL, NULL, NULL},
    {"err", FP_U32, offsetof(struct msg_forward_reply, err), 0, NULL, NULL,
     NULL},
    {"leader_host", FP_STR, offsetof(struct msg_forward_reply, leader_host),
     MSG_HOST_BYTES, NULL, NULL, NULL},
    {"body", FP_BLOB, offsetof(struct msg_forward_reply, body),
     MSG_ENTRY_MAX_BYTES, NULL, NULL, NULL},
};
const struct fp_schema MSG_FORWARD_REPLY_SCHEMA = {
    "forward-reply", MSG_FORWARD_REPLY, sizeof(struct msg_forward_reply),
    MSG_FORWARD_REPLY_FIELDS, FP_FIELD_COUNT(MSG_FORWARD_REPLY_FIELDS)};

const struct fp_schema *
msg_schema(uint32_t type)
{
    static const struct fp_schema *const table[] = {
        [MSG_HELLO] = &MSG_HELLO_SCHEMA,
        [MSG_APPEND] = &MSG_APPEND_SCHEMA,
        [MSG_APPEND_REPLY] = &MSG_APPEND_REPLY_SCHEMA,
        [MSG_VOTE] = &MSG_VOTE_SCHEMA,
        [MSG_VOTE_REPLY] = &MSG_VOTE_REPLY_SCHEMA,
        [MSG_SNAPSHOT] = &MSG_SNAPSHOT_SCHEMA,
        [MSG_SNAPSHOT_REPLY] = &MSG_SNAPSHOT_REPLY_SCHEMA,
        [MSG_TIMEOUT_NOW] = &MSG_TIMEOUT_NOW_SCHEMA,
        [MSG_PROPOSE] = &MSG_PROPOSE_SCHEMA,
        [MSG_PROPOSE_REPLY] = &MSG_PROPOSE_REPLY_SCHEMA,
        [MSG_CALL] = &MSG_CALL_SCHEMA,
        [MSG_CALL_REPLY] = &MSG_CALL_REPLY_SCHEMA,
        [MSG_QUERY] = &MSG_QUERY_SCHEMA,
        [MSG_QUERY_REPLY] = &MSG_QUERY_REPLY_SCHEMA,
        [MSG_HINT] = &MSG_HINT_SCHEMA,
        [MSG_FORWARD] = &MSG_FORWARD_SCHEMA,
        [MSG_FORWARD_REPLY] = &MSG_FORWARD_REPLY_SCHEMA,
    };

    if (type >= sizeof(table) / sizeof(table[0])) {
        return NULL;
    }
    return table[type];
}

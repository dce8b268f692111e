/* msg.h -- messages between hosts
 *
 * Raft messages and calls carry the IDs of the sender and the receiver. An ID
 * belongs to a data folder, so that a host whose folder was replaced never
 * answers for the old one. The schemas in msg.c bound all sizes. Times are in
 * ms of the monotonic clock of the sender, unless stated otherwise. A
 * request_id is chosen by the sender and echoed in the reply.
 */
#ifndef FP_MSG_H
#define FP_MSG_H

#include "base/schema.h"

#define MSG_MAX_BYTES (4u * 1024 * 1024)
#define MSG_HOST_BYTES 32u /* with the NUL */
#define MSG_CALL_BODY_MAX_BYTES (1024u * 1024)
#define MSG_APPEND_MAX_ENTRIES 4096u
#define MSG_ENTRY_MAX_BYTES (1536u * 1024)
#define MSG_SNAPSHOT_CHUNK_BYTES (256u * 1024)
#define MSG_MAX_MEMBERS 32u

enum msg_type {
    MSG_HELLO = 1,
    MSG_APPEND,
    MSG_APPEND_REPLY,
    MSG_VOTE,
    MSG_VOTE_REPLY,
    MSG_SNAPSHOT,
    MSG_SNAPSHOT_REPLY,
    MSG_TIMEOUT_NOW,
    MSG_PROPOSE,
    MSG_PROPOSE_REPLY,
    MSG_CALL,
    MSG_CALL_REPLY,
    MSG_QUERY,
    MSG_QUERY_REPLY,
    MSG_HINT,
    MSG_FORWARD,
    MSG_FORWARD_REPLY
};

enum raft_entry_kind {
    RAFT_NOOP,   /* first entry of a new leader */
    RAFT_CHANGE, /* a change to the cell's state */
    RAFT_MEMBERS /* complete list of members from this entry on */
};

enum raft_role { RAFT_LEARNER, RAFT_VOTER };

/* A replica: the ID of its data folder and its host. */
struct raft_member {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    uint32_t role; /* enum raft_role */
};

struct raft_members {
    struct fp_list list; /* struct raft_member */
};

struct raft_entry {
    uint64_t index;
    uint64_t term;
    uint32_t kind; /* enum raft_entry_kind */
    struct fp_blob data;
};

/* What a replica holds; hosts of earlier versions don't say. */
enum hello_holds {
    HELLO_HOLDS_UNKNOWN,
    HELLO_HOLDS_NOTHING,
    HELLO_HOLDS_DATA
};

/* Announces a diskless or new host to the leader, which then sends it the
 * log. */
struct msg_hello {
    uint64_t from_id;
    char host[MSG_HOST_BYTES];
    bool has_disk;
    uint32_t holds; /* enum hello_holds */
    bool leaves;    /* its host is being stopped; not sent by older versions */
};

/* AppendEntries of Raft; without entries, a heartbeat. */
struct msg_append {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    char leader_host[MSG_HOST_BYTES];
    uint64_t prev_index;
    uint64_t prev_term;
    uint64_t commit_index;
    uint64_t sent_ms;        /* leader's clock */
    uint64_t fresh_asked_ms; /* asked_ms of the follower's latest reply, from
                              * which its freshness lease runs; 0: no lease */
    struct fp_list entries;  /* struct raft_entry */
};

struct msg_append_reply {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    bool accepted;
    uint64_t match_index;  /* accepted: the log matches up to this index */
    uint64_t hint_index;   /* rejected: index to continue from */
    uint64_t echo_sent_ms; /* sent_ms of the request */
    uint64_t asked_ms;     /* follower's clock when it replied */
    uint64_t applied_index;
};

/* RequestVote of Raft. */
struct msg_vote {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    bool pre;      /* pre-vote: asks whether a vote would be granted */
    bool transfer; /* the leader transfers its leadership */
    uint64_t last_index;
    uint64_t last_term;
};

struct msg_vote_reply {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    bool pre;
    bool granted;
};

/* A chunk of a snapshot: InstallSnapshot of Raft. */
struct msg_snapshot {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    uint64_t last_index;
    uint64_t last_term;
    struct fp_list members; /* struct raft_member */
    uint64_t offset_bytes;
    uint64_t total_bytes;
    uint64_t sent_ms; /* leader's clock */
    struct fp_blob chunk;
};

struct msg_snapshot_reply {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    uint64_t last_index;
    uint64_t received_bytes;
    uint64_t echo_sent_ms; /* sent_ms of the request */
};

/* Tells a follower to start an election at once, to transfer leadership. */
struct msg_timeout_now {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
};

/* Asks the leader to commit a change. */
struct msg_propose {
    uint64_t from_id;
    uint64_t request_id;
    struct fp_blob change;
};

struct msg_propose_reply {
    uint64_t to_id;
    uint64_t request_id;
    uint32_t err;          /* enum fp_err */
    uint64_t index;        /* log index of the change */
    struct fp_blob answer; /* encoded struct change_answer */
};

/* A client's request, from its gateway to the host that owns a target's slots.
 */
struct msg_call {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t request_id;
    uint64_t sent_ms;   /* gateway's clock */
    uint32_t budget_ms; /* time left until the client's deadline */
    char queue[64];
    char team[64];
    char key_hash[72]; /* hash of the client's key, checked again before the
                        * request is sent; empty for open queues */
    char method[12];
    char path[1024];
    char content_type[128];
    char idempotency_key[128];
    bool repeatable; /* may be sent to a target more than once */
    struct fp_blob body;
};

struct msg_call_reply {
    uint64_t to_id;
    uint64_t request_id;
    uint32_t err;    /* enum fp_err */
    uint32_t status; /* HTTP status of the target's answer */
    uint32_t retry_after_ms;
    uint32_t free_slots; /* hint: free slots for this queue at the owner */
    uint32_t waiting;    /* hint: requests queued at the owner */
    char content_type[128];
    char target[64];
    struct fp_blob body;
};

/* A request that only the leader answers: heartbeats, queries, state dumps. */
struct msg_query {
    uint64_t from_id;
    uint64_t request_id;
    char route[64];
    struct fp_blob body; /* JSON */
};

struct msg_query_reply {
    uint64_t to_id;
    uint64_t request_id;
    uint32_t err;        /* enum fp_err */
    struct fp_blob body; /* JSON */
};

/* The capacity of a queue at an owner of slots. */
struct msg_hint_queue {
    char queue[64];
    uint32_t free_slots;
    uint32_t waiting;
    uint32_t instances;
    uint32_t service_ms; /* smoothed time for which a request holds a slot */
};

/* The load of a host, sent to all hosts a few times per second. */
struct msg_hint {
    uint64_t run_id; /* ID of the process's run, new at each start */
    char host[MSG_HOST_BYTES];
    uint64_t sent_ms;
    bool leaving;          /* the host is shutting down */
    struct fp_list queues; /* struct msg_hint_queue */
    struct fp_list demand; /* struct msg_demand */
    struct fp_list caps;   /* struct msg_demand, from the leader only: wanted
                            * is the most units that a host may use */
};

/* A host's demand on a team's limit_running (struct change_team), in units: a
 * call in flight uses one unit. */
struct msg_demand {
    char team[64];
    uint32_t used;   /* units of calls in flight */
    uint32_t wanted; /* those, plus one unit for each waiting call */
};

/* A call to the leader, or from the leader to a host that queries the
 * placement policy for it. */
struct msg_forward {
    uint64_t request_id;
    uint32_t kind;       /* enum call_kind */
    struct fp_blob body; /* encoded record of the call */
};

struct msg_forward_reply {
    uint64_t request_id;
    uint32_t err; /* FP_ERR_NO_LEADER: the call was not handled */
    char leader_host[MSG_HOST_BYTES]; /* "": not known */
    struct fp_blob body;              /* encoded struct call_answer */
};

extern const struct fp_schema MSG_FORWARD_SCHEMA;
extern const struct fp_schema MSG_FORWARD_REPLY_SCHEMA;
extern const struct fp_schema RAFT_MEMBER_SCHEMA;
extern const struct fp_schema RAFT_MEMBERS_SCHEMA;
extern const struct fp_schema RAFT_ENTRY_SCHEMA;
extern const struct fp_schema MSG_HELLO_SCHEMA;
extern const struct fp_schema MSG_APPEND_SCHEMA;
extern const struct fp_schema MSG_APPEND_REPLY_SCHEMA;
extern const struct fp_schema MSG_VOTE_SCHEMA;
extern const struct fp_schema MSG_VOTE_REPLY_SCHEMA;
extern const struct fp_schema MSG_SNAPSHOT_SCHEMA;
extern const struct fp_schema MSG_SNAPSHOT_REPLY_SCHEMA;
extern const struct fp_schema MSG_TIMEOUT_NOW_SCHEMA;
extern const struct fp_schema MSG_PROPOSE_SCHEMA;
extern const struct fp_schema MSG_PROPOSE_REPLY_SCHEMA;
extern const struct fp_schema MSG_CALL_SCHEMA;
extern const struct fp_schema MSG_CALL_REPLY_SCHEMA;
extern const struct fp_schema MSG_QUERY_SCHEMA;
extern const struct fp_schema MSG_QUERY_REPLY_SCHEMA;
extern const struct fp_schema MSG_HINT_SCHEMA;

/* Returns the schema of a message type, or NULL for other types. */
const struct fp_schema *msg_schema(uint32_t type);

#endif /* FP_MSG_H */

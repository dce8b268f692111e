/* msg.h -- the messages between hosts
 *
 * Every message names the identity that sent it and the identity it is meant
 * for, so that a host whose data folder was replaced never answers for the
 * old one. Sizes are bounded by the tables in msg.c.
 */
#ifndef FP_MSG_H
#define FP_MSG_H

#include "base/schema.h"

#define MSG_MAX_BYTES (4u * 1024 * 1024)
#define MSG_HOST_BYTES 32u
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
    MSG_ASK,
    MSG_ASK_REPLY,
    MSG_HINT,
    MSG_FORWARD,
    MSG_FORWARD_REPLY
};

enum raft_kind {
    RAFT_NOOP,   /* a new leader's first entry */
    RAFT_CHANGE, /* a change to the cell's state */
    RAFT_MEMBERS /* the whole list of members from here on */
};

enum raft_role { RAFT_LEARNER, RAFT_VOTER };

/* One replica: the identity of a data folder and the host it is on. */
struct raft_member {
    uint64_t id;
    char host[MSG_HOST_BYTES];
    uint32_t role;
};

struct raft_members {
    struct fp_list list; /* struct raft_member */
};

struct raft_entry {
    uint64_t index;
    uint64_t term;
    uint32_t kind;
    struct fp_blob data;
};

/* A diskless or new host makes itself known to the leader. */
struct msg_hello {
    uint64_t from_id;
    char host[MSG_HOST_BYTES];
    bool has_disk;
};

struct msg_append {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    char leader_host[MSG_HOST_BYTES];
    uint64_t prev_index;
    uint64_t prev_term;
    uint64_t commit_index;
    uint64_t sent_ms;        /* leader's clock; echoed in the reply */
    uint64_t fresh_asked_ms; /* the follower's asked_ms; 0: no lease */
    struct fp_list entries;  /* struct raft_entry */
};

struct msg_append_reply {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    bool accepted;
    uint64_t match_index;  /* accepted: log equals the leader's up to here */
    uint64_t hint_index;   /* refused: try from here */
    uint64_t echo_sent_ms; /* sent_ms of the append */
    uint64_t asked_ms;     /* follower's clock now */
    uint64_t applied_index;
};

struct msg_vote {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    bool pre;      /* asks whether a vote would be given */
    bool transfer; /* the old leader asked for this election */
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

struct msg_snapshot {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    uint64_t last_index;
    uint64_t last_term;
    struct fp_list members; /* struct raft_member */
    uint64_t offset_bytes;
    uint64_t total_bytes;
    uint64_t sent_ms;
    struct fp_blob chunk;
};

struct msg_snapshot_reply {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t term;
    uint64_t last_index;
    uint64_t received_bytes;
    uint64_t echo_sent_ms;
};

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
    struct fp_blob answer; /* encoded result, by kind of change */
};

/* A caller's request on its way from its gateway to an owner of instances. */
struct msg_call {
    uint64_t from_id;
    uint64_t to_id;
    uint64_t request_id;
    uint64_t sent_ms;   /* the gateway's clock */
    uint32_t budget_ms; /* time left until the caller's deadline */
    char queue[64];
    char team[64];
    char key_hash[72]; /* of the key that came along; checked again when the
                        * request is sent; empty for open queues */
    char method[12];
    char path[1024];
    char content_type[128];
    char idempotency_key[128];
    bool repeatable;
    struct fp_blob body;
};

struct msg_call_reply {
    uint64_t to_id;
    uint64_t request_id;
    uint32_t err; /* enum fp_err */
    uint32_t status;
    uint32_t retry_after_ms;
    uint32_t free_slots; /* hint: of this queue's instances here */
    uint32_t waiting;    /* hint: requests queued here */
    char content_type[128];
    char target[64];
    struct fp_blob body;
};

/* A question that only the leader answers: heartbeats, queries, dumps. */
struct msg_ask {
    uint64_t from_id;
    uint64_t request_id;
    char route[64];
    struct fp_blob body; /* JSON */
};

struct msg_ask_reply {
    uint64_t to_id;
    uint64_t request_id;
    uint32_t err;
    struct fp_blob body; /* JSON */
};

/* One queue's capacity at an owner, sent to all hosts a few times a second. */
struct msg_hint_queue {
    char queue[64];
    uint32_t free_slots;
    uint32_t waiting;
    uint32_t instances;
    uint32_t service_ms; /* smoothed time that a request holds a slot */
};

struct msg_hint {
    uint64_t run_id; /* drawn at each start of the process */
    char host[MSG_HOST_BYTES];
    uint64_t sent_ms;
    bool leaving;          /* it is shutting down */
    struct fp_list queues; /* struct msg_hint_queue */
    struct fp_list demand; /* struct msg_demand */
    struct fp_list caps;   /* struct msg_demand: from the leader, wanted is
                            * the most units that a host should hold */
};

/* How many units of a team's limit a host uses and would like to use. */
struct msg_demand {
    char team[64];
    uint32_t used;
    uint32_t wanted;
};

/* A call for the leader, or from it to a helper. */
struct msg_forward {
    uint64_t request_id; /* of the sender's */
    uint32_t kind;       /* enum call_kind */
    struct fp_blob body; /* the call's record */
};

struct msg_forward_reply {
    uint64_t request_id;
    uint32_t err;                     /* FP_ERR_NO_LEADER: not looked at */
    char leader_host[MSG_HOST_BYTES]; /* "" when not known */
    struct fp_blob body;              /* the answer's record */
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
extern const struct fp_schema MSG_ASK_SCHEMA;
extern const struct fp_schema MSG_ASK_REPLY_SCHEMA;
extern const struct fp_schema MSG_HINT_SCHEMA;

/* Returns the table of a message type, or NULL. */
const struct fp_schema *msg_schema(uint32_t type);

#endif /* FP_MSG_H */

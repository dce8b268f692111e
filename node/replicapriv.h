/* replicapriv.h -- shared by replica.c (raft, disk, bus) and replicatalk.c
 * (proposals and queries)
 */
#ifndef FP_REPLICAPRIV_H
#define FP_REPLICAPRIV_H

#include <glib.h>

#include "node/disk.h"
#include "node/replica.h"

/* A message of raft that may be sent once the write after_write is synced. */
struct deferred_message {
    uint64_t after_write;
    uint64_t to_id;
    const struct fp_schema *schema;
    void *msg;
};

/* A pending proposal of this host. */
struct proposal {
    uint64_t request_id;
    struct fp_blob change;
    bool idempotent;     /* has a change ID, so it may be sent again */
    bool sent;           /* may be in a leader's log */
    bool awaiting_retry; /* the last attempt failed */
    uint64_t deadline_ms;
    uint64_t next_attempt_ms;
    /* The result, once the leader has applied the change but this host hasn't;
     * until then index is 0. */
    uint64_t index;
    struct change_answer answer;
    propose_done done;
    void *ctx;
};

/* Whom to answer once a change in this leader's log is applied. */
struct proposer {
    char host[MSG_HOST_BYTES]; /* this host's name for its own proposals */
    uint64_t request_id;
};

/* A pending query of this host. */
struct query {
    uint64_t request_id;
    uint64_t deadline_ms;
    query_done done;
    void *ctx;
};

/* A query of any host that this leader has to answer. */
struct received_query {
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

struct replica {
    const struct settings *settings;
    struct replica_ops ops;
    struct raft *raft;
    struct cell *cell; /* NULL if ops.state_machine is set */
    struct replica_state_machine state_machine;
    struct disk *disk; /* NULL without a data folder */
    struct bus *bus;
    uv_prepare_t flush_prepare;
    uint64_t run_id;
    uint64_t leaderless_ms;     /* since when no leader is known; 0: one is */
    uint64_t missing_logged_ms; /* when that was last logged */
    uint64_t synced_write;      /* number of the last synced write */
    GQueue deferred;            /* struct deferred_message */
    GHashTable *host_names;     /* identity to host name */
    GHashTable *proposals;      /* request ID to struct proposal */
    GHashTable *proposers;      /* log index to struct proposer */
    GHashTable *queries;        /* request ID to struct query */
    GHashTable *received_queries; /* query ID to struct received_query */
    /* Starts at a random number, so that a reply to a request of an earlier
     * process on this host matches no request of this one. */
    uint64_t last_request_id;
    uint64_t last_query_id;
    uint64_t last_hello_ms;
    bool leaves;  /* see replica_leave() */
    bool leading; /* as last reported to ops.on_leadership_changed */
    uint64_t snapshots_taken; /* since the start */
    uint64_t disk_failures;
    uint64_t disk_recoveries;
    uint64_t disk_failed_since_ms; /* 0: the disk takes writes */
    uint64_t disk_recovered_ms;    /* when it last took them again */
    uint64_t disk_retry_ms;        /* when to write again; 0: not due */
    uint64_t disk_pause_ms;        /* before the next retry */
    uint64_t snapshot_write;       /* number of the last snapshot's write */
    uint64_t snapshot_failures;
    uint64_t snapshot_retry_ms; /* no snapshot before this time */
};

/* replicatalk.c */
void replica_free_proposal(void *proposal);
void replica_answer_proposer(struct replica *replica,
                             const struct proposer *proposer, enum fp_err err,
                             uint64_t index,
                             const struct change_answer *answer);
void replica_fail_proposers(struct replica *replica);
void replica_advance_proposals(struct replica *replica, uint64_t now_ms);
void replica_expire_queries(struct replica *replica, uint64_t now_ms);
void replica_on_propose(struct replica *replica, const char *from,
                        const struct msg_propose *msg);
void replica_on_propose_reply(struct replica *replica,
                              const struct msg_propose_reply *msg);
void replica_on_query(struct replica *replica, const char *from,
                      const struct msg_query *msg);
void replica_on_query_reply(struct replica *replica,
                            const struct msg_query_reply *msg);

#endif /* FP_REPLICAPRIV_H */

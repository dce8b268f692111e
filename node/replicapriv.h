/* replicapriv.h -- what replica.c (raft, disk, bus) and replicatalk.c
 * (proposals and questions) share
 */
#ifndef FP_REPLICAPRIV_H
#define FP_REPLICAPRIV_H

#include <glib.h>

#include "node/disk.h"
#include "node/replica.h"

/* A message that may leave once a write is on disk. */
struct held {
    uint64_t after_write;
    uint64_t to_id;
    const struct fp_schema *schema;
    void *msg;
};

/* A proposal on its way, as its maker sees it. */
struct proposal {
    uint64_t request_id;
    struct fp_blob change;
    bool repeatable; /* it has a change ID */
    bool sent;       /* it may be in a leader's log */
    bool waiting;    /* for the next attempt */
    uint64_t end_ms;
    uint64_t next_ms;
    /* Its answer, while the change is not applied here yet. */
    uint64_t index;
    struct change_answer answer;
    propose_done done;
    void *ctx;
};

/* A change in this leader's log whose proposer waits for the answer. */
struct claim {
    char host[MSG_HOST_BYTES]; /* this host's own name for own proposals */
    uint64_t request_id;
};

struct question {
    uint64_t request_id;
    uint64_t end_ms;
    ask_done done;
    void *ctx;
};

/* A question of some host that this leader has to answer. */
struct asked {
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

struct replica {
    const struct settings *settings;
    struct replica_ops ops;
    struct raft *raft;
    struct cell *cell; /* NULL with a machine of the owner's */
    struct replica_machine machine;
    struct disk *disk; /* NULL without a data folder */
    struct bus *bus;
    uv_prepare_t flush;
    uint64_t run_id;
    uint64_t voted_for;
    uint64_t disk_synced;
    GQueue held;           /* struct held */
    GHashTable *hosts;     /* identity to host name */
    GHashTable *proposals; /* request ID to struct proposal */
    GHashTable *claims;    /* log index to struct claim */
    GHashTable *questions; /* request ID to struct question */
    GHashTable *asked;     /* ask ID to struct asked */
    uint64_t next_request;
    uint64_t next_ask;
    uint64_t hello_ms;
    bool leading;
    uint64_t snapshots; /* taken since the start */
};

/* replicatalk.c */
void replica_free_proposal(void *proposal);
void replica_give_answer(struct replica *replica, const struct claim *claim,
                         enum fp_err err, uint64_t index,
                         const struct change_answer *answer);
void replica_drop_claims(struct replica *replica);
void replica_advance_proposals(struct replica *replica, uint64_t now_ms);
void replica_expire_questions(struct replica *replica, uint64_t now_ms);
void replica_on_propose(struct replica *replica, const char *from,
                        const struct msg_propose *msg);
void replica_on_propose_reply(struct replica *replica,
                              const struct msg_propose_reply *msg);
void replica_on_ask(struct replica *replica, const char *from,
                    const struct msg_query *msg);
void replica_on_ask_reply(struct replica *replica,
                          const struct msg_query_reply *msg);

#endif /* FP_REPLICAPRIV_H */

/* replicatalk.c -- proposals and queries to the leader, and their results */
#include <glib.h>
#include <string.h>

#include "node/replicapriv.h"

#define RETRY_INTERVAL_MS 50u

void
replica_free_proposal(void *item)
{
    struct proposal *proposal = item;

    fp_blob_free(&proposal->change);
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &proposal->answer);
    g_free(proposal);
}

static void
finish_proposal(struct replica *replica, struct proposal *proposal,
                enum fp_err err)
{
    g_hash_table_steal(replica->proposals, &proposal->request_id);
    proposal->done(proposal->ctx, err, &proposal->answer);
    replica_free_proposal(proposal);
}

/* Handles the result of a proposal. Success is reported only once the change
 * is applied on this host too, so that the proposer reads its own write.
 */
static void
handle_proposal_result(struct replica *replica, uint64_t request_id,
                       enum fp_err err, uint64_t index,
                       const struct change_answer *answer)
{
    struct proposal *proposal =
        g_hash_table_lookup(replica->proposals, &request_id);

    if (proposal == NULL || proposal->index != 0) {
        return;
    }
    if (err == FP_ERR_NO_LEADER) {
        proposal->sent = false;
        proposal->awaiting_retry = true;
        proposal->next_attempt_ms = clock_mono_ms() + RETRY_INTERVAL_MS;
        return;
    }
    if (answer != NULL) {
        fp_record_copy(&CHANGE_ANSWER_SCHEMA, &proposal->answer, answer);
    }
    if (err != FP_OK || index <= raft_applied_index(replica->raft)) {
        finish_proposal(replica, proposal, err);
        return;
    }
    proposal->index = index;
}

static void
send_proposal_reply(struct replica *replica, const char *host,
                    uint64_t request_id, enum fp_err err, uint64_t index,
                    const struct change_answer *answer)
{
    struct msg_propose_reply reply = {
        .request_id = request_id, .err = err, .index = index};

    if (answer != NULL) {
        fp_encode(&CHANGE_ANSWER_SCHEMA, answer, &reply.answer);
    }
    bus_send(replica->bus, host, &MSG_PROPOSE_REPLY_SCHEMA, &reply);
    fp_blob_free(&reply.answer);
}

void
replica_answer_proposer(struct replica *replica,
                        const struct proposer *proposer, enum fp_err err,
                        uint64_t index, const struct change_answer *answer)
{
    if (strcmp(proposer->host, replica->settings->host) == 0) {
        handle_proposal_result(replica, proposer->request_id, err, index,
                               answer);
    }
    else {
        send_proposal_reply(replica, proposer->host, proposer->request_id, err,
                            index, answer);
    }
}

/* Called when this host has lost the leadership: answers the proposers of all
 * changes that are not applied yet with FP_ERR_UNKNOWN_OUTCOME, and drops the
 * received queries, which time out on the hosts that sent them.
 */
void
replica_fail_proposers(struct replica *replica)
{
    GHashTable *proposers = replica->proposers;
    GHashTableIter iter;
    struct proposer *proposer;

    replica->proposers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_hash_table_iter_init(&iter, proposers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&proposer)) {
        replica_answer_proposer(replica, proposer, FP_ERR_UNKNOWN_OUTCOME, 0,
                                NULL);
    }
    g_hash_table_destroy(proposers);
    g_hash_table_remove_all(replica->received_queries);
}

/* Appends a change to this leader's log and registers its proposer. */
static enum fp_err
append_change(struct replica *replica, const struct fp_blob *change,
              const char *host, uint64_t request_id)
{
    struct proposer *proposer;
    uint64_t index;
    enum fp_err err;

    if (!raft_leader_ready(replica->raft, clock_mono_ms())) {
        return FP_ERR_NO_LEADER;
    }
    err =
        raft_propose(replica->raft, change->data, change->size_bytes, &index);
    if (err != FP_OK) {
        return err;
    }
    proposer = g_new0(struct proposer, 1);
    g_strlcpy(proposer->host, host, sizeof(proposer->host));
    proposer->request_id = request_id;
    g_hash_table_insert(replica->proposers, g_memdup2(&index, sizeof(index)),
                        proposer);
    return FP_OK;
}

/* Appends a proposal to the log or sends it to the leader. On failure
 * advance_proposal() tries again after RETRY_INTERVAL_MS.
 */
static void
try_proposal(struct replica *replica, struct proposal *proposal)
{
    const char *leader = raft_leader_host(replica->raft);
    struct msg_propose msg = {.request_id = proposal->request_id,
                              .change = proposal->change};
    enum fp_err err = FP_ERR_NO_LEADER;

    proposal->awaiting_retry = false;
    if (raft_state(replica->raft) == RAFT_LEADER) {
        err = append_change(replica, &proposal->change,
                            replica->settings->host, proposal->request_id);
        if (err != FP_OK && err != FP_ERR_NO_LEADER) {
            finish_proposal(replica, proposal, err);
            return;
        }
    }
    else if (leader[0] != '\0') {
        err = bus_send(replica->bus, leader, &MSG_PROPOSE_SCHEMA, &msg);
    }
    if (err == FP_OK) {
        proposal->sent = true;
        proposal->next_attempt_ms = clock_mono_ms() + PROPOSE_TIMEOUT_MS / 3;
        return;
    }
    proposal->awaiting_retry = true;
    proposal->next_attempt_ms = clock_mono_ms() + RETRY_INTERVAL_MS;
}

static void
advance_proposal(struct replica *replica, struct proposal *proposal,
                 uint64_t now_ms)
{
    if (proposal->index != 0) {
        if (proposal->index <= raft_applied_index(replica->raft) ||
            now_ms >= proposal->deadline_ms) {
            finish_proposal(replica, proposal, FP_OK);
        }
        return;
    }
    if (now_ms >= proposal->deadline_ms) {
        finish_proposal(replica, proposal,
                        proposal->sent ? FP_ERR_UNKNOWN_OUTCOME
                                       : FP_ERR_NO_LEADER);
        return;
    }
    if (now_ms >= proposal->next_attempt_ms &&
        (proposal->awaiting_retry || proposal->idempotent)) {
        try_proposal(replica, proposal);
    }
}

void
replica_advance_proposals(struct replica *replica, uint64_t now_ms)
{
    GList *all = g_hash_table_get_values(replica->proposals);

    for (GList *at = all; at != NULL; at = at->next) {
        advance_proposal(replica, at->data, now_ms);
    }
    g_list_free(all);
}

void
replica_expire_queries(struct replica *replica, uint64_t now_ms)
{
    GList *all = g_hash_table_get_values(replica->queries);

    for (GList *at = all; at != NULL; at = at->next) {
        struct query *query = at->data;

        if (now_ms >= query->deadline_ms) {
            g_hash_table_steal(replica->queries, &query->request_id);
            query->done(query->ctx, FP_ERR_NO_LEADER, NULL);
            g_free(query);
        }
    }
    g_list_free(all);
}

void
replica_on_propose(struct replica *replica, const char *from,
                   const struct msg_propose *msg)
{
    enum fp_err err =
        append_change(replica, &msg->change, from, msg->request_id);

    if (err != FP_OK) {
        send_proposal_reply(replica, from, msg->request_id, err, 0, NULL);
    }
}

void
replica_on_propose_reply(struct replica *replica,
                         const struct msg_propose_reply *msg)
{
    struct change_answer answer;

    if (msg->answer.size_bytes == 0) {
        handle_proposal_result(replica, msg->request_id, msg->err, msg->index,
                               NULL);
        return;
    }
    if (fp_decode(&CHANGE_ANSWER_SCHEMA, msg->answer.data,
                  msg->answer.size_bytes, &answer) == FP_OK) {
        handle_proposal_result(replica, msg->request_id, msg->err, msg->index,
                               &answer);
        fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    }
}

static void
handle_query(struct replica *replica, const char *host, uint64_t request_id,
             const char *route, const json_t *body)
{
    struct received_query *received = g_new0(struct received_query, 1);
    uint64_t query_id = ++replica->last_query_id;

    g_strlcpy(received->host, host, sizeof(received->host));
    received->request_id = request_id;
    g_hash_table_insert(replica->received_queries,
                        g_memdup2(&query_id, sizeof(query_id)), received);
    if (!replica->leading) {
        replica_reply(replica, query_id, FP_ERR_NO_LEADER, NULL);
        return;
    }
    replica->ops.on_query(replica->ops.ctx, query_id, route, body);
}

void
replica_on_query(struct replica *replica, const char *from,
                 const struct msg_query *msg)
{
    json_t *body = json_loadb((const char *)msg->body.data,
                              msg->body.size_bytes, 0, NULL);

    handle_query(replica, from, msg->request_id, msg->route, body);
    json_decref(body);
}

static void
finish_query(struct replica *replica, uint64_t request_id, enum fp_err err,
             const json_t *body)
{
    struct query *query = g_hash_table_lookup(replica->queries, &request_id);

    if (query != NULL) {
        g_hash_table_steal(replica->queries, &request_id);
        query->done(query->ctx, err, body);
        g_free(query);
    }
}

void
replica_on_query_reply(struct replica *replica,
                       const struct msg_query_reply *msg)
{
    json_t *body = json_loadb((const char *)msg->body.data,
                              msg->body.size_bytes, JSON_DECODE_ANY, NULL);

    finish_query(replica, msg->request_id, msg->err, body);
    json_decref(body);
}

void
replica_propose(struct replica *replica, const struct fp_schema *schema,
                void *change, propose_done done, void *ctx)
{
    struct proposal *proposal = g_new0(struct proposal, 1);
    struct change_head *head = change;

    head->at_ms = clock_wall_ms();
    fp_encode(schema, change, &proposal->change);
    proposal->request_id = ++replica->last_request_id;
    proposal->idempotent = head->change_id[0] != '\0';
    proposal->deadline_ms = clock_mono_ms() + PROPOSE_TIMEOUT_MS;
    proposal->done = done;
    proposal->ctx = ctx;
    g_hash_table_insert(replica->proposals, &proposal->request_id, proposal);
    try_proposal(replica, proposal);
}

void
replica_query(struct replica *replica, const char *route, const json_t *body,
              query_done done, void *ctx)
{
    struct query *query = g_new0(struct query, 1);
    const char *leader = raft_leader_host(replica->raft);
    struct msg_query msg = {.request_id = ++replica->last_request_id};
    char *text;
    enum fp_err err;

    query->request_id = msg.request_id;
    query->deadline_ms = clock_mono_ms() + QUERY_TIMEOUT_MS;
    query->done = done;
    query->ctx = ctx;
    g_hash_table_insert(replica->queries, &query->request_id, query);
    if (raft_state(replica->raft) == RAFT_LEADER) {
        handle_query(replica, replica->settings->host, msg.request_id, route,
                     body);
        return;
    }
    g_strlcpy(msg.route, route, sizeof(msg.route));
    text = json_dumps(body, JSON_COMPACT);
    msg.body.data = (uint8_t *)text;
    msg.body.size_bytes = (uint32_t)strlen(text);
    err = leader[0] == '\0'
              ? FP_ERR_NO_LEADER
              : bus_send(replica->bus, leader, &MSG_QUERY_SCHEMA, &msg);
    free(text);
    if (err != FP_OK) {
        finish_query(replica, msg.request_id, FP_ERR_NO_LEADER, NULL);
    }
}

void
replica_reply(struct replica *replica, uint64_t query_id, enum fp_err err,
              json_t *body)
{
    struct received_query *received =
        g_hash_table_lookup(replica->received_queries, &query_id);
    struct msg_query_reply reply = {.err = err};
    char *text;

    if (received == NULL) {
        json_decref(body);
        return;
    }
    if (strcmp(received->host, replica->settings->host) == 0) {
        uint64_t request_id = received->request_id;

        g_hash_table_remove(replica->received_queries, &query_id);
        finish_query(replica, request_id, err, body);
        json_decref(body);
        return;
    }
    reply.request_id = received->request_id;
    text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    if (text != NULL) {
        reply.body.data = (uint8_t *)text;
        reply.body.size_bytes = (uint32_t)strlen(text);
    }
    bus_send(replica->bus, received->host, &MSG_QUERY_REPLY_SCHEMA, &reply);
    free(text);
    json_decref(body);
    g_hash_table_remove(replica->received_queries, &query_id);
}

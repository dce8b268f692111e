/* replicatalk.c -- proposals on their way to the leader, and questions to it
 */
#include <glib.h>
#include <string.h>

#include "node/replicapriv.h"

#define RETRY_EVERY_MS 50u

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

/* The answer is here; it is given once the change is applied here as well, so
 * that its maker reads what it wrote.
 */
static void
answer_proposal(struct replica *replica, uint64_t request_id, enum fp_err err,
                uint64_t index, const struct change_answer *answer)
{
    struct proposal *proposal =
        g_hash_table_lookup(replica->proposals, &request_id);

    if (proposal == NULL || proposal->index != 0) {
        return;
    }
    if (err == FP_ERR_NO_LEADER) {
        proposal->sent = false;
        proposal->waiting = true;
        proposal->next_ms = clock_mono_ms() + RETRY_EVERY_MS;
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
replica_give_answer(struct replica *replica, const struct claim *claim,
                    enum fp_err err, uint64_t index,
                    const struct change_answer *answer)
{
    if (strcmp(claim->host, replica->settings->host) == 0) {
        answer_proposal(replica, claim->request_id, err, index, answer);
    }
    else {
        send_proposal_reply(replica, claim->host, claim->request_id, err,
                            index, answer);
    }
}

/* The proposers of what was in the log learn that its fate is open. */
void
replica_drop_claims(struct replica *replica)
{
    GHashTable *claims = replica->claims;
    GHashTableIter iter;
    struct claim *claim;

    replica->claims =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_hash_table_iter_init(&iter, claims);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&claim)) {
        replica_give_answer(replica, claim, FP_ERR_UNKNOWN_OUTCOME, 0, NULL);
    }
    g_hash_table_destroy(claims);
    g_hash_table_remove_all(replica->asked);
}

/* Puts a change into this leader's log. */
static enum fp_err
append_change(struct replica *replica, const struct fp_blob *change,
              const char *host, uint64_t request_id)
{
    struct claim *claim;
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
    claim = g_new0(struct claim, 1);
    g_strlcpy(claim->host, host, sizeof(claim->host));
    claim->request_id = request_id;
    g_hash_table_insert(replica->claims, g_memdup2(&index, sizeof(index)),
                        claim);
    return FP_OK;
}

static void
try_proposal(struct replica *replica, struct proposal *proposal)
{
    const char *leader = raft_leader_host(replica->raft);
    struct msg_propose msg = {.request_id = proposal->request_id,
                              .change = proposal->change};
    enum fp_err err = FP_ERR_NO_LEADER;

    proposal->waiting = false;
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
        proposal->next_ms = clock_mono_ms() + PROPOSE_TIMEOUT_MS / 3;
        return;
    }
    proposal->waiting = true;
    proposal->next_ms = clock_mono_ms() + RETRY_EVERY_MS;
}

static void
advance_proposal(struct replica *replica, struct proposal *proposal,
                 uint64_t now_ms)
{
    if (proposal->index != 0) {
        if (proposal->index <= raft_applied_index(replica->raft) ||
            now_ms >= proposal->end_ms) {
            finish_proposal(replica, proposal, FP_OK);
        }
        return;
    }
    if (now_ms >= proposal->end_ms) {
        finish_proposal(replica, proposal,
                        proposal->sent ? FP_ERR_UNKNOWN_OUTCOME
                                       : FP_ERR_NO_LEADER);
        return;
    }
    if (now_ms >= proposal->next_ms &&
        (proposal->waiting || proposal->repeatable)) {
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
replica_expire_questions(struct replica *replica, uint64_t now_ms)
{
    GList *all = g_hash_table_get_values(replica->questions);

    for (GList *at = all; at != NULL; at = at->next) {
        struct question *question = at->data;

        if (now_ms >= question->end_ms) {
            g_hash_table_steal(replica->questions, &question->request_id);
            question->done(question->ctx, FP_ERR_NO_LEADER, NULL);
            g_free(question);
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
        answer_proposal(replica, msg->request_id, msg->err, msg->index, NULL);
        return;
    }
    if (fp_decode(&CHANGE_ANSWER_SCHEMA, msg->answer.data,
                  msg->answer.size_bytes, &answer) == FP_OK) {
        answer_proposal(replica, msg->request_id, msg->err, msg->index,
                        &answer);
        fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    }
}

static void
take_question(struct replica *replica, const char *host, uint64_t request_id,
              const char *route, const json_t *body)
{
    struct asked *asked = g_new0(struct asked, 1);
    uint64_t ask = ++replica->next_ask;

    g_strlcpy(asked->host, host, sizeof(asked->host));
    asked->request_id = request_id;
    g_hash_table_insert(replica->asked, g_memdup2(&ask, sizeof(ask)), asked);
    if (!replica->leading) {
        replica_answer(replica, ask, FP_ERR_NO_LEADER, NULL);
        return;
    }
    replica->ops.asked(replica->ops.ctx, ask, route, body);
}

void
replica_on_ask(struct replica *replica, const char *from,
               const struct msg_query *msg)
{
    json_t *body = json_loadb((const char *)msg->body.data,
                              msg->body.size_bytes, 0, NULL);

    take_question(replica, from, msg->request_id, msg->route, body);
    json_decref(body);
}

static void
answer_question(struct replica *replica, uint64_t request_id, enum fp_err err,
                const json_t *body)
{
    struct question *question =
        g_hash_table_lookup(replica->questions, &request_id);

    if (question != NULL) {
        g_hash_table_steal(replica->questions, &request_id);
        question->done(question->ctx, err, body);
        g_free(question);
    }
}

void
replica_on_ask_reply(struct replica *replica,
                     const struct msg_query_reply *msg)
{
    json_t *body = json_loadb((const char *)msg->body.data,
                              msg->body.size_bytes, JSON_DECODE_ANY, NULL);

    answer_question(replica, msg->request_id, msg->err, body);
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
    proposal->request_id = ++replica->next_request;
    proposal->repeatable = head->change_id[0] != '\0';
    proposal->end_ms = clock_mono_ms() + PROPOSE_TIMEOUT_MS;
    proposal->done = done;
    proposal->ctx = ctx;
    g_hash_table_insert(replica->proposals, &proposal->request_id, proposal);
    try_proposal(replica, proposal);
}

void
replica_ask(struct replica *replica, const char *route, const json_t *body,
            ask_done done, void *ctx)
{
    struct question *question = g_new0(struct question, 1);
    const char *leader = raft_leader_host(replica->raft);
    struct msg_query msg = {.request_id = ++replica->next_request};
    char *text;
    enum fp_err err;

    question->request_id = msg.request_id;
    question->end_ms = clock_mono_ms() + ASK_TIMEOUT_MS;
    question->done = done;
    question->ctx = ctx;
    g_hash_table_insert(replica->questions, &question->request_id, question);
    if (raft_state(replica->raft) == RAFT_LEADER) {
        take_question(replica, replica->settings->host, msg.request_id, route,
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
        answer_question(replica, msg.request_id, FP_ERR_NO_LEADER, NULL);
    }
}

void
replica_answer(struct replica *replica, uint64_t ask, enum fp_err err,
               json_t *body)
{
    struct asked *asked = g_hash_table_lookup(replica->asked, &ask);
    struct msg_query_reply reply = {.err = err};
    char *text;

    if (asked == NULL) {
        json_decref(body);
        return;
    }
    if (strcmp(asked->host, replica->settings->host) == 0) {
        uint64_t request_id = asked->request_id;

        g_hash_table_remove(replica->asked, &ask);
        answer_question(replica, request_id, err, body);
        json_decref(body);
        return;
    }
    reply.request_id = asked->request_id;
    text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    if (text != NULL) {
        reply.body.data = (uint8_t *)text;
        reply.body.size_bytes = (uint32_t)strlen(text);
    }
    bus_send(replica->bus, asked->host, &MSG_QUERY_REPLY_SCHEMA, &reply);
    free(text);
    json_decref(body);
    g_hash_table_remove(replica->asked, &ask);
}

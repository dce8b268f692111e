/* dispatchask.c -- questions to the placement policy, spread over hosts
 *
 * The policy answers one question of each asking host at a time. Long
 * questions leave some hosts free, so that a short one finds one at once.
 */
#include <string.h>

#include "base/event.h"
#include "node/dispatchpriv.h"

#define HELPER_SILENT_MS 1500u /* a helper not heard of is not asked */
#define ANSWER_SLACK_MS 200u   /* beyond twice the expected time */
/* However slow the policy has been: the asker may be gone, and its step waits
 * meanwhile. Twice the longest question, 100 targets at 8 ms and 560 ms. */
#define ANSWER_MOST_MS 3000u

struct asking {
    struct pending *pending;
    char host[MSG_HOST_BYTES]; /* "": this host itself */
};

void
dispatch_helper_heard(struct dispatch *dispatch, const char *host,
                      uint64_t now_ms)
{
    struct helper *helper = g_hash_table_lookup(dispatch->helpers, host);

    if (helper == NULL) {
        helper = g_new0(struct helper, 1);
        g_strlcpy(helper->host, host, sizeof(helper->host));
        g_hash_table_insert(dispatch->helpers, helper->host, helper);
    }
    helper->heard_ms = now_ms;
}

static void
finish_question(struct asking *asking, enum fp_err err,
                const struct call_ticket *tickets, uint32_t count)
{
    struct pending *pending = asking->pending;
    struct dispatch *dispatch = pending->dispatch;
    char id[FLEET_TASK_ID_TEXT_BYTES];

    if (dispatch != NULL) {
        histogram_add(&dispatch->times.advice,
                      clock_mono_ms() - pending->asked_ms);
        fleet_step_id_text(&pending->task, id, sizeof(id));
        EVENT(EVENT_POLICY_ANSWERED, EVENT_STR("id", id),
              EVENT_INT("granted", count),
              EVENT_STR("error", fp_err_row(err)->name),
              EVENT_INT("took_ms", clock_mono_ms() - pending->asked_ms));
    }
    if (dispatch != NULL) {
        struct helper *helper =
            g_hash_table_lookup(dispatch->helpers, asking->host);

        if (helper != NULL) {
            helper->busy = false;
            if (err == FP_ERR_NO_LEADER || err == FP_ERR_UNKNOWN_OUTCOME) {
                helper->heard_ms = 0; /* until it is heard of again */
            }
        }
        if (asking->host[0] == '\0') {
            dispatch->local_busy = false;
        }
        plan_policy_answered(dispatch->plan, &pending->task, err, tickets,
                             count, clock_mono_ms());
    }
    dispatch_drop_pending(pending);
    g_free(asking);
}

static void
on_helper(void *ctx, enum fp_err err, const struct call_answer *answer)
{
    if (err == FP_OK && answer->err != FP_OK) {
        err = answer->err;
    }
    finish_question(ctx, err, answer->tickets.items,
                    err == FP_OK ? answer->tickets.count : 0);
}

static void
on_policy(void *ctx, enum fp_err err, const struct call_ticket *tickets,
          uint32_t count)
{
    finish_question(ctx, err, tickets, count);
}

/* A free helper; long questions leave some to the short ones. */
static struct helper *
find_helper(struct dispatch *dispatch, bool short_call, uint64_t now_ms)
{
    struct helper *found = NULL;
    GHashTableIter iter;
    struct helper *helper;
    uint32_t idle = 0;
    uint32_t live = 0;

    g_hash_table_iter_init(&iter, dispatch->helpers);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&helper)) {
        if (now_ms > helper->heard_ms + HELPER_SILENT_MS) {
            continue;
        }
        live++;
        if (!helper->busy) {
            idle++;
            found = helper;
        }
    }
    if (!short_call && idle <= plan_reserved_policy_clients(live)) {
        return NULL;
    }
    return found;
}

bool
dispatch_advise(void *ctx, const struct fleet_task_id *step,
                struct fleet_target *const *targets, uint32_t count,
                uint32_t expected_ms, bool short_call)
{
    struct dispatch *dispatch = ctx;
    struct helper *helper = find_helper(dispatch, short_call, clock_mono_ms());
    struct call_advise question = {
        .job_id = step->job_id,
        .occurrence = step->occurrence,
        .step = step->step,
        .timeout_ms = MIN(expected_ms * 2 + ANSWER_SLACK_MS, ANSWER_MOST_MS)};
    struct asking *asking;
    char id[FLEET_TASK_ID_TEXT_BYTES];

    if (helper == NULL &&
        (dispatch->local_busy || g_hash_table_size(dispatch->helpers) > 0)) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct call_target_id *id =
            fp_list_add(&question.targets, sizeof(*id));

        g_strlcpy(id->id, targets[i]->rec.id, sizeof(id->id));
    }
    asking = g_new0(struct asking, 1);
    asking->pending = dispatch_add_pending(dispatch, NULL);
    asking->pending->task = *step;
    asking->pending->asked_ms = clock_mono_ms();
    fleet_step_id_text(step, id, sizeof(id));
    EVENT(EVENT_POLICY_ASKED, EVENT_STR("id", id),
          EVENT_STR("asker", helper != NULL ? helper->host : "here"),
          EVENT_INT("named", count), EVENT_INT("expected_ms", expected_ms));
    if (helper != NULL) {
        helper->busy = true;
        g_strlcpy(asking->host, helper->host, sizeof(asking->host));
        relay_call_host(dispatch->parts.relay, helper->host, CALL_ADVISE,
                        &CALL_ADVISE_SCHEMA, &question, question.timeout_ms,
                        on_helper, asking);
    }
    else {
        dispatch->local_busy = true;
        dispatch->parts.policy->ask(dispatch->parts.policy->client, &question,
                                    on_policy, asking);
    }
    g_free(question.targets.items);
    return true;
}

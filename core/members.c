/* members.c -- which replica joins or leaves the cell next */
#include "core/members.h"

#include <stddef.h>
#include <string.h>

#define NEWCOMER_HEARD_MS 1000u /* a newcomer must be this lively */
#define VOTER_ALIVE_MS 1000u    /* a voter heard within this counts */
#define VOTER_SILENT_MS 2500u   /* a voter silent this long may be replaced */
#define VOTER_GONE_MS 3500u     /* and may be removed without a successor */
#define VOTERS_LEAST 3u

static const struct member_view *
find_newcomer(const struct member_view *views, uint32_t count, uint64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!views[i].member &&
            views[i].heard_ms + NEWCOMER_HEARD_MS >= now_ms) {
            return &views[i];
        }
    }
    return NULL;
}

static bool
host_has_member(const struct member_view *views, uint32_t count,
                const char *host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (views[i].member && strcmp(views[i].host, host) == 0) {
            return true;
        }
    }
    return false;
}

/* The voter that has been silent longest, if the rest can go on without it. */
static const struct member_view *
find_silent(const struct member_view *views, uint32_t count, uint64_t now_ms)
{
    const struct member_view *silent = NULL;
    uint32_t voters = 0;
    uint32_t alive = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (!views[i].voter) {
            continue;
        }
        voters++;
        alive += views[i].heard_ms + VOTER_ALIVE_MS >= now_ms;
        if (views[i].heard_ms + VOTER_SILENT_MS < now_ms &&
            (silent == NULL || views[i].heard_ms < silent->heard_ms)) {
            silent = &views[i];
        }
    }
    return voters > 1 && alive > (voters - 1) / 2 ? silent : NULL;
}

static bool
bears_more_without(const struct member_view *views, uint32_t count,
                   uint64_t now_ms)
{
    uint32_t voters = 0;
    uint32_t silent = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (views[i].voter) {
            voters++;
            silent += views[i].heard_ms + VOTER_ALIVE_MS < now_ms;
        }
    }
    return voters > VOTERS_LEAST &&
           (voters % 2 == 0 ? silent == 1
                            : silent == 2 && voters > VOTERS_LEAST + 1);
}

struct member_step
members_next(const struct member_view *views, uint32_t count, uint64_t now_ms)
{
    struct member_step step = {MEMBER_NONE, 0, NULL};
    const struct member_view *newcomer = find_newcomer(views, count, now_ms);
    const struct member_view *silent;

    silent = find_silent(views, count, now_ms);
    if (newcomer == NULL && silent != NULL &&
        silent->heard_ms + VOTER_GONE_MS < now_ms &&
        bears_more_without(views, count, now_ms)) {
        step.action = MEMBER_REMOVE;
        step.id = silent->id;
        step.host = silent->host;
    }
    if (newcomer == NULL) {
        return step;
    }
    if (silent != NULL && !host_has_member(views, count, newcomer->host)) {
        step.action = MEMBER_REMOVE;
        step.id = silent->id;
        step.host = silent->host;
        return step;
    }
    step.action = MEMBER_ADD;
    step.id = newcomer->id;
    step.host = newcomer->host;
    return step;
}

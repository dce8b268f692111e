/* standin.c -- a stand-in target */
#include "bench/standin.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "node/clock.h"
#include "node/fetch.h"
#include "node/heartbeat.h"
#include "node/httpd.h"

#define TICK_MS 2u
#define COPIES_TICK_MS 50u /* many in one process */
#define COPIES_MAX 5000u
#define PAUSE_MS 100u     /* after a host could not be reached */
#define PATIENCE_MS 4000u /* for the answer to a heartbeat */
#define DEFAULT_RUN_MS 100u
#define LEAVE_MS 3000u /* from "leaving" until it may exit */
#define STICK_CENTS 12 /* price of a stick in the demonstration */

/* An attempt that it runs or ran. */
struct attempt {
    uint64_t id;
    uint32_t number;
    enum report_state state;
    uint32_t exit_code;
    bool fails;
    uint64_t end_ms;
    bool throttled;
    bool stopping;
};

/* A request that is answered later. */
struct delayed {
    struct http_request *request;
    uint64_t at_ms;
};

struct standin {
    struct standin_options options;
    struct timers *timers;
    struct fetcher *fetcher;
    struct httpd *httpd;
    char **hosts;
    unsigned host_count;
    unsigned host; /* the one that is asked now */
    const char *key;
    bool tls;
    int journal;
    bool announced;
    bool leaving;
    uint64_t leaving_ms;
    uint64_t number;   /* of the newest heartbeat */
    uint64_t sent_ms;  /* when it left */
    bool waiting;      /* for an answer */
    uint64_t pause_ms; /* nothing is sent before this */
    uint64_t lease_ms; /* when the lease ends; 0: no task may run */
    bool news;         /* something to report at once */
    GArray *attempts;  /* struct attempt */
    GArray *delayed;   /* struct delayed */
    uint32_t in_flight;
    uint32_t max_in_flight;
    uint64_t served;
};

/* What an answer belongs to. */
struct sent {
    struct standin *standin;
    uint64_t number;
};

static void
write_journal(const struct standin *standin, const char *word,
              const struct attempt *attempt)
{
    char line[160];
    int length;
    ssize_t wrote;

    if (standin->journal < 0) {
        return;
    }
    length = snprintf(line, sizeof(line), "%llu %s %llu %u %s\n",
                      (unsigned long long)clock_mono_ms(), word,
                      (unsigned long long)attempt->id, attempt->number,
                      standin->options.target.name);
    wrote = write(standin->journal, line, (size_t)length);
    (void)wrote;
}

static void
end_attempt(struct standin *standin, struct attempt *attempt,
            enum report_state state)
{
    static const char *const words[] = {"running", "done", "failed", "stopped",
                                        "not-run"};

    attempt->state = state;
    attempt->exit_code = state == REPORT_FAILED ? 1 : 0;
    standin->news = true;
    write_journal(standin, words[state], attempt);
}

static struct attempt *
find_attempt(const struct standin *standin, uint64_t id, uint32_t number)
{
    for (guint i = 0; i < standin->attempts->len; i++) {
        struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);

        if (attempt->id == id && attempt->number == number) {
            return attempt;
        }
    }
    return NULL;
}

/* The payload may say {"run_ms": N, "fail": true}. */
static void
read_payload(struct attempt *attempt, const json_t *order)
{
    const char *text = json_string_value(json_object_get(order, "payload"));
    json_t *payload = text == NULL ? NULL : json_loads(text, 0, NULL);
    const json_t *run_ms = json_object_get(payload, "run_ms");

    attempt->fails = json_is_true(json_object_get(payload, "fail"));
    attempt->end_ms =
        clock_mono_ms() + (json_is_integer(run_ms)
                               ? (uint64_t)json_integer_value(run_ms)
                               : DEFAULT_RUN_MS);
    json_decref(payload);
}

static void
start_attempt(struct standin *standin, const json_t *order)
{
    struct attempt attempt = {
        .id = (uint64_t)json_integer_value(json_object_get(order, "id")),
        .number =
            (uint32_t)json_integer_value(json_object_get(order, "attempt"))};

    if (find_attempt(standin, attempt.id, attempt.number) != NULL) {
        return;
    }
    read_payload(&attempt, order);
    write_journal(standin, "start", &attempt);
    if (standin->options.fail_all) {
        attempt.fails = true;
        attempt.end_ms = clock_mono_ms();
    }
    g_array_append_val(standin->attempts, attempt);
    standin->news = true;
}

static struct attempt *
ordered_attempt(const struct standin *standin, const json_t *order)
{
    return find_attempt(
        standin, (uint64_t)json_integer_value(json_object_get(order, "id")),
        (uint32_t)json_integer_value(json_object_get(order, "attempt")));
}

static void
stop_attempt(struct standin *standin, const json_t *order)
{
    struct attempt *attempt = ordered_attempt(standin, order);

    if (attempt != NULL && attempt->state == REPORT_RUNNING &&
        !attempt->stopping) {
        attempt->stopping = true;
        attempt->end_ms = clock_mono_ms() + standin->options.stop_ms;
    }
}

static void
forget_attempt(struct standin *standin, const json_t *order)
{
    struct attempt *attempt = ordered_attempt(standin, order);

    if (attempt != NULL && attempt->state != REPORT_RUNNING) {
        g_array_remove_index(
            standin->attempts,
            (guint)(attempt - (struct attempt *)standin->attempts->data));
    }
}

static void
throttle_attempts(struct standin *standin, const json_t *list)
{
    size_t index;
    json_t *order;

    for (guint i = 0; i < standin->attempts->len; i++) {
        g_array_index(standin->attempts, struct attempt, i).throttled = false;
    }
    json_array_foreach((json_t *)list, index, order)
    {
        struct attempt *attempt = ordered_attempt(standin, order);

        if (attempt != NULL) {
            attempt->throttled = true;
        }
    }
}

static void
obey(struct standin *standin, const json_t *answer)
{
    size_t index;
    json_t *order;

    standin->lease_ms =
        standin->sent_ms +
        (uint64_t)json_integer_value(json_object_get(answer, "lease_ms"));
    json_array_foreach(json_object_get(answer, "forget"), index, order)
    {
        forget_attempt(standin, order);
    }
    json_array_foreach(json_object_get(answer, "stop"), index, order)
    {
        stop_attempt(standin, order);
    }
    json_array_foreach(json_object_get(answer, "start"), index, order)
    {
        start_attempt(standin, order);
    }
    throttle_attempts(standin, json_object_get(answer, "throttle"));
}

static void
next_host(struct standin *standin)
{
    standin->host = (standin->host + 1) % standin->host_count;
    standin->pause_ms = clock_mono_ms() + PAUSE_MS;
}

static bool
names_error(const struct fetch_response *answer, enum fp_err err)
{
    json_t *body = json_loadb(answer->body, answer->body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "error"));
    bool same = name != NULL && strcmp(name, fp_err_row(err)->name) == 0;

    json_decref(body);
    return same;
}

static void
on_announced(void *ctx, const struct fetch_response *answer)
{
    struct sent *sent = ctx;
    struct standin *standin = sent->standin;

    standin->waiting = false;
    if (answer->err == FP_OK && answer->status == 200) {
        standin->announced = true;
        standin->news = true;
    }
    else {
        if (answer->err == FP_OK && answer->status < 500) {
            log_warn(LOG_STANDIN, "The announcement was refused: %.*s",
                     (int)answer->body_bytes, (const char *)answer->body);
        }
        next_host(standin);
    }
    g_free(sent);
}

/* Only the answer to the newest heartbeat counts; an older one may carry
 * orders that were overtaken since.
 */
static void
on_beat_answered(void *ctx, const struct fetch_response *answer)
{
    struct sent *sent = ctx;
    struct standin *standin = sent->standin;
    bool newest = sent->number == standin->number;
    json_t *body;

    g_free(sent);
    if (!newest) {
        return;
    }
    standin->waiting = false;
    if (answer->err != FP_OK || answer->status != 200) {
        if (answer->err == FP_OK && names_error(answer, FP_ERR_STALE)) {
            standin->announced = false;
            return;
        }
        next_host(standin);
        return;
    }
    body = json_loadb(answer->body, answer->body_bytes, 0, NULL);
    obey(standin, body);
    json_decref(body);
}

static void
post(struct standin *standin, const char *path, json_t *body, fetch_done done,
     uint64_t number)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char *url = g_strdup_printf("%s://%s%s", standin->tls ? "https" : "http",
                                standin->hosts[standin->host], path);
    struct sent *sent = g_new0(struct sent, 1);
    struct fetch_request request = {.method = "POST",
                                    .url = url,
                                    .content_type = "application/json",
                                    .bearer_token = standin->key,
                                    .body = text,
                                    .body_bytes = strlen(text),
                                    .timeout_ms = PATIENCE_MS,
                                    .response_max_bytes = 4 * 1024 * 1024};

    sent->standin = standin;
    sent->number = number;
    standin->waiting = true;
    fetch(standin->fetcher, &request, done, sent);
    g_free(url);
    free(text);
    json_decref(body);
}

static void
announce(struct standin *standin)
{
    json_t *body = fp_to_json(&CHANGE_TARGET_SCHEMA, &standin->options.target);

    post(standin, "/v1/targets/announce", body, on_announced, 0);
}

static void
send_heartbeat(struct standin *standin)
{
    struct heartbeat heartbeat = {.run_id = standin->options.target.run_id,
                                  .leaving = standin->leaving};
    json_t *body;

    g_strlcpy(heartbeat.name, standin->options.target.name,
              sizeof(heartbeat.name));
    heartbeat.number = ++standin->number;
    for (guint i = 0; i < standin->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);
        struct attempt_report *report =
            fp_list_add(&heartbeat.tasks, sizeof(*report));

        report->id = attempt->id;
        report->attempt = attempt->number;
        report->state = attempt->state;
        report->exit_code = attempt->exit_code;
    }
    standin->sent_ms = clock_mono_ms();
    standin->news = false;
    body = fp_to_json(&HEARTBEAT_SCHEMA, &heartbeat);
    fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
    post(standin, "/v1/targets/heartbeat", body, on_beat_answered,
         standin->number);
}

/* Without a lease nothing may run: another target may have it by now. */
static void
end_due(struct standin *standin, uint64_t now_ms)
{
    bool lease_over = now_ms >= standin->lease_ms;

    for (guint i = 0; i < standin->attempts->len; i++) {
        struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);

        if (attempt->state != REPORT_RUNNING) {
            continue;
        }
        if (lease_over) {
            end_attempt(standin, attempt, REPORT_STOPPED);
        }
        else if (now_ms >= attempt->end_ms) {
            end_attempt(standin, attempt,
                        attempt->stopping ? REPORT_STOPPED
                        : attempt->fails  ? REPORT_FAILED
                                          : REPORT_DONE);
        }
    }
}

static void
reply_json(struct http_request *request, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(text);
    json_decref(body);
}

/* Prices a bundle {"bundle": [{"stick": "myrrh", "count": 20}, ...]}. */
static void
reply_price(struct standin *standin, struct http_request *request)
{
    size_t size;
    const char *text = http_body(request, &size);
    json_t *body = json_loadb(text, size, 0, NULL);
    json_int_t sticks = 0;
    size_t index;
    json_t *item;

    json_array_foreach(json_object_get(body, "bundle"), index, item)
    {
        sticks += json_integer_value(json_object_get(item, "count"));
    }
    reply_json(request, json_pack("{s:I,s:I,s:s}", "sticks", sticks,
                                  "price_cents", sticks * STICK_CENTS,
                                  "target", standin->options.target.name));
    json_decref(body);
}

static void
reply(struct standin *standin, struct http_request *request)
{
    size_t size;
    const char *body = http_body(request, &size);

    standin->in_flight--;
    standin->served++;
    if (strcmp(http_path(request), "/price") == 0) {
        reply_price(standin, request);
    }
    else {
        http_reply(request, 200, "application/octet-stream", body, size, 0);
    }
}

static uint64_t
delay_of(const struct standin *standin, const struct http_request *request)
{
    char value[16];
    uint64_t ms = standin->options.answer_ms;

    if (http_query_param(request, "ms", value, sizeof(value))) {
        g_ascii_string_to_unsigned(value, 10, 0, 600000, &ms, NULL);
    }
    return ms;
}

static void
on_request(void *ctx, struct http_request *request)
{
    struct standin *standin = ctx;
    struct delayed delayed = {request, clock_mono_ms()};
    uint64_t ms;

    if (strcmp(http_path(request), "/stats") == 0) {
        reply_json(request,
                   json_pack("{s:i,s:i,s:I}", "in_flight", standin->in_flight,
                             "max_in_flight", standin->max_in_flight, "served",
                             (json_int_t)standin->served));
        return;
    }
    standin->in_flight++;
    standin->max_in_flight = MAX(standin->max_in_flight, standin->in_flight);
    ms = delay_of(standin, request);
    if (ms == 0) {
        reply(standin, request);
        return;
    }
    delayed.at_ms += ms;
    g_array_append_val(standin->delayed, delayed);
}

static void
reply_due(struct standin *standin, uint64_t now_ms)
{
    for (guint i = standin->delayed->len; i > 0; i--) {
        struct delayed delayed =
            g_array_index(standin->delayed, struct delayed, i - 1);

        if (now_ms >= delayed.at_ms) {
            g_array_remove_index_fast(standin->delayed, i - 1);
            reply(standin, delayed.request);
        }
    }
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct standin *standin = ctx;

    reply_due(standin, now_ms);
    end_due(standin, now_ms);
    if (now_ms < standin->pause_ms) {
        return;
    }
    if (!standin->announced) {
        if (!standin->waiting) {
            announce(standin);
        }
        return;
    }
    if (!standin->waiting || standin->news) {
        send_heartbeat(standin);
    }
}

enum fp_err
standin_new(uv_loop_t *loop, const struct cli *cli,
            const struct standin_options *options, struct standin **out,
            char *why, size_t why_bytes)
{
    struct standin *standin = g_new0(struct standin, 1);
    uint64_t run_id;

    *out = standin;
    standin->options = *options;
    randombytes_buf(&run_id, sizeof(run_id));
    standin->options.target.run_id = (run_id >> 1) | 1;
    standin->key = cli->key;
    standin->tls = cli->tls;
    standin->hosts = cli_hosts(cli);
    standin->host_count = g_strv_length(standin->hosts);
    standin->host = randombytes_uniform(standin->host_count);
    standin->journal =
        options->journal == NULL
            ? -1
            : open(options->journal, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                   0600);
    standin->attempts = g_array_new(FALSE, TRUE, sizeof(struct attempt));
    standin->delayed = g_array_new(FALSE, TRUE, sizeof(struct delayed));
    standin->timers = timers_new(loop);
    standin->fetcher = fetcher_new(loop);
    timers_subscribe(standin->timers,
                     options->tick_ms ? options->tick_ms : TICK_MS, on_tick,
                     standin);
    if (options->target.address[0] == '\0') {
        return FP_OK;
    }
    return httpd_new(loop, options->target.address, NULL, on_request, standin,
                     &standin->httpd, why, why_bytes);
}

void
standin_free(struct standin *standin)
{
    if (standin == NULL) {
        return;
    }
    timers_free(standin->timers);
    fetcher_free(standin->fetcher);
    httpd_close(standin->httpd);
    if (standin->journal >= 0) {
        close(standin->journal);
    }
    g_array_free(standin->attempts, TRUE);
    g_array_free(standin->delayed, TRUE);
    g_strfreev(standin->hosts);
    g_free(standin);
}

static const char *const SKIPPED[] = {
    "change_id",   "at_ms",     "name",         "run_id",
    "state",       "owner_run", "owner_host",   "owner_epoch",
    "owner_clean", "was_owned", "given_labels", "labels_version",
    "version",     NULL};

enum {
    KEY_JOURNAL = 1024,
    KEY_FAIL_ALL,
    KEY_STOP_MS,
    KEY_ANSWER_MS,
    KEY_COPIES
};

static const struct argp_option MORE[] = {
    {"journal", KEY_JOURNAL, "FILE", 0,
     "append a line for each start and end of a task", 2},
    {"fail-all", KEY_FAIL_ALL, NULL, 0, "fail every task at once", 2},
    {"stop-ms", KEY_STOP_MS, "N", 0, "time that a checkpoint takes", 2},
    {"answer-ms", KEY_ANSWER_MS, "N", 0, "time that a request takes", 2},
    {"copies", KEY_COPIES, "N", 0,
     "so many targets NAME-N that serve no requests, in one process", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

/* What the subcommand takes besides the record of the target. */
struct standin_arguments {
    struct standin_options options;
    uint32_t copies;
};

static bool
take_more(void *ctx, int key, const char *arg)
{
    struct standin_arguments *arguments = ctx;
    struct standin_options *options = &arguments->options;
    uint64_t number = 0;

    switch (key) {
    case KEY_JOURNAL:
        options->journal = arg;
        return true;
    case KEY_FAIL_ALL:
        options->fail_all = true;
        return true;
    default:
        if (!g_ascii_string_to_unsigned(arg, 10, 0, 600000, &number, NULL)) {
            return false;
        }
    }
    if (key == KEY_STOP_MS) {
        options->stop_ms = (uint32_t)number;
    }
    else if (key == KEY_COPIES) {
        arguments->copies = (uint32_t)MIN(number, COPIES_MAX);
    }
    else {
        options->answer_ms = (uint32_t)number;
    }
    return true;
}

static void
on_signal(uv_signal_t *signal, int number)
{
    struct standin *standin = signal->data;

    (void)number;
    if (standin->leaving) {
        uv_stop(signal->loop);
        return;
    }
    standin->leaving = true;
    standin->news = true;
    standin->leaving_ms = clock_mono_ms();
}

static void
on_leave_tick(void *ctx, uint64_t now_ms)
{
    struct standin *standin = ctx;

    if (standin->leaving && now_ms >= standin->leaving_ms + LEAVE_MS &&
        standin->attempts->len == 0 && standin->in_flight == 0) {
        uv_stop(uv_default_loop());
    }
}

/* Starts all copies, or one target under its plain name. */
static enum fp_err
start_all(struct cli *cli, struct standin_arguments *arguments,
          const char *name, struct standin **all, char *why, size_t why_bytes)
{
    struct change_target *target = &arguments->options.target;
    uint32_t count = MAX(arguments->copies, 1);
    enum fp_err err = FP_OK;

    for (uint32_t i = 0; i < count && err == FP_OK; i++) {
        if (arguments->copies == 0) {
            g_strlcpy(target->name, name, sizeof(target->name));
        }
        else {
            snprintf(target->name, sizeof(target->name), "%.40s-%05u", name,
                     i);
            arguments->options.tick_ms = COPIES_TICK_MS;
        }
        err = standin_new(uv_default_loop(), cli, &arguments->options, &all[i],
                          why, why_bytes);
    }
    return err;
}

int
standin_main(struct cli *cli, int argc, char **argv)
{
    struct standin_arguments arguments = {.copies = 0};
    const char *words[1] = {NULL};
    struct cli_parse parse = {
        .cli = cli,
        .schema = &CHANGE_TARGET_SCHEMA,
        .record = &arguments.options.target,
        .skip = SKIPPED,
        .usage = "NAME",
        .doc = "Runs a stand-in target: it announces itself, runs tasks for "
               "the time that their payload names, {\"run_ms\": N}, and "
               "answers requests; POST /price prices a bundle, all else is "
               "echoed. SIGTERM makes it leave.",
        .words = words,
        .max_words = 1,
        .more = MORE,
        .take_more = take_more,
        .ctx = &arguments};
    struct standin **all;
    uv_signal_t signals;
    char why[200];
    enum fp_err err;

    cli_parse(&parse, argc, argv);
    if (words[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: NAME");
    }
    log_open(false, G_LOG_LEVEL_MESSAGE);
    signal(SIGPIPE, SIG_IGN);
    all = g_new0(struct standin *, MAX(arguments.copies, 1));
    err = start_all(cli, &arguments, words[0], all, why, sizeof(why));
    if (err != FP_OK) {
        g_free(all);
        return cli_error(err, "%s", why);
    }
    timers_subscribe(all[0]->timers, PAUSE_MS, on_leave_tick, all[0]);
    uv_signal_init(uv_default_loop(), &signals);
    signals.data = all[0];
    uv_signal_start(&signals, on_signal, SIGTERM);
    uv_run(uv_default_loop(), UV_RUN_DEFAULT);
    for (uint32_t i = 0; i < MAX(arguments.copies, 1); i++) {
        standin_free(all[i]);
    }
    g_free(all);
    return 0;
}

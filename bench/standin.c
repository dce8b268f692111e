/* standin.c -- the stand-in target and its subcommand */
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

#define TICK_MS 2u         /* default of standin_options.tick_ms */
#define COPIES_TICK_MS 50u /* with --copies */
#define COPIES_MAX 5000u
#define RETRY_DELAY_MS 100u /* after a failed request */
#define LEAVE_TICK_MS 100u  /* interval of the check for the exit */
#define REQUEST_TIMEOUT_MS 4000u
#define DEFAULT_RUN_MS 100u
#define LEAVE_DELAY_MS 3000u /* from SIGTERM to the earliest exit */
#define STICK_PRICE_CENTS 12 /* in replies to POST /price */

/* An attempt that runs, or that has ended and must still be reported. */
struct attempt {
    uint64_t task_id;
    uint32_t number; /* of the attempt */
    enum report_state state;
    uint32_t exit_code;
    bool fails;      /* will end as failed */
    uint64_t end_ms; /* due time of the end */
    bool throttled;  /* ordered by the host; has no effect here */
    bool stopping;
};

/* A request that is answered at reply_ms. */
struct delayed_request {
    struct http_request *request;
    uint64_t reply_ms;
};

struct standin {
    struct standin_options options;
    struct timers *timers;
    struct fetcher *fetcher;
    struct httpd *httpd;
    char **hosts;
    unsigned host_count;
    unsigned current_host; /* index of the host that requests go to */
    const char *key;
    bool tls;
    int journal_fd; /* -1: no journal */
    bool announced;
    bool leaving;
    uint64_t leave_start_ms;
    uint64_t heartbeat_number;  /* of the latest heartbeat */
    uint64_t heartbeat_sent_ms; /* of the latest heartbeat */
    bool awaiting_response;
    uint64_t next_send_ms;    /* no request is sent before this time */
    uint64_t lease_end_ms;    /* 0: no task may run */
    bool report_due;          /* send a heartbeat even if one is unanswered */
    GArray *attempts;         /* struct attempt */
    GArray *delayed_requests; /* struct delayed_request */
    uint32_t in_flight;
    uint32_t max_in_flight;
    uint64_t served;
};

/* Context of the callback for a response. */
struct sent_request {
    struct standin *standin;
    uint64_t heartbeat_number; /* 0: announcement */
};

static void
write_journal(const struct standin *standin, const char *event,
              const struct attempt *attempt)
{
    char line[160];
    int length;
    ssize_t written;

    if (standin->journal_fd < 0) {
        return;
    }
    length = snprintf(line, sizeof(line), "%llu %s %llu %u %s\n",
                      (unsigned long long)clock_mono_ms(), event,
                      (unsigned long long)attempt->task_id, attempt->number,
                      standin->options.target.name);
    written = write(standin->journal_fd, line, (size_t)length);
    (void)written;
}

static void
end_attempt(struct standin *standin, struct attempt *attempt,
            enum report_state state)
{
    static const char *const event_names[] = {"running", "done", "failed",
                                              "stopped", "not-run"};

    attempt->state = state;
    attempt->exit_code = state == REPORT_FAILED ? 1 : 0;
    standin->report_due = true;
    write_journal(standin, event_names[state], attempt);
}

static struct attempt *
find_attempt(const struct standin *standin, uint64_t task_id, uint32_t number)
{
    for (guint i = 0; i < standin->attempts->len; i++) {
        struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);

        if (attempt->task_id == task_id && attempt->number == number) {
            return attempt;
        }
    }
    return NULL;
}

/* Reads the optional members of the payload {"run_ms": N, "fail": true}. */
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
        .task_id = (uint64_t)json_integer_value(json_object_get(order, "id")),
        .number =
            (uint32_t)json_integer_value(json_object_get(order, "attempt"))};

    if (find_attempt(standin, attempt.task_id, attempt.number) != NULL) {
        return;
    }
    read_payload(&attempt, order);
    write_journal(standin, "start", &attempt);
    if (standin->options.fail_all) {
        attempt.fails = true;
        attempt.end_ms = clock_mono_ms();
    }
    g_array_append_val(standin->attempts, attempt);
    standin->report_due = true;
}

static struct attempt *
attempt_of_order(const struct standin *standin, const json_t *order)
{
    return find_attempt(
        standin, (uint64_t)json_integer_value(json_object_get(order, "id")),
        (uint32_t)json_integer_value(json_object_get(order, "attempt")));
}

static void
stop_attempt(struct standin *standin, const json_t *order)
{
    struct attempt *attempt = attempt_of_order(standin, order);

    if (attempt != NULL && attempt->state == REPORT_RUNNING &&
        !attempt->stopping) {
        attempt->stopping = true;
        attempt->end_ms = clock_mono_ms() + standin->options.stop_ms;
    }
}

static void
forget_attempt(struct standin *standin, const json_t *order)
{
    struct attempt *attempt = attempt_of_order(standin, order);

    if (attempt != NULL && attempt->state != REPORT_RUNNING) {
        g_array_remove_index(
            standin->attempts,
            (guint)(attempt - (struct attempt *)standin->attempts->data));
    }
}

static void
throttle_attempts(struct standin *standin, const json_t *orders)
{
    size_t index;
    json_t *order;

    for (guint i = 0; i < standin->attempts->len; i++) {
        g_array_index(standin->attempts, struct attempt, i).throttled = false;
    }
    json_array_foreach((json_t *)orders, index, order)
    {
        struct attempt *attempt = attempt_of_order(standin, order);

        if (attempt != NULL) {
            attempt->throttled = true;
        }
    }
}

static void
apply_orders(struct standin *standin, const json_t *response)
{
    size_t index;
    json_t *order;

    standin->lease_end_ms =
        standin->heartbeat_sent_ms +
        (uint64_t)json_integer_value(json_object_get(response, "lease_ms"));
    json_array_foreach(json_object_get(response, "forget"), index, order)
    {
        forget_attempt(standin, order);
    }
    json_array_foreach(json_object_get(response, "stop"), index, order)
    {
        stop_attempt(standin, order);
    }
    json_array_foreach(json_object_get(response, "start"), index, order)
    {
        start_attempt(standin, order);
    }
    throttle_attempts(standin, json_object_get(response, "throttle"));
}

static void
switch_host(struct standin *standin)
{
    standin->current_host = (standin->current_host + 1) % standin->host_count;
    standin->next_send_ms = clock_mono_ms() + RETRY_DELAY_MS;
}

static bool
response_has_error(const struct fetch_response *response, enum fp_err err)
{
    json_t *body = json_loadb(response->body, response->body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "error"));
    bool matches = name != NULL && strcmp(name, fp_err_row(err)->name) == 0;

    json_decref(body);
    return matches;
}

static void
on_announce_response(void *ctx, const struct fetch_response *response)
{
    struct sent_request *sent = ctx;
    struct standin *standin = sent->standin;

    standin->awaiting_response = false;
    if (response->err == FP_OK && response->status == 200) {
        standin->announced = true;
        standin->report_due = true;
    }
    else {
        if (response->err == FP_OK && response->status < 500) {
            log_warn(LOG_STANDIN, "The announcement was refused: %.*s",
                     (int)response->body_bytes, (const char *)response->body);
        }
        switch_host(standin);
    }
    g_free(sent);
}

/* Ignores responses to all but the latest heartbeat, since they may carry
 * outdated orders.
 */
static void
on_heartbeat_response(void *ctx, const struct fetch_response *response)
{
    struct sent_request *sent = ctx;
    struct standin *standin = sent->standin;
    bool newest = sent->heartbeat_number == standin->heartbeat_number;
    json_t *body;

    g_free(sent);
    if (!newest) {
        return;
    }
    standin->awaiting_response = false;
    if (response->err != FP_OK || response->status != 200) {
        if (response->err == FP_OK &&
            response_has_error(response, FP_ERR_STALE)) {
            standin->announced = false;
            return;
        }
        switch_host(standin);
        return;
    }
    body = json_loadb(response->body, response->body_bytes, 0, NULL);
    apply_orders(standin, body);
    json_decref(body);
}

/* Sends a request to the current host; body is consumed. heartbeat_number is 0
 * in an announcement.
 */
static void
post(struct standin *standin, const char *path, json_t *body,
     fetch_done on_response, uint64_t heartbeat_number)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char *url = g_strdup_printf("%s://%s%s", standin->tls ? "https" : "http",
                                standin->hosts[standin->current_host], path);
    struct sent_request *sent = g_new0(struct sent_request, 1);
    struct fetch_request request = {.method = "POST",
                                    .url = url,
                                    .content_type = "application/json",
                                    .bearer_token = standin->key,
                                    .body = text,
                                    .body_bytes = strlen(text),
                                    .timeout_ms = REQUEST_TIMEOUT_MS,
                                    .response_max_bytes = 4 * 1024 * 1024};

    sent->standin = standin;
    sent->heartbeat_number = heartbeat_number;
    standin->awaiting_response = true;
    fetch(standin->fetcher, &request, on_response, sent);
    g_free(url);
    free(text);
    json_decref(body);
}

static void
announce(struct standin *standin)
{
    json_t *body = fp_to_json(&CHANGE_TARGET_SCHEMA, &standin->options.target);

    post(standin, "/v1/targets/announce", body, on_announce_response, 0);
}

static void
send_heartbeat(struct standin *standin)
{
    struct heartbeat heartbeat = {.run_id = standin->options.target.run_id,
                                  .leaving = standin->leaving};
    json_t *body;

    g_strlcpy(heartbeat.name, standin->options.target.name,
              sizeof(heartbeat.name));
    heartbeat.number = ++standin->heartbeat_number;
    for (guint i = 0; i < standin->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);
        struct attempt_report *report =
            fp_list_add(&heartbeat.tasks, sizeof(*report));

        report->id = attempt->task_id;
        report->attempt = attempt->number;
        report->state = attempt->state;
        report->exit_code = attempt->exit_code;
    }
    standin->heartbeat_sent_ms = clock_mono_ms();
    standin->report_due = false;
    body = fp_to_json(&HEARTBEAT_SCHEMA, &heartbeat);
    fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
    post(standin, "/v1/targets/heartbeat", body, on_heartbeat_response,
         standin->heartbeat_number);
}

/* Ends attempts that are due, and all of them when the lease has expired:
 * another target may run their tasks by then.
 */
static void
end_due_attempts(struct standin *standin, uint64_t now_ms)
{
    bool lease_expired = now_ms >= standin->lease_end_ms;

    for (guint i = 0; i < standin->attempts->len; i++) {
        struct attempt *attempt =
            &g_array_index(standin->attempts, struct attempt, i);

        if (attempt->state != REPORT_RUNNING) {
            continue;
        }
        if (lease_expired) {
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

/* Replies with the price of a bundle, an array of sticks:
 *   {"bundle": [{"stick": "myrrh", "count": 20}]}
 */
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
                                  "price_cents", sticks * STICK_PRICE_CENTS,
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
response_delay_ms(const struct standin *standin,
                  const struct http_request *request)
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
    struct delayed_request delayed = {request, clock_mono_ms()};
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
    ms = response_delay_ms(standin, request);
    if (ms == 0) {
        reply(standin, request);
        return;
    }
    delayed.reply_ms += ms;
    g_array_append_val(standin->delayed_requests, delayed);
}

static void
reply_due_requests(struct standin *standin, uint64_t now_ms)
{
    for (guint i = standin->delayed_requests->len; i > 0; i--) {
        struct delayed_request delayed = g_array_index(
            standin->delayed_requests, struct delayed_request, i - 1);

        if (now_ms >= delayed.reply_ms) {
            g_array_remove_index_fast(standin->delayed_requests, i - 1);
            reply(standin, delayed.request);
        }
    }
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    struct standin *standin = ctx;

    reply_due_requests(standin, now_ms);
    end_due_attempts(standin, now_ms);
    if (now_ms < standin->next_send_ms) {
        return;
    }
    if (!standin->announced) {
        if (!standin->awaiting_response) {
            announce(standin);
        }
        return;
    }
    if (!standin->awaiting_response || standin->report_due) {
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
    standin->hosts = cli_split_hosts(cli);
    standin->host_count = g_strv_length(standin->hosts);
    standin->current_host = randombytes_uniform(standin->host_count);
    standin->journal_fd =
        options->journal == NULL
            ? -1
            : open(options->journal, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                   0600);
    standin->attempts = g_array_new(FALSE, TRUE, sizeof(struct attempt));
    standin->delayed_requests =
        g_array_new(FALSE, TRUE, sizeof(struct delayed_request));
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
    if (standin->journal_fd >= 0) {
        close(standin->journal_fd);
    }
    g_array_free(standin->attempts, TRUE);
    g_array_free(standin->delayed_requests, TRUE);
    g_strfreev(standin->hosts);
    g_free(standin);
}

/* Fields of struct change_target without a command-line option. */
static const char *const SKIPPED_FIELDS[] = {
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

static const struct argp_option OPTIONS[] = {
    {"journal", KEY_JOURNAL, "FILE", 0,
     "append a line for each start and end of an attempt", 2},
    {"fail-all", KEY_FAIL_ALL, NULL, 0, "fail every task immediately", 2},
    {"stop-ms", KEY_STOP_MS, "N", 0,
     "duration of a checkpoint, ms (default: 0)", 2},
    {"answer-ms", KEY_ANSWER_MS, "N", 0,
     "delay of each response, ms (default: 0)", 2},
    {"copies", KEY_COPIES, "N", 0,
     "run N targets NAME-NNNNN in one process, without --address", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

/* Arguments of the subcommand. */
struct standin_arguments {
    struct standin_options options;
    uint32_t copies;
};

static bool
parse_option(void *ctx, int key, const char *arg)
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
on_signal(uv_signal_t *signal, int signum)
{
    struct standin *standin = signal->data;

    (void)signum;
    if (standin->leaving) {
        uv_stop(signal->loop);
        return;
    }
    standin->leaving = true;
    standin->report_due = true;
    standin->leave_start_ms = clock_mono_ms();
}

static void
on_leave_tick(void *ctx, uint64_t now_ms)
{
    struct standin *standin = ctx;

    if (standin->leaving &&
        now_ms >= standin->leave_start_ms + LEAVE_DELAY_MS &&
        standin->attempts->len == 0 && standin->in_flight == 0) {
        uv_stop(uv_default_loop());
    }
}

/* Starts the copies NAME-NNNNN, or one target called NAME. */
static enum fp_err
start_copies(struct cli *cli, struct standin_arguments *arguments,
             const char *name, struct standin **standins, char *why,
             size_t why_bytes)
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
        err = standin_new(uv_default_loop(), cli, &arguments->options,
                          &standins[i], why, why_bytes);
    }
    return err;
}

int
standin_main(struct cli *cli, int argc, char **argv)
{
    struct standin_arguments arguments = {.copies = 0};
    const char *args[1] = {NULL};
    struct cli_parser parser = {
        .cli = cli,
        .schema = &CHANGE_TARGET_SCHEMA,
        .record = &arguments.options.target,
        .skip_fields = SKIPPED_FIELDS,
        .usage = "NAME",
        .doc =
            "Runs a stand-in target, which announces itself and simulates "
            "tasks: each runs for the time in its payload, {\"run_ms\": N}. "
            "Requests are echoed, except that POST /price replies with the "
            "price of a bundle and /stats with counts. After SIGTERM the "
            "target accepts no new work and exits when it is idle; a second "
            "SIGTERM ends it immediately.",
        .args = args,
        .max_args = 1,
        .extra_options = OPTIONS,
        .on_extra_option = parse_option,
        .ctx = &arguments};
    struct standin **standins;
    uv_signal_t sigterm;
    char why[200];
    enum fp_err err;

    cli_parse(&parser, argc, argv);
    if (args[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "expected arguments: NAME");
    }
    log_open(false, G_LOG_LEVEL_MESSAGE);
    signal(SIGPIPE, SIG_IGN);
    standins = g_new0(struct standin *, MAX(arguments.copies, 1));
    err = start_copies(cli, &arguments, args[0], standins, why, sizeof(why));
    if (err != FP_OK) {
        g_free(standins);
        return cli_error(err, "%s", why);
    }
    timers_subscribe(standins[0]->timers, LEAVE_TICK_MS, on_leave_tick,
                     standins[0]);
    uv_signal_init(uv_default_loop(), &sigterm);
    sigterm.data = standins[0];
    uv_signal_start(&sigterm, on_signal, SIGTERM);
    uv_run(uv_default_loop(), UV_RUN_DEFAULT);
    for (uint32_t i = 0; i < MAX(arguments.copies, 1); i++) {
        standin_free(standins[i]);
    }
    g_free(standins);
    return 0;
}

/* route.c -- "bench route": requests through the system against direct calls,
 * and the choice among instances in virtual time
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "core/route.h"
#include "node/clock.h"
#include "node/fetch.h"

#define BODY "{\"bundle\":[{\"stick\":\"myrrh\",\"count\":20}]}"
#define CHUNK 200u /* direct calls and calls through the system take turns */

struct route_options {
    char queue[64];
    char direct[64];
    uint32_t requests;
    uint32_t concurrency;
    bool choices;
};

/* One way to call the target: directly, or through the system's hosts. */
struct way {
    const char *name;
    GPtrArray *urls;
    GArray *latencies; /* uint64_t, us */
    uint64_t bad;
    uint64_t busy_us; /* time in which this way was used */
};

struct client {
    struct fetcher *fetcher;
    uv_loop_t loop;
    const struct cli *cli;
    const struct route_options *options;
    struct way *way;
    uint32_t left;
    uint32_t next_url;
};

struct pending {
    struct client *client;
    uint64_t began_us;
};

static void send_one(struct client *client);

static void
on_done(void *ctx, const struct fetch_response *answer)
{
    struct pending *pending = ctx;
    struct client *client = pending->client;
    uint64_t took_us = clock_mono_us() - pending->began_us;

    g_free(pending);
    if (answer->err != FP_OK || answer->status != 200) {
        client->way->bad++;
    }
    g_array_append_val(client->way->latencies, took_us);
    send_one(client);
    if (client->left == 0 && fetcher_in_flight(client->fetcher) == 0) {
        uv_stop(&client->loop);
    }
}

static void
send_one(struct client *client)
{
    struct way *way = client->way;
    struct pending *pending;
    struct fetch_request request = {
        .method = "POST",
        .content_type = "application/json",
        .bearer_token = client->cli->key,
        .body = BODY,
        .body_bytes = strlen(BODY),
        .timeout_ms = 10000,
        .response_max_bytes = 65536,
    };

    if (client->left == 0) {
        return;
    }
    client->left--;
    pending = g_new0(struct pending, 1);
    pending->client = client;
    pending->began_us = clock_mono_us();
    request.url = way->urls->pdata[client->next_url++ % way->urls->len];
    fetch(client->fetcher, &request, on_done, pending);
}

static void
run_chunk(struct client *client, struct way *way, uint32_t count)
{
    uint64_t began_us = clock_mono_us();

    client->way = way;
    client->left = count;
    for (uint32_t i = 0; i < client->options->concurrency; i++) {
        send_one(client);
    }
    uv_run(&client->loop, UV_RUN_DEFAULT);
    way->busy_us += clock_mono_us() - began_us;
}

static int
compare_u64(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

static json_t *
summary(struct way *way)
{
    uint32_t count = way->latencies->len;

    g_array_sort(way->latencies, compare_u64);
    return json_pack(
        "{s:s,s:i,s:I,s:f,s:I,s:I,s:I}", "way", way->name, "requests", count,
        "bad", (json_int_t)way->bad, "requests_per_s",
        (double)count * 1e6 / (double)way->busy_us, "p50_us",
        (json_int_t)g_array_index(way->latencies, uint64_t, count / 2),
        "p99_us",
        (json_int_t)g_array_index(way->latencies, uint64_t, count * 99 / 100),
        "max_us",
        (json_int_t)g_array_index(way->latencies, uint64_t, count - 1));
}

static void
make_way(struct way *way, const char *name)
{
    way->name = name;
    way->urls = g_ptr_array_new_with_free_func(g_free);
    way->latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void
free_way(struct way *way)
{
    g_ptr_array_free(way->urls, TRUE);
    g_array_free(way->latencies, TRUE);
}

static json_t *
run_calls(const struct cli *cli, const struct route_options *options)
{
    struct client *client = g_new0(struct client, 1);
    struct way direct = {.bad = 0};
    struct way system = {.bad = 0};
    char **hosts = cli_split_hosts(cli);
    json_t *results = json_array();

    client->cli = cli;
    client->options = options;
    uv_loop_init(&client->loop);
    client->fetcher = fetcher_new(&client->loop);
    make_way(&direct, "direct");
    make_way(&system, "through filbertpath");
    g_ptr_array_add(direct.urls,
                    g_strdup_printf("http://%s/price", options->direct));
    for (char **host = hosts; *host != NULL; host++) {
        g_ptr_array_add(system.urls, g_strdup_printf("http://%s/call/%s/price",
                                                     *host, options->queue));
    }
    for (uint32_t done = 0; done < options->requests; done += CHUNK) {
        run_chunk(client, &direct, CHUNK);
        run_chunk(client, &system, CHUNK);
    }
    json_array_append_new(results, summary(&direct));
    json_array_append_new(results, summary(&system));
    g_strfreev(hosts);
    free_way(&direct);
    free_way(&system);
    fetcher_free(client->fetcher);
    return results;
}

/* The choice among instances, in virtual time: twelve instances of which one
 * is five times slower and one refuses connections half of the time.
 */

#define INSTANCES 12u
#define CALLS 40000u
#define MEAN_MS 40.0
#define SLOW_FACTOR 5.0

struct virtual_call {
    struct router_call call; /* first member */
    uint64_t came_ms;
    uint64_t ends_ms;
    bool connected;
};

struct choosing {
    struct router *route;
    GRand *work; /* alike for each choice */
    GSequence *ends;
    uint64_t now_ms;
    GArray *latencies; /* uint64_t, ms */
    uint64_t refused;
    uint64_t failed;
};

static gint
by_end(gconstpointer a, gconstpointer b, gpointer ctx)
{
    uint64_t x = ((const struct virtual_call *)a)->ends_ms;
    uint64_t y = ((const struct virtual_call *)b)->ends_ms;

    (void)ctx;
    return x < y ? -1 : x > y;
}

static bool
on_send(void *ctx, struct router_call *call, const char *target,
        const char *address)
{
    struct choosing *choosing = ctx;
    struct virtual_call *one = (struct virtual_call *)call;
    double mean_ms =
        strcmp(target, "t0") == 0 ? MEAN_MS * SLOW_FACTOR : MEAN_MS;
    double took = -mean_ms * log(1.0 - g_rand_double(choosing->work));
    bool refuses = g_rand_double(choosing->work) < 0.5;

    (void)address;
    one->connected = strcmp(target, "t1") != 0 || !refuses;
    one->ends_ms =
        choosing->now_ms + (one->connected ? (uint64_t)took + 1 : 1);
    g_sequence_insert_sorted(choosing->ends, one, by_end, NULL);
    return true;
}

static void
on_refuse(void *ctx, struct router_call *call, enum fp_err err,
          uint32_t retry_after_ms)
{
    struct choosing *choosing = ctx;

    (void)err;
    (void)retry_after_ms;
    choosing->refused++;
    g_free(call);
}

static void
end_due(struct choosing *choosing)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(choosing->ends);

    while (!g_sequence_iter_is_end(iter)) {
        struct virtual_call *one = g_sequence_get(iter);
        uint64_t latency;

        if (one->ends_ms > choosing->now_ms) {
            return;
        }
        g_sequence_remove(iter);
        latency = choosing->now_ms - one->came_ms;
        if (one->connected) {
            g_array_append_val(choosing->latencies, latency);
        }
        else {
            choosing->failed++;
        }
        router_complete(choosing->route, &one->call,
                        one->connected ? ROUTER_ANSWERED
                                       : ROUTER_NOT_CONNECTED,
                        choosing->now_ms);
        g_free(one);
        iter = g_sequence_get_begin_iter(choosing->ends);
    }
}

static void
offer_one(struct choosing *choosing)
{
    struct virtual_call *one = g_new0(struct virtual_call, 1);

    g_strlcpy(one->call.service, "s", sizeof(one->call.service));
    g_strlcpy(one->call.team, "t", sizeof(one->call.team));
    one->came_ms = choosing->now_ms;
    one->call.deadline_ms = choosing->now_ms + 5000;
    router_submit(choosing->route, &one->call, choosing->now_ms);
}

/* Seven tenths of what twelve good instances could do in a millisecond. */
static uint32_t
offer_due(struct choosing *choosing)
{
    double due = 0.7 * INSTANCES * DEFAULT_SLOTS / MEAN_MS;
    uint32_t whole = (uint32_t)due;
    uint32_t count =
        whole + (g_rand_double(choosing->work) < due - whole ? 1 : 0);

    for (uint32_t i = 0; i < count; i++) {
        offer_one(choosing);
    }
    return count;
}

static json_t *
run_choice(enum router_policy choice, const char *name)
{
    struct choosing *choosing = g_new0(struct choosing, 1);
    const struct router_ops ops = {on_send, on_refuse, choosing};
    uint32_t offered = 0;
    uint32_t count;
    json_t *result;

    choosing->route = router_new(choice, &ops);
    choosing->work = g_rand_new_with_seed(1);
    choosing->ends = g_sequence_new(NULL);
    choosing->latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (uint32_t i = 0; i < INSTANCES; i++) {
        char target[16];

        snprintf(target, sizeof(target), "t%u", i);
        router_set_instance(choosing->route, target, "s", "127.0.0.1:1",
                            DEFAULT_SLOTS, 0);
    }
    while (offered < CALLS) {
        choosing->now_ms++;
        end_due(choosing);
        router_tick(choosing->route, choosing->now_ms);
        /* Seven tenths of what twelve good instances could do. */
        offered += offer_due(choosing);
    }
    count = choosing->latencies->len;
    g_array_sort(choosing->latencies, compare_u64);
    result = json_pack(
        "{s:s,s:i,s:I,s:I,s:I,s:I}", "choice", name, "answered", count,
        "refused", (json_int_t)choosing->refused, "not_connected",
        (json_int_t)choosing->failed, "p50_ms",
        (json_int_t)g_array_index(choosing->latencies, uint64_t, count / 2),
        "p99_ms",
        (json_int_t)g_array_index(choosing->latencies, uint64_t,
                                  count * 99 / 100));
    g_array_free(choosing->latencies, TRUE);
    g_sequence_foreach(choosing->ends, (GFunc)(void (*)(void))g_free, NULL);
    g_sequence_free(choosing->ends);
    g_rand_free(choosing->work);
    router_free(choosing->route);
    g_free(choosing);
    return result;
}

static json_t *
run_choices(void)
{
    json_t *results = json_array();

    json_array_append_new(results,
                          run_choice(ROUTER_ROUND_ROBIN, "round robin"));
    json_array_append_new(results,
                          run_choice(ROUTER_LEAST_LOADED, "least loaded"));
    json_array_append_new(results,
                          run_choice(ROUTER_EXPECTED_LATENCY, "expected"));
    return results;
}

enum {
    KEY_QUEUE = 1024,
    KEY_DIRECT,
    KEY_REQUESTS,
    KEY_CONCURRENCY,
    KEY_CHOICES
};

static const struct argp_option MORE[] = {
    {"queue", KEY_QUEUE, "NAME", 0, "queue to call (orders)", 2},
    {"direct", KEY_DIRECT, "IP:PORT", 0, "the target itself", 2},
    {"requests", KEY_REQUESTS, "N", 0, "each way (20000)", 2},
    {"concurrency", KEY_CONCURRENCY, "N", 0, "requests at once (4)", 2},
    {"choices", KEY_CHOICES, NULL, 0,
     "compare choices among instances in virtual time instead", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
take_more(void *ctx, int key, const char *arg)
{
    struct route_options *options = ctx;
    uint64_t number;

    switch (key) {
    case KEY_QUEUE:
        g_strlcpy(options->queue, arg, sizeof(options->queue));
        return true;
    case KEY_DIRECT:
        g_strlcpy(options->direct, arg, sizeof(options->direct));
        return true;
    case KEY_CHOICES:
        options->choices = true;
        return true;
    default:
        if (!g_ascii_string_to_unsigned(arg, 10, 1, 10000000, &number, NULL)) {
            return false;
        }
    }
    if (key == KEY_REQUESTS) {
        options->requests = (uint32_t)number;
    }
    else {
        options->concurrency = (uint32_t)number;
    }
    return true;
}

int
bench_route(struct cli *cli, int argc, char **argv)
{
    struct route_options options = {
        .queue = "orders", .requests = 20000, .concurrency = 4};
    struct cli_parser parse = {
        .cli = cli,
        .usage = "",
        .doc = "Calls one target in turn directly and through --hosts, in one "
               "run, with --key; or compares choices among instances.",
        .extra_options = MORE,
        .on_extra_option = take_more,
        .ctx = &options};
    json_t *results;

    cli_parse(&parse, argc, argv);
    if (!options.choices && options.direct[0] == '\0') {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: --direct or --choices");
    }
    results = options.choices ? run_choices() : run_calls(cli, &options);
    cli_print(cli, results);
    json_decref(results);
    return 0;
}

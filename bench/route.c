/* route.c -- "bench route": compares requests through the system with direct
 * requests, and router policies in virtual time
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "core/route.h"
#include "node/clock.h"
#include "node/fetch.h"

#define REQUEST_BODY "{\"bundle\":[{\"stick\":\"myrrh\",\"count\":20}]}"
/* Direct and routed requests alternate after this many. */
#define CHUNK_REQUESTS 200u

struct route_options {
    char queue[64];
    char direct[64];
    uint32_t requests;
    uint32_t concurrency;
    bool compare_policies;
};

/* One way to call the target: directly, or through the system's hosts. */
struct call_path {
    const char *name;
    GPtrArray *urls;      /* used in turn */
    GArray *latencies_us; /* uint64_t */
    uint64_t failed;      /* requests without a response of status 200 */
    uint64_t elapsed_us;  /* total duration of its chunks */
};

/* Closed-loop client: sends the next request after each response. */
struct client {
    struct fetcher *fetcher;
    uv_loop_t loop;
    const struct cli *cli;
    const struct route_options *options;
    struct call_path *path;
    uint32_t remaining; /* requests of the chunk still to be sent */
    uint32_t next_url;
};

struct pending_request {
    struct client *client;
    uint64_t start_us;
};

static void send_next(struct client *client);

static void
on_response(void *ctx, const struct fetch_response *response)
{
    struct pending_request *pending = ctx;
    struct client *client = pending->client;
    uint64_t latency_us = clock_mono_us() - pending->start_us;

    g_free(pending);
    if (response->err != FP_OK || response->status != 200) {
        client->path->failed++;
    }
    g_array_append_val(client->path->latencies_us, latency_us);
    send_next(client);
    if (client->remaining == 0 && fetcher_in_flight(client->fetcher) == 0) {
        uv_stop(&client->loop);
    }
}

static void
send_next(struct client *client)
{
    struct call_path *path = client->path;
    struct pending_request *pending;
    struct fetch_request request = {
        .method = "POST",
        .content_type = "application/json",
        .bearer_token = client->cli->key,
        .body = REQUEST_BODY,
        .body_bytes = strlen(REQUEST_BODY),
        .timeout_ms = 10000,
        .response_max_bytes = 65536,
    };

    if (client->remaining == 0) {
        return;
    }
    client->remaining--;
    pending = g_new0(struct pending_request, 1);
    pending->client = client;
    pending->start_us = clock_mono_us();
    request.url = path->urls->pdata[client->next_url++ % path->urls->len];
    fetch(client->fetcher, &request, on_response, pending);
}

static void
run_chunk(struct client *client, struct call_path *path, uint32_t count)
{
    uint64_t start_us = clock_mono_us();

    client->path = path;
    client->remaining = count;
    for (uint32_t i = 0; i < client->options->concurrency; i++) {
        send_next(client);
    }
    uv_run(&client->loop, UV_RUN_DEFAULT);
    path->elapsed_us += clock_mono_us() - start_us;
}

static int
compare_u64(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

static json_t *
summarize_path(struct call_path *path)
{
    uint32_t count = path->latencies_us->len;

    g_array_sort(path->latencies_us, compare_u64);
    return json_pack(
        "{s:s,s:i,s:I,s:f,s:I,s:I,s:I}", "way", path->name, "requests", count,
        "bad", (json_int_t)path->failed, "requests_per_s",
        (double)count * 1e6 / (double)path->elapsed_us, "p50_us",
        (json_int_t)g_array_index(path->latencies_us, uint64_t, count / 2),
        "p99_us",
        (json_int_t)g_array_index(path->latencies_us, uint64_t,
                                  count * 99 / 100),
        "max_us",
        (json_int_t)g_array_index(path->latencies_us, uint64_t, count - 1));
}

static void
init_path(struct call_path *path, const char *name)
{
    path->name = name;
    path->urls = g_ptr_array_new_with_free_func(g_free);
    path->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void
free_path(struct call_path *path)
{
    g_ptr_array_free(path->urls, TRUE);
    g_array_free(path->latencies_us, TRUE);
}

static json_t *
compare_paths(const struct cli *cli, const struct route_options *options)
{
    struct client *client = g_new0(struct client, 1);
    struct call_path direct = {.failed = 0};
    struct call_path routed = {.failed = 0};
    char **hosts = cli_split_hosts(cli);
    json_t *results = json_array();

    client->cli = cli;
    client->options = options;
    uv_loop_init(&client->loop);
    client->fetcher = fetcher_new(&client->loop);
    init_path(&direct, "direct");
    init_path(&routed, "through filbertpath");
    g_ptr_array_add(direct.urls,
                    g_strdup_printf("http://%s/price", options->direct));
    for (char **host = hosts; *host != NULL; host++) {
        g_ptr_array_add(routed.urls, g_strdup_printf("http://%s/call/%s/price",
                                                     *host, options->queue));
    }
    for (uint32_t done = 0; done < options->requests; done += CHUNK_REQUESTS) {
        run_chunk(client, &direct, CHUNK_REQUESTS);
        run_chunk(client, &routed, CHUNK_REQUESTS);
    }
    json_array_append_new(results, summarize_path(&direct));
    json_array_append_new(results, summarize_path(&routed));
    g_strfreev(hosts);
    free_path(&direct);
    free_path(&routed);
    fetcher_free(client->fetcher);
    return results;
}

/* Router policies in virtual time. Of twelve instances, t0 is five times
 * slower than the others, and t1 refuses half of its connections.
 */

#define INSTANCE_COUNT 12u
#define CALL_COUNT 40000u
#define MEAN_SERVICE_MS 40.0
#define SLOW_FACTOR 5.0

struct simulated_call {
    struct router_call call; /* first: on_send() casts it back */
    uint64_t submitted_ms;
    uint64_t end_ms;
    bool connected;
};

struct router_sim {
    struct router *router;
    GRand *rand;          /* same seed for every policy */
    GSequence *in_flight; /* struct simulated_call, by end_ms */
    uint64_t now_ms;
    GArray *latencies_ms; /* uint64_t */
    uint64_t refused;     /* by the router */
    uint64_t not_connected;
};

static gint
compare_end_times(gconstpointer a, gconstpointer b, gpointer ctx)
{
    uint64_t x = ((const struct simulated_call *)a)->end_ms;
    uint64_t y = ((const struct simulated_call *)b)->end_ms;

    (void)ctx;
    return x < y ? -1 : x > y;
}

static bool
on_send(void *ctx, struct router_call *call, const char *target,
        const char *address)
{
    struct router_sim *sim = ctx;
    struct simulated_call *simulated = (struct simulated_call *)call;
    double mean_service_ms = strcmp(target, "t0") == 0
                                 ? MEAN_SERVICE_MS * SLOW_FACTOR
                                 : MEAN_SERVICE_MS;
    double service_ms = -mean_service_ms * log(1.0 - g_rand_double(sim->rand));
    bool refuses_connection = g_rand_double(sim->rand) < 0.5;

    (void)address;
    simulated->connected = strcmp(target, "t1") != 0 || !refuses_connection;
    simulated->end_ms =
        sim->now_ms + (simulated->connected ? (uint64_t)service_ms + 1 : 1);
    g_sequence_insert_sorted(sim->in_flight, simulated, compare_end_times,
                             NULL);
    return true;
}

static void
on_refuse(void *ctx, struct router_call *call, enum fp_err err,
          uint32_t retry_after_ms)
{
    struct router_sim *sim = ctx;

    (void)err;
    (void)retry_after_ms;
    sim->refused++;
    g_free(call);
}

static void
complete_due_calls(struct router_sim *sim)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(sim->in_flight);

    while (!g_sequence_iter_is_end(iter)) {
        struct simulated_call *simulated = g_sequence_get(iter);
        uint64_t latency;

        if (simulated->end_ms > sim->now_ms) {
            return;
        }
        g_sequence_remove(iter);
        latency = sim->now_ms - simulated->submitted_ms;
        if (simulated->connected) {
            g_array_append_val(sim->latencies_ms, latency);
        }
        else {
            sim->not_connected++;
        }
        router_complete(sim->router, &simulated->call,
                        simulated->connected ? ROUTER_ANSWERED
                                             : ROUTER_NOT_CONNECTED,
                        sim->now_ms);
        g_free(simulated);
        iter = g_sequence_get_begin_iter(sim->in_flight);
    }
}

static void
submit_call(struct router_sim *sim)
{
    struct simulated_call *simulated = g_new0(struct simulated_call, 1);

    g_strlcpy(simulated->call.service, "s", sizeof(simulated->call.service));
    g_strlcpy(simulated->call.team, "t", sizeof(simulated->call.team));
    simulated->submitted_ms = sim->now_ms;
    simulated->call.deadline_ms = sim->now_ms + 5000;
    router_submit(sim->router, &simulated->call, sim->now_ms);
}

/* Submits the calls of one millisecond: 70% of the capacity of twelve healthy
 * instances. Returns their number.
 */
static uint32_t
submit_due_calls(struct router_sim *sim)
{
    double calls_per_ms =
        0.7 * INSTANCE_COUNT * DEFAULT_SLOTS / MEAN_SERVICE_MS;
    uint32_t whole_calls = (uint32_t)calls_per_ms;
    uint32_t count =
        whole_calls +
        (g_rand_double(sim->rand) < calls_per_ms - whole_calls ? 1 : 0);

    for (uint32_t i = 0; i < count; i++) {
        submit_call(sim);
    }
    return count;
}

static json_t *
simulate_policy(enum router_policy policy, const char *name)
{
    struct router_sim *sim = g_new0(struct router_sim, 1);
    const struct router_ops ops = {on_send, on_refuse, sim};
    uint32_t submitted = 0;
    uint32_t count;
    json_t *result;

    sim->router = router_new(policy, &ops);
    sim->rand = g_rand_new_with_seed(1);
    sim->in_flight = g_sequence_new(NULL);
    sim->latencies_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
        char target[16];

        snprintf(target, sizeof(target), "t%u", i);
        router_set_instance(sim->router, target, "s", "127.0.0.1:1",
                            DEFAULT_SLOTS, 0);
    }
    while (submitted < CALL_COUNT) {
        sim->now_ms++;
        complete_due_calls(sim);
        router_tick(sim->router, sim->now_ms);
        submitted += submit_due_calls(sim);
    }
    count = sim->latencies_ms->len;
    g_array_sort(sim->latencies_ms, compare_u64);
    result = json_pack(
        "{s:s,s:i,s:I,s:I,s:I,s:I}", "choice", name, "answered", count,
        "refused", (json_int_t)sim->refused, "not_connected",
        (json_int_t)sim->not_connected, "p50_ms",
        (json_int_t)g_array_index(sim->latencies_ms, uint64_t, count / 2),
        "p99_ms",
        (json_int_t)g_array_index(sim->latencies_ms, uint64_t,
                                  count * 99 / 100));
    g_array_free(sim->latencies_ms, TRUE);
    g_sequence_foreach(sim->in_flight, (GFunc)(void (*)(void))g_free, NULL);
    g_sequence_free(sim->in_flight);
    g_rand_free(sim->rand);
    router_free(sim->router);
    g_free(sim);
    return result;
}

static json_t *
simulate_policies(void)
{
    json_t *results = json_array();

    json_array_append_new(results,
                          simulate_policy(ROUTER_ROUND_ROBIN, "round robin"));
    json_array_append_new(
        results, simulate_policy(ROUTER_LEAST_LOADED, "least loaded"));
    json_array_append_new(
        results, simulate_policy(ROUTER_EXPECTED_LATENCY, "expected"));
    return results;
}

enum {
    KEY_QUEUE = 1024,
    KEY_DIRECT,
    KEY_REQUESTS,
    KEY_CONCURRENCY,
    KEY_CHOICES
};

static const struct argp_option OPTIONS[] = {
    {"queue", KEY_QUEUE, "NAME", 0, "queue to call (default: orders)", 2},
    {"direct", KEY_DIRECT, "IP:PORT", 0,
     "address of the target, for direct requests", 2},
    {"requests", KEY_REQUESTS, "N", 0,
     "requests on each path, in multiples of 200 (default: 20000)", 2},
    {"concurrency", KEY_CONCURRENCY, "N", 0,
     "concurrent requests (default: 4)", 2},
    {"choices", KEY_CHOICES, NULL, 0,
     "compare router policies in virtual time instead", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
parse_option(void *ctx, int key, const char *arg)
{
    struct route_options *options = ctx;
    uint64_t value;

    switch (key) {
    case KEY_QUEUE:
        g_strlcpy(options->queue, arg, sizeof(options->queue));
        return true;
    case KEY_DIRECT:
        g_strlcpy(options->direct, arg, sizeof(options->direct));
        return true;
    case KEY_CHOICES:
        options->compare_policies = true;
        return true;
    default:
        if (!g_ascii_string_to_unsigned(arg, 10, 1, 10000000, &value, NULL)) {
            return false;
        }
    }
    if (key == KEY_REQUESTS) {
        options->requests = (uint32_t)value;
    }
    else {
        options->concurrency = (uint32_t)value;
    }
    return true;
}

int
bench_route(struct cli *cli, int argc, char **argv)
{
    struct route_options options = {
        .queue = "orders", .requests = 20000, .concurrency = 4};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "",
        .doc =
            "Sends requests to one target, alternately directly and "
            "through --hosts with --key, and reports the latencies of both; "
            "or compares router policies.",
        .extra_options = OPTIONS,
        .on_extra_option = parse_option,
        .ctx = &options};
    json_t *results;

    cli_parse(&parser, argc, argv);
    if (!options.compare_policies && options.direct[0] == '\0') {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "missing option: --direct or --choices");
    }
    results = options.compare_policies ? simulate_policies()
                                       : compare_paths(cli, &options);
    cli_print(cli, results);
    json_decref(results);
    return 0;
}

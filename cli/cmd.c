/* cmd.c -- subcommands that change the system's state */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "cli/cli.h"
#include "core/change.h"
#include "node/clock.h"
#include "node/keys.h"
#include "platform/platform.h"

/* The longest freshness lease, 2500 ms (see fresh_ms in node/settings.h), plus
 * a margin.
 */
#define IN_FORCE_TIMEOUT_MS 2600u
#define BODY_MAX_BYTES (1024 * 1024)
#define KEY_WAIT 1024

/* Fields that cannot be set by an option. */
static const char *const CANCEL_SKIPPED_FIELDS[] = {
    "at_ms", "name", "remove", "hash", "withdrawn", "team", NULL};
static const char *const CONFIG_SKIPPED_FIELDS[] = {"at_ms", "name", "remove",
                                                    NULL};
static const char *const SUBMIT_SKIPPED_FIELDS[] = {
    "at_ms", "queue", "team", "kind", "id", "submitted_ms", "payload", NULL};

static const struct argp_option WAIT_OPTIONS[] = {
    {"wait", KEY_WAIT, NULL, 0,
     "wait until the change is in force on every host", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
on_wait_option(void *ctx, int key, const char *arg)
{
    (void)arg;
    *(bool *)ctx = key == KEY_WAIT;
    return key == KEY_WAIT;
}

/* Whether a change is in force on a host: the host has applied the change, or
 * the longest freshness lease has passed since start_ms. A host that has not
 * applied the change by then holds no lease, and acts on no configuration.
 */
static bool
is_in_force(const struct cli *cli, const char *host, json_int_t version,
            uint64_t start_ms)
{
    struct cli_answer answer;
    bool applied;

    cli_request_host(cli, host, "GET", "/v1/status", NULL, &answer);
    applied = answer.err == FP_OK &&
              json_integer_value(
                  json_object_get(answer.body, "applied_index")) >= version;
    cli_answer_free(&answer);
    return applied || clock_mono_ms() >= start_ms + IN_FORCE_TIMEOUT_MS;
}

static void
wait_in_force(const struct cli *cli, json_int_t version)
{
    char **hosts = cli_split_hosts(cli);
    uint64_t start_ms = clock_mono_ms();
    struct cli probe = *cli;

    probe.timeout_ms = 300;
    for (char **host = hosts; *host != NULL; host++) {
        while (!is_in_force(&probe, *host, version, start_ms)) {
            g_usleep(20000);
        }
    }
    g_strfreev(hosts);
}

/* Sends a change and prints the answer; if wait is set, only once the change
 * is in force on every host. Takes over the reference to body. Returns the
 * exit code.
 */
static int
send_change(const struct cli *cli, const char *path, json_t *body, bool wait)
{
    struct cli_answer answer;
    int exit_code = 0;

    cli_request(cli, "POST", path, body, true, &answer);
    json_decref(body);
    if (answer.err != FP_OK) {
        exit_code = cli_answer_error(cli, &answer);
    }
    else {
        if (wait) {
            wait_in_force(cli, json_integer_value(
                                   json_object_get(answer.body, "version")));
        }
        cli_print(cli, answer.body);
    }
    cli_answer_free(&answer);
    return exit_code;
}

/* Returns a record as JSON, without at_ms, which the system sets. */
static json_t *
record_body(const struct fp_schema *schema, const void *record)
{
    json_t *body = fp_to_json(schema, record);

    json_object_del(body, "at_ms");
    return body;
}

/* Reads the current object of this name into the record, so that "set" changes
 * only the fields given as options. check_version is set, so that the change
 * is refused if the object has changed since. If there is no such object, the
 * record is left as it is and FP_OK returned.
 */
static enum fp_err
load_current(const struct cli *cli, const struct fp_schema *schema,
             const char *name, void *record, struct cli_answer *answer)
{
    char path[64];
    char why[200];
    size_t index;
    json_t *object;

    snprintf(path, sizeof(path), "/v1/config/%s", schema->name);
    cli_request(cli, "GET", path, NULL, true, answer);
    if (answer->err != FP_OK) {
        return answer->err;
    }
    json_array_foreach(answer->body, index, object)
    {
        const char *object_name =
            json_string_value(json_object_get(object, "name"));

        if (object_name != NULL && strcmp(object_name, name) == 0) {
            json_object_set_new(object, "check_version", json_true());
            return fp_from_json(schema, object, record, why, sizeof(why));
        }
    }
    return FP_OK;
}

static enum fp_err
set_name(const struct fp_schema *schema, void *record, const char *name)
{
    char why[200];

    for (uint32_t i = 0; i < schema->field_count; i++) {
        if (strcmp(schema->fields[i].name, "name") == 0) {
            return fp_set_field(&schema->fields[i], record, name, why,
                                sizeof(why));
        }
    }
    return FP_ERR_INTERNAL;
}

static int
send_config(const struct cli *cli, const struct fp_schema *schema,
            void *record, const char *const *args, bool wait)
{
    json_t *body;
    char path[64];

    if (set_name(schema, record, args[1]) != FP_OK) {
        return cli_error(FP_ERR_BAD_REQUEST, "name '%s' is too long", args[1]);
    }
    cli_ensure_change_id(((struct change_head *)record)->change_id,
                         NAME_BYTES);
    body = record_body(schema, record);
    if (strcmp(args[0], "remove") == 0) {
        json_object_set_new(body, "remove", json_true());
    }
    snprintf(path, sizeof(path), "/v1/config/%s", schema->name);
    return send_change(cli, path, body, wait);
}

/* Runs "KIND set NAME --field VALUE ..." and "KIND remove NAME". The command
 * line is parsed twice: first for NAME, then to change the current object of
 * that name.
 */
static int
run_config(struct cli *cli, const struct fp_schema *schema, const char *doc,
           int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    bool wait = false;
    char *record = g_malloc0(schema->size_bytes);
    struct cli_answer answer = {.err = FP_OK};
    struct cli_parser parser = {.cli = cli,
                                .schema = schema,
                                .record = record,
                                .skip_fields = CONFIG_SKIPPED_FIELDS,
                                .usage = "set|remove NAME",
                                .doc = doc,
                                .args = args,
                                .max_args = 2,
                                .extra_options = WAIT_OPTIONS,
                                .on_extra_option = on_wait_option,
                                .ctx = &wait};
    int exit_code;

    cli_parse(&parser, argc, argv);
    if (parser.arg_count != 2 ||
        (strcmp(args[0], "set") != 0 && strcmp(args[0], "remove") != 0)) {
        g_free(record);
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: set NAME, or remove NAME");
    }
    memset(record, 0, schema->size_bytes);
    if (load_current(cli, schema, args[1], record, &answer) != FP_OK) {
        exit_code = cli_answer_error(cli, &answer);
    }
    else {
        parser.arg_count = 0;
        cli_parse(&parser, argc, argv);
        exit_code = send_config(cli, schema, record, args, wait);
    }
    cli_answer_free(&answer);
    fp_record_free(schema, record);
    g_free(record);
    return exit_code;
}

static int
run_team(struct cli *cli, int argc, char **argv)
{
    return run_config(cli, &CHANGE_TEAM_SCHEMA,
                      "Creates, changes or removes a team: its share when the "
                      "cell is full, and its limits.",
                      argc, argv);
}

static int
run_queue(struct cli *cli, int argc, char **argv)
{
    return run_config(
        cli, &CHANGE_QUEUE_SCHEMA,
        "Creates, changes or removes a queue, which accepts work "
        "and sets its scheduling policy.",
        argc, argv);
}

static int
run_hours(struct cli *cli, int argc, char **argv)
{
    return run_config(cli, &CHANGE_QUIET_HOURS_SCHEMA,
                      "Creates, changes or removes a quiet-hours rule.", argc,
                      argv);
}

static int
run_key(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    bool wait = false;
    struct change_key change = {.withdrawn = false};
    struct cli_parser parser = {
        .cli = cli,
        .schema = &CHANGE_KEY_SCHEMA,
        .record = &change,
        .skip_fields = CONFIG_SKIPPED_FIELDS,
        .usage = "add|withdraw NAME",
        .doc = "Creates an API key for a team, or withdraws it. The secret of "
               "a new key is printed once; the system stores only its hash.",
        .args = args,
        .max_args = 2,
        .extra_options = WAIT_OPTIONS,
        .on_extra_option = on_wait_option,
        .ctx = &wait};

    cli_parse(&parser, argc, argv);
    if (parser.arg_count != 2 ||
        (strcmp(args[0], "add") != 0 && strcmp(args[0], "withdraw") != 0)) {
        return cli_error(
            FP_ERR_BAD_REQUEST,
            "expected arguments: add NAME --team TEAM, or withdraw NAME");
    }
    g_strlcpy(change.name, args[1], sizeof(change.name));
    change.withdrawn = args[0][0] == 'w';
    cli_ensure_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/key",
                       record_body(&CHANGE_KEY_SCHEMA, &change), wait);
}

static int
run_labels(struct cli *cli, int argc, char **argv)
{
    const char *args[1] = {NULL};
    bool wait = false;
    struct change_labels change = {.version = 0};
    struct cli_parser parser = {.cli = cli,
                                .schema = &CHANGE_LABELS_SCHEMA,
                                .record = &change,
                                .skip_fields = CONFIG_SKIPPED_FIELDS,
                                .usage = "TARGET",
                                .doc =
                                    "Sets the operator's labels of a target.",
                                .args = args,
                                .max_args = 1,
                                .extra_options = WAIT_OPTIONS,
                                .on_extra_option = on_wait_option,
                                .ctx = &wait};

    cli_parse(&parser, argc, argv);
    if (parser.arg_count != 1) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: TARGET --labels LABELS");
    }
    g_strlcpy(change.target, args[0], sizeof(change.target));
    cli_ensure_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/labels",
                       record_body(&CHANGE_LABELS_SCHEMA, &change), wait);
}

static int
run_target(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    bool wait = false;
    struct change_target_state change = {.run_id = 0};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "leave|return NAME",
        .doc = "Takes a target out of service, or returns it. Out of service "
               "it gets no new work; running work continues.",
        .args = args,
        .max_args = 2,
        .extra_options = WAIT_OPTIONS,
        .on_extra_option = on_wait_option,
        .ctx = &wait};

    cli_parse(&parser, argc, argv);
    if (parser.arg_count != 2 ||
        (strcmp(args[0], "leave") != 0 && strcmp(args[0], "return") != 0)) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: leave NAME, or return NAME");
    }
    g_strlcpy(change.name, args[1], sizeof(change.name));
    change.state = args[0][0] == 'l' ? TARGET_LEAVING : TARGET_UP;
    cli_ensure_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/target-state",
                       record_body(&CHANGE_TARGET_STATE_SCHEMA, &change),
                       wait);
}

/* Returns a copy of the PAYLOAD argument, or for "-" what standard input
 * holds, up to BODY_MAX_BYTES. The caller frees it.
 */
static char *
read_payload(const char *arg)
{
    char *text;
    size_t used;

    if (strcmp(arg, "-") != 0) {
        return g_strdup(arg);
    }
    text = g_malloc0(BODY_MAX_BYTES + 1);
    used = fread(text, 1, BODY_MAX_BYTES, stdin);
    text[used] = '\0';
    return text;
}

static int
run_submit(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    struct change_submit change = {.count = 0};
    struct cli_parser parser = {
        .cli = cli,
        .schema = &CHANGE_SUBMIT_SCHEMA,
        .record = &change,
        .skip_fields = SUBMIT_SKIPPED_FIELDS,
        .usage = "QUEUE [PAYLOAD|-]",
        .doc = "Submits a job of one or more tasks and prints its ID. "
               "Submitting again with the same --change-id creates no second "
               "job.",
        .args = args,
        .max_args = 2};
    char *payload;
    json_t *body;

    cli_parse(&parser, argc, argv);
    if (parser.arg_count < 1) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: QUEUE [PAYLOAD]");
    }
    cli_ensure_change_id(change.head.change_id, NAME_BYTES);
    g_strlcpy(change.queue, args[0], sizeof(change.queue));
    body = record_body(&CHANGE_SUBMIT_SCHEMA, &change);
    if (args[1] != NULL) {
        payload = read_payload(args[1]);
        json_object_set_new(body, "payload", json_string(payload));
        g_free(payload);
    }
    fp_record_free(&CHANGE_SUBMIT_SCHEMA, &change);
    return send_change(cli, "/v1/jobs", body, false);
}

static int
run_cancel(struct cli *cli, int argc, char **argv)
{
    const char *args[1] = {NULL};
    struct change_cancel change = {.id = 0};
    struct cli_parser parser = {
        .cli = cli,
        .schema = &CHANGE_CANCEL_SCHEMA,
        .record = &change,
        .skip_fields = CANCEL_SKIPPED_FIELDS,
        .usage = "ID | --queue QUEUE",
        .doc = "Cancels a job, a task, or all work of a queue.",
        .args = args,
        .max_args = 1};
    uint64_t id = 0;

    cli_parse(&parser, argc, argv);
    if (parser.arg_count == 1 &&
        !g_ascii_string_to_unsigned(args[0], 10, 1, INT64_MAX, &id, NULL)) {
        return cli_error(FP_ERR_BAD_REQUEST, "'%s' is not an ID", args[0]);
    }
    if (id == 0 && change.queue[0] == '\0') {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: ID or --queue QUEUE");
    }
    change.id = id;
    cli_ensure_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/cancel",
                       record_body(&CHANGE_CANCEL_SCHEMA, &change), false);
}

/* Orders on data centres of a fleet, at the control addresses of its hosts. */
static int
run_evacuation(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    struct cli_answer answer;
    const char *method = "GET";
    char path[256] = PLATFORM_EVACUATIONS_PATH;
    int count = cli_parse_args(
        cli, "order|withdraw NAME, or list",
        "Evacuates a data centre of a fleet, withdraws that, or lists the "
        "evacuations in force. No run starts in an evacuated data centre; "
        "what runs there is finished, or moved if it would go on for long. "
        "--hosts are the control addresses of the fleet's hosts.",
        args, 2, argc, argv);
    bool lists = count == 1 && strcmp(args[0], "list") == 0;
    int exit_code = 0;

    if (!lists && (count != 2 || (strcmp(args[0], "order") != 0 &&
                                  strcmp(args[0], "withdraw") != 0))) {
        return cli_error(
            FP_ERR_BAD_REQUEST,
            "expected arguments: order NAME, withdraw NAME, or list");
    }
    if (!lists) {
        method = args[0][0] == 'o' ? "POST" : "DELETE";
        snprintf(path, sizeof(path), "%s/%.128s", PLATFORM_EVACUATIONS_PATH,
                 args[1]);
    }
    cli_request(cli, method, path, NULL, true, &answer);
    if (answer.err != FP_OK) {
        exit_code = cli_answer_error(cli, &answer);
    }
    else if (lists) {
        cli_print(cli, json_object_get(answer.body, "evacuations"));
    }
    cli_answer_free(&answer);
    return exit_code;
}

static int
run_init(struct cli *cli, int argc, char **argv)
{
    cli_parse_args(cli, "",
                   "Creates a new cell, with the first of --hosts as its only "
                   "replica. To be run once for each cell.",
                   NULL, 0, argc, argv);
    return send_change(cli, "/v1/init", json_object(), false);
}

/* Interval at which "members add" asks whether the host votes. */
#define MEMBER_POLL_US 50000u

/* Repeats the request to add a host until the leader says that it votes. */
static int
add_member(const struct cli *cli, const char *host)
{
    uint64_t deadline_ms = clock_mono_ms() + cli->timeout_ms;
    struct cli_answer answer;
    json_t *body = json_pack("{s:s,s:s}", "action", "add", "host", host);
    bool votes = false;
    bool in_progress = true;
    int exit_code = 0;

    while (in_progress) {
        cli_request(cli, "POST", "/v1/members", body, true, &answer);
        votes =
            answer.err == FP_OK &&
            g_strcmp0(json_string_value(json_object_get(answer.body, "state")),
                      "votes") == 0;
        in_progress = !votes &&
                      (answer.err == FP_OK || answer.err == FP_ERR_BUSY) &&
                      clock_mono_ms() < deadline_ms;
        if (in_progress) {
            cli_answer_free(&answer);
            g_usleep(MEMBER_POLL_US);
        }
    }
    if (votes) {
        cli_print(cli, answer.body);
    }
    else if (answer.err != FP_OK) {
        exit_code = cli_answer_error(cli, &answer);
    }
    else {
        exit_code = cli_error(FP_ERR_DEADLINE_EXCEEDED,
                              "host '%s' does not vote yet", host);
    }
    cli_answer_free(&answer);
    json_decref(body);
    return exit_code;
}

/* Only the leader accepts membership changes. The other hosts refuse them, and
 * cli_request() then tries the next host.
 */
static int
run_members(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};

    if (cli_parse_args(cli, "add|remove HOST",
                       "Adds a host with a data folder to the replicas, or "
                       "removes it. An older replica of the same host is "
                       "removed first; the new one votes once it has caught "
                       "up with the log, for which the command waits.",
                       args, 2, argc, argv) != 2) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: add HOST, or remove HOST");
    }
    if (strcmp(args[0], "add") == 0) {
        return add_member(cli, args[1]);
    }
    return send_change(
        cli, "/v1/members",
        json_pack("{s:s,s:s}", "action", args[0], "host", args[1]), false);
}

static int
run_fault(struct cli *cli, int argc, char **argv)
{
    const char *args[2] = {NULL, NULL};
    bool cut;

    if (cli_parse_args(cli, "cut|mend HOST",
                       "Injects a network fault: the first of --hosts drops "
                       "all messages to and from HOST. Requires the setting "
                       "faults_allowed.",
                       args, 2, argc, argv) != 2 ||
        (strcmp(args[0], "cut") != 0 && strcmp(args[0], "mend") != 0)) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: cut HOST, or mend HOST");
    }
    cut = args[0][0] == 'c';
    return send_change(
        cli, "/v1/fault",
        json_pack("{s:s,s:b,s:b}", "host", args[1], "to", cut, "from", cut),
        false);
}

static int
run_draw(struct cli *cli, int argc, char **argv)
{
    char secret[KEY_SECRET_BYTES];
    char hash[KEY_HASH_BYTES];
    char public_key[41];
    char secret_key[41];
    json_t *body;

    cli_parse_args(cli, "",
                   "Generates a secret and its hash, for operator_key_hash or "
                   "target_key_hash, and a CURVE key pair for a host.",
                   NULL, 0, argc, argv);
    key_generate(secret);
    key_hash_secret(secret, hash);
    zmq_curve_keypair(public_key, secret_key);
    body = json_pack("{s:s,s:s,s:s,s:s}", "secret", secret, "hash", hash,
                     "curve_public_key", public_key, "curve_secret_key",
                     secret_key);
    cli_print(cli, body);
    json_decref(body);
    return 0;
}

const struct cli_command CLI_COMMANDS[] = {
    {"init", "", "create a new cell", run_init},
    {"members", "add|remove HOST", "add or remove a replica", run_members},
    {"team", "set|remove NAME", "share and limits of a team", run_team},
    {"key", "add|withdraw NAME", "keys of a team", run_key},
    {"queue", "set|remove NAME", "a queue and its policy", run_queue},
    {"hours", "set|remove NAME", "a quiet-hours rule", run_hours},
    {"labels", "TARGET", "labels of a target", run_labels},
    {"target", "leave|return NAME", "take a target out of service",
     run_target},
    {"evacuation", "order|withdraw NAME, list",
     "evacuate a data centre of a fleet", run_evacuation},
    {"submit", "QUEUE [PAYLOAD]", "submit a job", run_submit},
    {"cancel", "ID", "cancel a job or a task", run_cancel},
    {"fault", "cut|mend HOST", "cut or restore a link, for tests", run_fault},
    {"draw", "", "generate a secret and a key pair", run_draw},
    {NULL, NULL, NULL, NULL},
};

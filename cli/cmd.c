/* cmd.c -- subcommands that change something */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "cli/cli.h"
#include "core/change.h"
#include "node/clock.h"
#include "node/keys.h"

#define IN_FORCE_MS 2600u /* longest freshness lease and a little */
#define BODY_MAX_BYTES (1024 * 1024)
#define KEY_WAIT 1024

static const char *const SYSTEM_FIELDS[] = {
    "at_ms", "name", "remove", "hash", "withdrawn", "team", NULL};
static const char *const CONFIG_FIELDS[] = {"at_ms", "name", "remove", NULL};
static const char *const JOB_FIELDS[] = {
    "at_ms", "queue", "team", "kind", "id", "submitted_ms", "payload", NULL};

static const struct argp_option WAIT_OPTION[] = {
    {"wait", KEY_WAIT, NULL, 0,
     "return once the change is in force on every host", 2},
    {NULL, 0, NULL, 0, NULL, 0}};

static bool
take_wait(void *ctx, int key, const char *arg)
{
    (void)arg;
    *(bool *)ctx = key == KEY_WAIT;
    return key == KEY_WAIT;
}

/* A host has the change, or has been silent for longer than any freshness
 * lease lasts and so acts on nothing.
 */
static bool
host_has(const struct cli *cli, const char *host, json_int_t version,
         uint64_t began_ms)
{
    struct cli_answer answer;
    bool has;

    cli_request_host(cli, host, "GET", "/v1/status", NULL, &answer);
    has = answer.err == FP_OK &&
          json_integer_value(json_object_get(answer.body, "applied_index")) >=
              version;
    cli_answer_free(&answer);
    return has || clock_mono_ms() >= began_ms + IN_FORCE_MS;
}

static void
wait_in_force(const struct cli *cli, json_int_t version)
{
    char **hosts = cli_hosts(cli);
    uint64_t began_ms = clock_mono_ms();
    struct cli brief = *cli;

    brief.timeout_ms = 300;
    for (char **host = hosts; *host != NULL; host++) {
        while (!host_has(&brief, *host, version, began_ms)) {
            g_usleep(20000);
        }
    }
    g_strfreev(hosts);
}

/* Sends a change, prints the answer, waits when asked to. */
static int
send_change(const struct cli *cli, const char *path, json_t *body, bool wait)
{
    struct cli_answer answer;
    int code = 0;

    cli_request(cli, "POST", path, body, true, &answer);
    json_decref(body);
    if (answer.err != FP_OK) {
        code = cli_fail(cli, &answer);
    }
    else {
        if (wait) {
            wait_in_force(cli, json_integer_value(
                                   json_object_get(answer.body, "version")));
        }
        cli_print(cli, answer.body);
    }
    cli_answer_free(&answer);
    return code;
}

/* A record as JSON without what only the system sets. */
static json_t *
record_body(const struct fp_schema *schema, const void *record)
{
    json_t *body = fp_to_json(schema, record);

    json_object_del(body, "at_ms");
    return body;
}

/* Fills the record with the object as it is now, so that "set" changes only
 * the fields that are named; the change then holds only on top of that
 * version. A new object starts from zeros. FP_OK also when there is none.
 */
static enum fp_err
fill_current(const struct cli *cli, const struct fp_schema *schema,
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
        const char *own = json_string_value(json_object_get(object, "name"));

        if (own != NULL && strcmp(own, name) == 0) {
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
            void *record, const char *const *words, bool wait)
{
    json_t *body;
    char path[64];

    if (set_name(schema, record, words[1]) != FP_OK) {
        return cli_error(FP_ERR_BAD_REQUEST, "'%s' is too long", words[1]);
    }
    cli_change_id(((struct change_head *)record)->change_id, NAME_BYTES);
    body = record_body(schema, record);
    if (strcmp(words[0], "remove") == 0) {
        json_object_set_new(body, "remove", json_true());
    }
    snprintf(path, sizeof(path), "/v1/config/%s", schema->name);
    return send_change(cli, path, body, wait);
}

/* "KIND set NAME --field VALUE ..." and "KIND remove NAME". The options are
 * parsed twice: for the name, then onto the object of that name.
 */
static int
run_config(struct cli *cli, const struct fp_schema *schema, const char *doc,
           int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};
    bool wait = false;
    char *record = g_malloc0(schema->size_bytes);
    struct cli_answer answer = {.err = FP_OK};
    struct cli_parse parse = {.cli = cli,
                              .schema = schema,
                              .record = record,
                              .skip = CONFIG_FIELDS,
                              .usage = "set|remove NAME",
                              .doc = doc,
                              .words = words,
                              .max_words = 2,
                              .more = WAIT_OPTION,
                              .take_more = take_wait,
                              .ctx = &wait};
    int code;

    cli_parse(&parse, argc, argv);
    if (parse.word_count != 2 ||
        (strcmp(words[0], "set") != 0 && strcmp(words[0], "remove") != 0)) {
        g_free(record);
        return cli_error(FP_ERR_BAD_REQUEST, "needs: set NAME or remove NAME");
    }
    memset(record, 0, schema->size_bytes);
    if (fill_current(cli, schema, words[1], record, &answer) != FP_OK) {
        code = cli_fail(cli, &answer);
    }
    else {
        parse.word_count = 0;
        cli_parse(&parse, argc, argv);
        code = send_config(cli, schema, record, words, wait);
    }
    cli_answer_free(&answer);
    fp_record_free(schema, record);
    g_free(record);
    return code;
}

static int
run_team(struct cli *cli, int argc, char **argv)
{
    return run_config(cli, &CHANGE_TEAM_SCHEMA,
                      "Creates, changes or removes a team: its share when the "
                      "cell is full and its upper limits.",
                      argc, argv);
}

static int
run_queue(struct cli *cli, int argc, char **argv)
{
    return run_config(cli, &CHANGE_QUEUE_SCHEMA,
                      "Creates, changes or removes a queue: where work comes "
                      "in, and the policy it runs under.",
                      argc, argv);
}

static int
run_hours(struct cli *cli, int argc, char **argv)
{
    return run_config(cli, &CHANGE_QUIET_HOURS_SCHEMA,
                      "Creates, changes or removes a rule of quiet hours.",
                      argc, argv);
}

static int
run_key(struct cli *cli, int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};
    bool wait = false;
    struct change_key change = {.withdrawn = false};
    struct cli_parse parse = {
        .cli = cli,
        .schema = &CHANGE_KEY_SCHEMA,
        .record = &change,
        .skip = CONFIG_FIELDS,
        .usage = "add|withdraw NAME",
        .doc = "Grants a key to a team, or withdraws it. The secret of a "
               "fresh key is printed once; the system keeps its hash.",
        .words = words,
        .max_words = 2,
        .more = WAIT_OPTION,
        .take_more = take_wait,
        .ctx = &wait};

    cli_parse(&parse, argc, argv);
    if (parse.word_count != 2 ||
        (strcmp(words[0], "add") != 0 && strcmp(words[0], "withdraw") != 0)) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "needs: add NAME --team TEAM, or withdraw NAME");
    }
    g_strlcpy(change.name, words[1], sizeof(change.name));
    change.withdrawn = words[0][0] == 'w';
    cli_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/key",
                       record_body(&CHANGE_KEY_SCHEMA, &change), wait);
}

static int
run_labels(struct cli *cli, int argc, char **argv)
{
    const char *words[1] = {NULL};
    bool wait = false;
    struct change_labels change = {.version = 0};
    struct cli_parse parse = {
        .cli = cli,
        .schema = &CHANGE_LABELS_SCHEMA,
        .record = &change,
        .skip = CONFIG_FIELDS,
        .usage = "TARGET",
        .doc = "Sets the labels that an operator gives a target.",
        .words = words,
        .max_words = 1,
        .more = WAIT_OPTION,
        .take_more = take_wait,
        .ctx = &wait};

    cli_parse(&parse, argc, argv);
    if (parse.word_count != 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: TARGET --labels LABELS");
    }
    g_strlcpy(change.target, words[0], sizeof(change.target));
    cli_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/labels",
                       record_body(&CHANGE_LABELS_SCHEMA, &change), wait);
}

static int
run_target(struct cli *cli, int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};
    bool wait = false;
    struct change_target_state change = {.run_id = 0};
    struct cli_parse parse = {
        .cli = cli,
        .usage = "leave|return NAME",
        .doc = "Takes a target out of use: it gets no new work. What runs "
               "there goes on. Or brings it back.",
        .words = words,
        .max_words = 2,
        .more = WAIT_OPTION,
        .take_more = take_wait,
        .ctx = &wait};

    cli_parse(&parse, argc, argv);
    if (parse.word_count != 2 ||
        (strcmp(words[0], "leave") != 0 && strcmp(words[0], "return") != 0)) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: leave|return NAME");
    }
    g_strlcpy(change.name, words[1], sizeof(change.name));
    change.state = words[0][0] == 'l' ? TARGET_LEAVING : TARGET_UP;
    cli_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/config/target-state",
                       record_body(&CHANGE_TARGET_STATE_SCHEMA, &change),
                       wait);
}

/* PAYLOAD, "-" for standard input. */
static char *
read_payload(const char *word)
{
    char *text;
    size_t used;

    if (strcmp(word, "-") != 0) {
        return g_strdup(word);
    }
    text = g_malloc0(BODY_MAX_BYTES + 1);
    used = fread(text, 1, BODY_MAX_BYTES, stdin);
    text[used] = '\0';
    return text;
}

static int
run_submit(struct cli *cli, int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};
    struct change_submit change = {.count = 0};
    struct cli_parse parse = {
        .cli = cli,
        .schema = &CHANGE_SUBMIT_SCHEMA,
        .record = &change,
        .skip = JOB_FIELDS,
        .usage = "QUEUE [PAYLOAD|-]",
        .doc = "Submits a job of one or more tasks. The answer's id names it. "
               "Sent again with the same --change-id it is one job.",
        .words = words,
        .max_words = 2};
    char *payload;
    json_t *body;

    cli_parse(&parse, argc, argv);
    if (parse.word_count < 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: QUEUE [PAYLOAD]");
    }
    cli_change_id(change.head.change_id, NAME_BYTES);
    g_strlcpy(change.queue, words[0], sizeof(change.queue));
    body = record_body(&CHANGE_SUBMIT_SCHEMA, &change);
    if (words[1] != NULL) {
        payload = read_payload(words[1]);
        json_object_set_new(body, "payload", json_string(payload));
        g_free(payload);
    }
    fp_record_free(&CHANGE_SUBMIT_SCHEMA, &change);
    return send_change(cli, "/v1/jobs", body, false);
}

static int
run_cancel(struct cli *cli, int argc, char **argv)
{
    const char *words[1] = {NULL};
    struct change_cancel change = {.id = 0};
    struct cli_parse parse = {
        .cli = cli,
        .schema = &CHANGE_CANCEL_SCHEMA,
        .record = &change,
        .skip = SYSTEM_FIELDS,
        .usage = "ID | --queue QUEUE",
        .doc = "Cancels a job, a task, or all work of a queue.",
        .words = words,
        .max_words = 1};
    uint64_t id = 0;

    cli_parse(&parse, argc, argv);
    if (parse.word_count == 1 &&
        !g_ascii_string_to_unsigned(words[0], 10, 1, INT64_MAX, &id, NULL)) {
        return cli_error(FP_ERR_BAD_REQUEST, "'%s' is not an ID", words[0]);
    }
    if (id == 0 && change.queue[0] == '\0') {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: ID or --queue QUEUE");
    }
    change.id = id;
    cli_change_id(change.head.change_id, NAME_BYTES);
    return send_change(cli, "/v1/cancel",
                       record_body(&CHANGE_CANCEL_SCHEMA, &change), false);
}

static int
run_init(struct cli *cli, int argc, char **argv)
{
    cli_parse_words(cli, "",
                    "Begins a new cell with the first of --hosts as its only "
                    "replica. Once in the life of a cell.",
                    NULL, 0, argc, argv);
    return send_change(cli, "/v1/init", json_object(), false);
}

/* Only the leader changes members, so each host is asked in turn. */
static int
run_members(struct cli *cli, int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};

    if (cli_parse_words(cli, "add|remove HOST",
                        "Adds a host with a data folder to the replicas, or "
                        "removes it. An older identity of the same host goes "
                        "first; the new one votes once it has caught up.",
                        words, 2, argc, argv) != 2) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: add|remove HOST");
    }
    return send_change(
        cli, "/v1/members",
        json_pack("{s:s,s:s}", "action", words[0], "host", words[1]), false);
}

static int
run_fault(struct cli *cli, int argc, char **argv)
{
    const char *words[2] = {NULL, NULL};
    bool cut;

    if (cli_parse_words(cli, "cut|mend HOST",
                        "For drills: the first of --hosts silently drops what "
                        "goes to and comes from HOST. Needs faults_allowed.",
                        words, 2, argc, argv) != 2 ||
        (strcmp(words[0], "cut") != 0 && strcmp(words[0], "mend") != 0)) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: cut|mend HOST");
    }
    cut = words[0][0] == 'c';
    return send_change(
        cli, "/v1/fault",
        json_pack("{s:s,s:b,s:b}", "host", words[1], "to", cut, "from", cut),
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

    cli_parse_words(cli, "",
                    "Draws a secret with its hash, for operator_key_hash and "
                    "target_key_hash, and a CURVE key pair for a host.",
                    NULL, 0, argc, argv);
    key_draw(secret);
    key_hash(secret, hash);
    zmq_curve_keypair(public_key, secret_key);
    body = json_pack("{s:s,s:s,s:s,s:s}", "secret", secret, "hash", hash,
                     "curve_public_key", public_key, "curve_secret_key",
                     secret_key);
    cli_print(cli, body);
    json_decref(body);
    return 0;
}

const struct cli_command CLI_COMMANDS[] = {
    {"init", "", "begin a new cell", run_init},
    {"members", "add|remove HOST", "change the replicas", run_members},
    {"team", "set|remove NAME", "shares and limits of a team", run_team},
    {"key", "add|withdraw NAME", "keys of a team", run_key},
    {"queue", "set|remove NAME", "a queue and its policy", run_queue},
    {"hours", "set|remove NAME", "a rule of quiet hours", run_hours},
    {"labels", "TARGET", "labels of a target", run_labels},
    {"target", "leave|return NAME", "take a target out of use", run_target},
    {"submit", "QUEUE [PAYLOAD]", "submit a job", run_submit},
    {"cancel", "ID", "cancel a job or a task", run_cancel},
    {"fault", "cut|mend HOST", "cut a link, for drills", run_fault},
    {"draw", "", "draw secrets and key pairs", run_draw},
    {NULL, NULL, NULL, NULL},
};

/* query.c -- subcommands that only read */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static int
get(const struct cli *cli, const char *path)
{
    struct cli_answer answer;
    int code = 0;

    cli_request(cli, "GET", path, NULL, true, &answer);
    if (answer.err != FP_OK) {
        code = cli_fail(cli, &answer);
    }
    else if (answer.body != NULL) {
        cli_print(cli, answer.body);
    }
    else {
        fputs(answer.text, stdout);
    }
    cli_answer_free(&answer);
    return code;
}

/* Every host in turn: "which of them is up" is the question. */
static int
run_status(struct cli *cli, int argc, char **argv)
{
    char **hosts;
    int code = fp_err_row(FP_ERR_NETWORK)->exit_code;
    json_t *all = json_array();

    cli_parse_words(cli, "", "Shows the state of each of --hosts.", NULL, 0,
                    argc, argv);
    hosts = cli_hosts(cli);
    for (char **host = hosts; *host != NULL; host++) {
        struct cli_answer answer;

        cli_request_host(cli, *host, "GET", "/v1/status", NULL, &answer);
        if (answer.err == FP_OK) {
            json_array_append(all, answer.body);
            code = 0;
        }
        else {
            json_array_append_new(all, json_pack("{s:s,s:s}", "http", *host,
                                                 "state", "not reached"));
        }
        cli_answer_free(&answer);
    }
    cli_print(cli, all);
    json_decref(all);
    g_strfreev(hosts);
    return code;
}

static int
run_list(struct cli *cli, int argc, char **argv)
{
    const char *words[1] = {""};
    char path[96];

    cli_parse_words(cli, "team|key|queue|hours|targets|jobs",
                    "Lists the objects of one kind.", words, 1, argc, argv);
    if (strcmp(words[0], "targets") == 0 || strcmp(words[0], "jobs") == 0) {
        snprintf(path, sizeof(path), "/v1/%s", words[0]);
    }
    else {
        snprintf(path, sizeof(path), "/v1/config/%.60s", words[0]);
    }
    return get(cli, path);
}

static int
run_by_id(struct cli *cli, const char *route, const char *doc, int argc,
          char **argv)
{
    const char *words[1] = {NULL};
    char path[96];

    if (cli_parse_words(cli, "ID", doc, words, 1, argc, argv) != 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: ID");
    }
    snprintf(path, sizeof(path), "/v1/%s/%.40s", route, words[0]);
    return get(cli, path);
}

static int
run_show(struct cli *cli, int argc, char **argv)
{
    return run_by_id(cli, "jobs", "Shows a job and its tasks.", argc, argv);
}

static int
run_why(struct cli *cli, int argc, char **argv)
{
    return run_by_id(cli, "why",
                     "Tells why a task waits: the first reason, its place and "
                     "an estimate where there is one.",
                     argc, argv);
}

static int
run_dump(struct cli *cli, int argc, char **argv)
{
    cli_parse_words(cli, "", "Dumps the state of the first of --hosts.", NULL,
                    0, argc, argv);
    return get(cli, "/v1/dump");
}

static int
run_metrics(struct cli *cli, int argc, char **argv)
{
    cli_parse_words(cli, "", "Prints the counters of the first of --hosts.",
                    NULL, 0, argc, argv);
    return get(cli, "/v1/metrics");
}

const struct cli_command CLI_QUERIES[] = {
    {"status", "", "state of each host", run_status},
    {"list", "KIND", "teams, keys, queues, hours, targets, jobs", run_list},
    {"show", "JOB", "a job and its tasks", run_show},
    {"why", "TASK", "why a task waits", run_why},
    {"dump", "", "the whole state of a process", run_dump},
    {"metrics", "", "counters", run_metrics},
    {"explain", "ID [FILE...]", "a job's history and cause, from logs",
     explain_main},
    {"events", "", "the table of log events", events_main},
    {NULL, NULL, NULL, NULL},
};

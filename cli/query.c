/* query.c -- subcommands that only read the system's state */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static int
get_and_print(const struct cli *cli, const char *path)
{
    struct cli_answer answer;
    int exit_code = 0;

    cli_request(cli, "GET", path, NULL, true, &answer);
    if (answer.err != FP_OK) {
        exit_code = cli_answer_error(cli, &answer);
    }
    else if (answer.body != NULL) {
        cli_print(cli, answer.body);
    }
    else {
        fputs(answer.text, stdout);
    }
    cli_answer_free(&answer);
    return exit_code;
}

/* Queries every host, to show which of them are up. Fails only if none is. */
static int
run_status(struct cli *cli, int argc, char **argv)
{
    char **hosts;
    int exit_code = fp_err_row(FP_ERR_NETWORK)->exit_code;
    json_t *states = json_array();

    cli_parse_args(cli, "", "Shows the state of each of --hosts.", NULL, 0,
                   argc, argv);
    hosts = cli_split_hosts(cli);
    for (char **host = hosts; *host != NULL; host++) {
        struct cli_answer answer;

        cli_request_host(cli, *host, "GET", "/v1/status", NULL, &answer);
        if (answer.err == FP_OK) {
            json_array_append(states, answer.body);
            exit_code = 0;
        }
        else {
            json_array_append_new(states, json_pack("{s:s,s:s}", "http", *host,
                                                    "state", "not reached"));
        }
        cli_answer_free(&answer);
    }
    cli_print(cli, states);
    json_decref(states);
    g_strfreev(hosts);
    return exit_code;
}

static int
run_list(struct cli *cli, int argc, char **argv)
{
    const char *args[1] = {""};
    char path[96];

    cli_parse_args(cli, "team|key|queue|hours|targets|jobs",
                   "Lists the objects of one kind.", args, 1, argc, argv);
    if (strcmp(args[0], "targets") == 0 || strcmp(args[0], "jobs") == 0) {
        snprintf(path, sizeof(path), "/v1/%s", args[0]);
    }
    else {
        snprintf(path, sizeof(path), "/v1/config/%.60s", args[0]);
    }
    return get_and_print(cli, path);
}

static int
get_by_id(struct cli *cli, const char *route, const char *doc, int argc,
          char **argv)
{
    const char *args[1] = {NULL};
    char path[96];

    if (cli_parse_args(cli, "ID", doc, args, 1, argc, argv) != 1) {
        return cli_error(FP_ERR_BAD_REQUEST, "expected arguments: ID");
    }
    snprintf(path, sizeof(path), "/v1/%s/%.40s", route, args[0]);
    return get_and_print(cli, path);
}

static int
run_show(struct cli *cli, int argc, char **argv)
{
    return get_by_id(cli, "jobs", "Shows a job and its tasks.", argc, argv);
}

static int
run_why(struct cli *cli, int argc, char **argv)
{
    return get_by_id(
        cli, "why",
        "Shows why a task waits: the first reason, its place in the "
        "queue, and the expected wait if there is an estimate.",
        argc, argv);
}

static int
run_dump(struct cli *cli, int argc, char **argv)
{
    cli_parse_args(cli, "",
                   "Prints the internal state of the first of --hosts.", NULL,
                   0, argc, argv);
    return get_and_print(cli, "/v1/dump");
}

static int
run_metrics(struct cli *cli, int argc, char **argv)
{
    cli_parse_args(cli, "", "Prints the metrics of the first of --hosts.",
                   NULL, 0, argc, argv);
    return get_and_print(cli, "/v1/metrics");
}

const struct cli_command CLI_QUERIES[] = {
    {"status", "", "state of each host", run_status},
    {"list", "KIND", "teams, keys, queues, hours, targets, jobs", run_list},
    {"show", "JOB", "a job and its tasks", run_show},
    {"why", "TASK", "why a task waits", run_why},
    {"dump", "", "internal state of a host", run_dump},
    {"metrics", "", "counters", run_metrics},
    {"explain", "ID [FILE...]", "history and outcome of a job, from logs",
     explain_main},
    {"events", "", "the table of log events", events_main},
    {NULL, NULL, NULL, NULL},
};

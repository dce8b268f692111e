/* process.c -- subcommands that are processes of their own */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"
#include "base/log.h"
#include "bench/bench.h"
#include "bench/standin.h"
#include "cli/cli.h"
#include "node/fleetnode.h"
#include "node/serve.h"
#include "platform/platform.h"

static GLogLevelFlags
level_of(const char *name)
{
    if (name == NULL || strcmp(name, "notice") == 0) {
        return G_LOG_LEVEL_MESSAGE;
    }
    if (strcmp(name, "warning") == 0) {
        return G_LOG_LEVEL_WARNING;
    }
    return strcmp(name, "debug") == 0 ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;
}

static int
load(struct cli *cli, const char *doc, int argc, char **argv,
     struct settings **settings)
{
    const char *words[1] = {NULL};
    struct cli_parse parse = {.cli = cli,
                              .usage = "SETTINGS",
                              .doc = doc,
                              .words = words,
                              .max_words = 1};
    char why[700];
    enum fp_err err;

    *settings = NULL;
    cli_parse(&parse, argc, argv);
    if (words[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: SETTINGS, a YAML file");
    }
    err = settings_load(words[0], settings, why, sizeof(why));
    return err == FP_OK ? 0 : cli_error(err, "%s", why);
}

static int
run_serve(struct cli *cli, int argc, char **argv)
{
    struct settings *settings;
    char why[400];
    int code =
        load(cli, "Runs one host until SIGTERM.", argc, argv, &settings);
    enum fp_err err;

    if (settings == NULL) {
        return code;
    }
    log_open(settings->log.format != NULL &&
                 strcmp(settings->log.format, "json") == 0,
             level_of(settings->log.level));
    err = serve_run(settings, why, sizeof(why));
    if (err != FP_OK) {
        code = cli_error(err, "%s", why);
    }
    settings_free(settings);
    return code;
}

/* Names the settings file of a fleet's host where a platform starts it. */
#define SETTINGS_VARIABLE "FILBERTPATH_CONFIG"

static int
run_node(struct cli *cli, int argc, char **argv)
{
    const char *words[1] = {NULL};
    struct cli_parse parse = {
        .cli = cli,
        .usage = "[SETTINGS]",
        .doc = "Runs one host of a fleet until SIGTERM. Without SETTINGS the "
               "file is the one that " SETTINGS_VARIABLE " names.",
        .words = words,
        .max_words = 1};
    struct settings *settings = NULL;
    char why[700];
    enum fp_err err;

    cli_parse(&parse, argc, argv);
    if (words[0] == NULL) {
        words[0] = getenv(SETTINGS_VARIABLE);
    }
    if (words[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST, "needs: SETTINGS, a YAML file");
    }
    err = settings_load(words[0], &settings, why, sizeof(why));
    if (err == FP_OK && settings->fleet == NULL) {
        err = FP_ERR_BAD_REQUEST;
        snprintf(why, sizeof(why), "fleet: is missing in %s", words[0]);
    }
    if (err == FP_OK) {
        event_open(STDOUT_FILENO);
        log_open_events(level_of(settings->log.level));
        err = fleetnode_run(settings, words[0], &PLATFORM_EDGE, why,
                            sizeof(why));
        event_close();
    }
    settings_free(settings);
    return err == FP_OK ? 0 : cli_error(err, "%s", why);
}

static int
run_check(struct cli *cli, int argc, char **argv)
{
    struct settings *settings;
    int code = load(cli, "Checks a settings file without starting anything.",
                    argc, argv, &settings);

    if (settings != NULL) {
        printf("%s: host %s, %u hosts, %s\n", "good", settings->host,
               settings->hosts_count,
               settings->data_folder ? settings->data_folder : "no disk");
        settings_free(settings);
    }
    return code;
}

const struct cli_command CLI_PROCESSES[] = {
    {"serve", "SETTINGS", "run one host", run_serve},
    {"node", "[SETTINGS]", "run one host of a fleet", run_node},
    {"check", "SETTINGS", "check a settings file", run_check},
    {"standin", "NAME", "a stand-in target, for demonstrations and tests",
     standin_main},
    {"bench", "route|log|decide|replay", "measure", bench_main},
    {NULL, NULL, NULL, NULL},
};

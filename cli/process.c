/* process.c -- subcommands that run or check a host, and test tools */
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
parse_log_level(const char *name)
{
    if (name == NULL || strcmp(name, "notice") == 0) {
        return G_LOG_LEVEL_MESSAGE;
    }
    if (strcmp(name, "warning") == 0) {
        return G_LOG_LEVEL_WARNING;
    }
    return strcmp(name, "debug") == 0 ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;
}

/* Parses the command line and loads the settings file that it names. Returns
 * the exit code; *settings is NULL unless it is 0.
 */
static int
load_settings_arg(struct cli *cli, const char *doc, int argc, char **argv,
                  struct settings **settings)
{
    const char *args[1] = {NULL};
    struct cli_parser parser = {.cli = cli,
                                .usage = "SETTINGS",
                                .doc = doc,
                                .args = args,
                                .max_args = 1};
    char why[700];
    enum fp_err err;

    *settings = NULL;
    cli_parse(&parser, argc, argv);
    if (args[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: SETTINGS, a YAML file");
    }
    err = settings_load(args[0], settings, why, sizeof(why));
    return err == FP_OK ? 0 : cli_error(err, "%s", why);
}

static int
run_serve(struct cli *cli, int argc, char **argv)
{
    struct settings *settings;
    char why[400];
    int exit_code = load_settings_arg(cli, "Runs one host until SIGTERM.",
                                      argc, argv, &settings);
    enum fp_err err;

    if (settings == NULL) {
        return exit_code;
    }
    log_open(settings->log.format != NULL &&
                 strcmp(settings->log.format, "json") == 0,
             parse_log_level(settings->log.level));
    err = serve_run(settings, why, sizeof(why));
    if (err != FP_OK) {
        exit_code = cli_error(err, "%s", why);
    }
    settings_free(settings);
    return exit_code;
}

/* Environment variable for the path of the settings file of a fleet's host,
 * for platforms that start the host without arguments.
 */
#define SETTINGS_ENV "FILBERTPATH_CONFIG"

static int
run_node(struct cli *cli, int argc, char **argv)
{
    const char *args[1] = {NULL};
    struct cli_parser parser = {
        .cli = cli,
        .usage = "[SETTINGS]",
        .doc = "Runs one host of a fleet until SIGTERM. SETTINGS defaults to "
               "the value of " SETTINGS_ENV ".",
        .args = args,
        .max_args = 1};
    struct settings *settings = NULL;
    char why[700];
    enum fp_err err;

    cli_parse(&parser, argc, argv);
    if (args[0] == NULL) {
        args[0] = getenv(SETTINGS_ENV);
    }
    if (args[0] == NULL) {
        return cli_error(FP_ERR_BAD_REQUEST,
                         "expected arguments: SETTINGS, a YAML file");
    }
    err = settings_load(args[0], &settings, why, sizeof(why));
    if (err == FP_OK && settings->fleet == NULL) {
        err = FP_ERR_BAD_REQUEST;
        snprintf(why, sizeof(why), "section 'fleet' is missing in %s",
                 args[0]);
    }
    if (err == FP_OK) {
        event_open(STDOUT_FILENO);
        log_open_events(parse_log_level(settings->log.level));
        err =
            fleetnode_run(settings, args[0], &PLATFORM_EDGE, why, sizeof(why));
        event_close();
    }
    settings_free(settings);
    return err == FP_OK ? 0 : cli_error(err, "%s", why);
}

static int
run_check(struct cli *cli, int argc, char **argv)
{
    struct settings *settings;
    int exit_code = load_settings_arg(
        cli, "Checks a settings file without starting anything.", argc, argv,
        &settings);

    if (settings != NULL) {
        printf("%s: host %s, %u hosts, %s\n", "good", settings->host,
               settings->hosts_count,
               settings->data_folder ? settings->data_folder : "no disk");
        settings_free(settings);
    }
    return exit_code;
}

const struct cli_command CLI_PROCESSES[] = {
    {"serve", "SETTINGS", "run one host", run_serve},
    {"node", "[SETTINGS]", "run one host of a fleet", run_node},
    {"check", "SETTINGS", "check a settings file", run_check},
    {"standin", "NAME", "a simulated target, for demonstrations and tests",
     standin_main},
    {"bench", "route|log|decide|replay", "measure", bench_main},
    {NULL, NULL, NULL, NULL},
};

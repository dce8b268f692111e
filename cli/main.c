/* main.c -- finds the subcommand */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define DEFAULT_TIMEOUT_MS 10000u

static const struct cli_command *const TABLES[] = {CLI_PROCESSES, CLI_COMMANDS,
                                                   CLI_QUERIES};
static const char *const TITLES[] = {"Processes", "Commands", "Queries"};

static void
print_overview(FILE *out)
{
    fputs("filbertpath: a cluster scheduler for unlike workloads.\n"
          "Usage: filbertpath SUBCOMMAND [OPTION...]\n"
          "Each subcommand explains itself with --help.\n",
          out);
    for (size_t i = 0; i < sizeof(TABLES) / sizeof(TABLES[0]); i++) {
        fprintf(out, "\n%s:\n", TITLES[i]);
        for (const struct cli_command *at = TABLES[i]; at->name != NULL;
             at++) {
            char left[64];

            snprintf(left, sizeof(left), "%s %s", at->name, at->args);
            fprintf(out, "  %-30s %s\n", left, at->summary);
        }
    }
}

static const struct cli_command *
find(const char *name)
{
    for (size_t i = 0; i < sizeof(TABLES) / sizeof(TABLES[0]); i++) {
        for (const struct cli_command *at = TABLES[i]; at->name != NULL;
             at++) {
            if (strcmp(at->name, name) == 0) {
                return at;
            }
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    struct cli cli = {.timeout_ms = DEFAULT_TIMEOUT_MS};
    const struct cli_command *command;
    char *name;
    int code;

    if (argc < 2 || strcmp(argv[1], "--help") == 0 ||
        strcmp(argv[1], "help") == 0) {
        print_overview(argc < 2 ? stderr : stdout);
        return argc < 2 ? fp_err_row(FP_ERR_BAD_REQUEST)->exit_code : 0;
    }
    if (sodium_init() < 0) {
        return cli_error(FP_ERR_INTERNAL, "no source of random numbers");
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    argp_err_exit_status = fp_err_row(FP_ERR_BAD_REQUEST)->exit_code;
    cli.hosts = getenv("FILBERTPATH_HOSTS");
    cli.key = getenv("FILBERTPATH_KEY");
    command = find(argv[1]);
    if (command == NULL) {
        print_overview(stderr);
        return cli_error(FP_ERR_BAD_REQUEST, "no subcommand '%s'", argv[1]);
    }
    name = g_strdup_printf("filbertpath %s", command->name);
    argv[1] = name;
    code = command->run(&cli, argc - 1, argv + 1);
    g_free(name);
    curl_global_cleanup();
    return code;
}

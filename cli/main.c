/* main.c -- entry point: dispatches to the subcommands */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define DEFAULT_TIMEOUT_MS 10000u

static const struct cli_command *const COMMAND_TABLES[] = {
    CLI_PROCESSES, CLI_COMMANDS, CLI_QUERIES};
static const char *const TABLE_TITLES[] = {"Processes", "Commands", "Queries"};

static void
print_overview(FILE *out)
{
    fputs("filbertpath: a cluster scheduler for mixed workloads.\n"
          "Usage: filbertpath SUBCOMMAND [OPTION...]\n"
          "See filbertpath SUBCOMMAND --help for its options.\n",
          out);
    for (size_t i = 0; i < sizeof(COMMAND_TABLES) / sizeof(COMMAND_TABLES[0]);
         i++) {
        fprintf(out, "\n%s:\n", TABLE_TITLES[i]);
        for (const struct cli_command *command = COMMAND_TABLES[i];
             command->name != NULL; command++) {
            char usage[64];

            snprintf(usage, sizeof(usage), "%s %s", command->name,
                     command->usage);
            fprintf(out, "  %-30s %s\n", usage, command->summary);
        }
    }
}

static const struct cli_command *
find_command(const char *name)
{
    for (size_t i = 0; i < sizeof(COMMAND_TABLES) / sizeof(COMMAND_TABLES[0]);
         i++) {
        for (const struct cli_command *command = COMMAND_TABLES[i];
             command->name != NULL; command++) {
            if (strcmp(command->name, name) == 0) {
                return command;
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
    char *program_name;
    int exit_code;

    if (argc < 2 || strcmp(argv[1], "--help") == 0 ||
        strcmp(argv[1], "help") == 0) {
        print_overview(argc < 2 ? stderr : stdout);
        return argc < 2 ? fp_err_row(FP_ERR_BAD_REQUEST)->exit_code : 0;
    }
    if (sodium_init() < 0) {
        return cli_error(FP_ERR_INTERNAL, "cannot initialise libsodium");
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    argp_err_exit_status = fp_err_row(FP_ERR_BAD_REQUEST)->exit_code;
    cli.hosts = getenv("FILBERTPATH_HOSTS");
    cli.key = getenv("FILBERTPATH_KEY");
    command = find_command(argv[1]);
    if (command == NULL) {
        print_overview(stderr);
        return cli_error(FP_ERR_BAD_REQUEST, "unknown subcommand '%s'",
                         argv[1]);
    }
    program_name = g_strdup_printf("filbertpath %s", command->name);
    argv[1] = program_name;
    exit_code = command->run(&cli, argc - 1, argv + 1);
    g_free(program_name);
    curl_global_cleanup();
    return exit_code;
}

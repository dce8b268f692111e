/* cli.h -- command line: subcommands, options, requests, output
 *
 * The program is one binary with subcommands of three kinds: long-running
 * processes and tools (process.c), commands that change the system's state
 * (cmd.c) and queries (query.c, explain.c).
 */
#ifndef FP_CLI_H
#define FP_CLI_H

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/schema.h"

/* Options common to all subcommands. The strings are not owned. */
struct cli {
    const char *hosts;   /* IP:port,IP:port,...; NULL: 127.0.0.1:7101 */
    const char *key;     /* operator, target or team secret; NULL: none */
    bool json;           /* print answers as JSON */
    bool tls;            /* use https */
    const char *ca;      /* PEM file of trusted certificates, with tls */
    uint32_t timeout_ms; /* of each request; no retry starts after it */
};

/* A row of a table of subcommands. */
struct cli_command {
    const char *name;
    const char *usage;   /* its positional arguments, for the overview */
    const char *summary; /* one line */
    /* Returns the exit code. argv[0] names program and subcommand. */
    int (*run)(struct cli *cli, int argc, char **argv);
};

/* Tables of subcommands, each terminated by a row without a name. */
extern const struct cli_command CLI_COMMANDS[];
extern const struct cli_command CLI_QUERIES[];
extern const struct cli_command CLI_PROCESSES[];

/* The options and positional arguments that a subcommand takes. With a schema,
 * each field with a doc text becomes an option --field VALUE that sets the
 * field in record; lists do not. The caller owns everything.
 */
struct cli_parser {
    struct cli *cli;
    const struct fp_schema *schema; /* NULL: no options for fields */
    void *record;                   /* of the schema */
    const char *const *skip_fields; /* get no option; NULL-terminated */
    const char *usage;              /* positional arguments, as "NAME" */
    const char *doc;                /* what the subcommand does */
    const char **args;              /* out: positional arguments */
    int max_args;                   /* length of args */
    int arg_count;                  /* out: length used; starts at 0 */
    /* Options with keys from 1024 to 4095, terminated by a zeroed row; NULL:
     * none. */
    const struct argp_option *extra_options;
    /* Handles an extra option; false rejects its value. */
    bool (*on_extra_option)(void *ctx, int key, const char *arg);
    void *ctx;
};

/* Parses the command line. An error prints a message and exits with the code
 * of FP_ERR_BAD_REQUEST, and --help exits with 0. Returns true on success.
 */
bool cli_parse(struct cli_parser *parser, int argc, char **argv);

/* Calls cli_parse() for a subcommand with common options only. Returns the
 * number of positional arguments.
 */
int cli_parse_args(struct cli *cli, const char *usage, const char *doc,
                   const char **args, int max_args, int argc, char **argv);

/* The answer to a request. Release it by cli_answer_free(). */
struct cli_answer {
    enum fp_err err; /* FP_OK, or the error that the answer names */
    int status;      /* HTTP status; 0: no complete answer */
    json_t *body;    /* NULL: not JSON */
    char *text;      /* the body as received; NULL with status 0 */
};

/* Sends a request to the hosts in turn, until one answers with success or a
 * final error, or the timeout has passed. Further hosts are tried when there
 * is no answer, when a status 503 promises that the request was not run and
 * may be retried, and, if it is idempotent, when its outcome is unknown. body
 * may be NULL and remains the caller's.
 */
void cli_request(const struct cli *cli, const char *method, const char *path,
                 const json_t *body, bool idempotent,
                 struct cli_answer *answer);
/* Sends a request once, to the given host. */
void cli_request_host(const struct cli *cli, const char *host,
                      const char *method, const char *path, const json_t *body,
                      struct cli_answer *answer);
/* Frees the members and zeroes the answer. */
void cli_answer_free(struct cli_answer *answer);

/* Prints an answer with an error: to stdout as JSON if that was asked for,
 * else to stderr. Returns the exit code of the error.
 */
int cli_answer_error(const struct cli *cli, const struct cli_answer *answer);

/* Prints a one-line message to stderr and returns the exit code of err. */
int cli_error(enum fp_err err, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Sets a random change ID, of 32 hexadecimal digits, if change_id is empty. */
void cli_ensure_change_id(char *change_id, size_t bytes);

/* Prints to stdout. With cli->json: indented JSON. Otherwise an object as
 * lines "name: value" and an array as one line "name=value ..." for each item.
 */
void cli_print(const struct cli *cli, const json_t *body);

/* Subcommands of explain.c. */
int explain_main(struct cli *cli, int argc, char **argv);
int events_main(struct cli *cli, int argc, char **argv);

/* Splits cli->hosts, or the default if it is NULL; at most 64 items. Release
 * the result by g_strfreev().
 */
char **cli_split_hosts(const struct cli *cli);

#endif /* FP_CLI_H */

/* cli.h -- the command line: what commands and queries share
 *
 * One binary, one table of subcommands. Commands change something, queries
 * only read; they live in files of their own (cmd*.c, query.c).
 */
#ifndef FP_CLI_H
#define FP_CLI_H

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/schema.h"

/* Options that every subcommand takes. */
struct cli {
    const char *hosts;   /* IP:port,IP:port of the system's hosts */
    const char *key;     /* secret: operator's, target's or team's */
    bool json;           /* answers as JSON */
    bool tls;            /* https */
    const char *ca;      /* file of trusted certificates, with tls */
    uint32_t timeout_ms; /* for the whole command */
};

struct cli_command {
    const char *name;
    const char *args;    /* what follows, for the overview */
    const char *summary; /* one line */
    int (*run)(struct cli *cli, int argc, char **argv);
};

/* Tables, each ended by a row without a name. */
extern const struct cli_command CLI_COMMANDS[];
extern const struct cli_command CLI_QUERIES[];
extern const struct cli_command CLI_PROCESSES[];

/* Parses the options of one subcommand. With a schema every field becomes an
 * option --field VALUE that fills record; fields named in skip (ended by NULL)
 * do not. Words that are no options go to words, at most max_words; usage
 * names them. Prints what is wrong and returns false, or returns true.
 */
struct cli_parse {
    struct cli *cli;
    const struct fp_schema *schema; /* NULL: only the common options */
    void *record;
    const char *const *skip;
    const char *usage; /* such as "NAME" */
    const char *doc;   /* what the subcommand does */
    const char **words;
    int max_words;
    int word_count;
    const struct argp_option *more; /* further options, or NULL */
    bool (*take_more)(void *ctx, int key, const char *arg);
    void *ctx;
};

bool cli_parse(struct cli_parse *parse, int argc, char **argv);

/* The same for a subcommand without fields; returns how many words came. */
int cli_parse_words(struct cli *cli, const char *usage, const char *doc,
                    const char **words, int max_words, int argc, char **argv);

/* One answer of the system. */
struct cli_answer {
    enum fp_err err; /* FP_OK, or the kind that the answer names */
    int status;      /* 0: no host could be reached */
    json_t *body;    /* NULL when it is not JSON */
    char *text;      /* as it came */
};

/* Sends one request, to one host after the other while that is harmless: no
 * host was reached, the answer says "not run" and to retry, or the request
 * carries a change ID.
 */
void cli_request(const struct cli *cli, const char *method, const char *path,
                 const json_t *body, bool resend, struct cli_answer *answer);
/* The same to just this host. */
void cli_request_host(const struct cli *cli, const char *host,
                      const char *method, const char *path, const json_t *body,
                      struct cli_answer *answer);
void cli_answer_free(struct cli_answer *answer);

/* Prints an error answer and returns its exit code. */
int cli_fail(const struct cli *cli, const struct cli_answer *answer);

/* Prints one line and returns the exit code of err. */
int cli_error(enum fp_err err, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Fills a fresh change ID unless one is given. */
void cli_change_id(char *change_id, size_t bytes);

/* Prints JSON, indented when json is set, else as lines "name: value". */
void cli_print(const struct cli *cli, const json_t *body);

/* explain.c: queries on logs. */
int explain_main(struct cli *cli, int argc, char **argv);
int events_main(struct cli *cli, int argc, char **argv);

/* Splits cli->hosts. Free with g_strfreev(). */
char **cli_hosts(const struct cli *cli);

#endif /* FP_CLI_H */

/* cli.c -- option parsing, requests and output of the subcommands */
#include "cli/cli.h"

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "node/clock.h"

/* First keys of the options for schema fields, and of extra options. */
#define FIELD_KEY_BASE 4096
#define EXTRA_KEY_BASE 1024

#define RETRY_DELAY_US 100000u /* after each round over all hosts */

enum common_key { KEY_HOSTS = 512, KEY_KEY, KEY_JSON, KEY_TIMEOUT, KEY_CA };

static const struct argp_option COMMON_OPTIONS[] = {
    {"hosts", KEY_HOSTS, "LIST", 0,
     "IP:port of the system's hosts, comma-separated (FILBERTPATH_HOSTS)", 90},
    {"key", KEY_KEY, "SECRET", 0, "secret of the API key (FILBERTPATH_KEY)",
     90},
    {"json", KEY_JSON, NULL, 0, "print answers as JSON", 90},
    {"ca", KEY_CA, "FILE", 0,
     "use https; trust the certificates in this PEM file", 90},
    {"timeout-ms", KEY_TIMEOUT, "N", 0, "timeout in milliseconds (10000)", 90},
};
#define COMMON_OPTION_COUNT                                                   \
    (sizeof(COMMON_OPTIONS) / sizeof(COMMON_OPTIONS[0]))

static bool
is_skipped(const struct cli_parser *parser, const char *name)
{
    for (const char *const *field = parser->skip_fields;
         field != NULL && *field != NULL; field++) {
        if (strcmp(*field, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
set_common_option(struct cli *cli, int key, const char *arg)
{
    uint64_t number;

    switch (key) {
    case KEY_HOSTS:
        cli->hosts = arg;
        return true;
    case KEY_KEY:
        cli->key = arg;
        return true;
    case KEY_JSON:
        cli->json = true;
        return true;
    case KEY_CA:
        cli->tls = true;
        cli->ca = arg;
        return true;
    case KEY_TIMEOUT:
        if (!g_ascii_string_to_unsigned(arg, 10, 1, 3600000, &number, NULL)) {
            return false;
        }
        cli->timeout_ms = (uint32_t)number;
        return true;
    default:
        return false;
    }
}

static void
set_field(struct argp_state *state, struct cli_parser *parser, int key,
          const char *arg)
{
    const struct fp_field *field = &parser->schema->fields[key];
    char why[300];

    if (fp_set_field(field, parser->record, arg == NULL ? "true" : arg, why,
                     sizeof(why)) != FP_OK) {
        argp_error(state, "%s", why);
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct cli_parser *parser = state->input;

    if (key >= FIELD_KEY_BASE && key < FIELD_KEY_BASE + 1024) {
        set_field(state, parser, key - FIELD_KEY_BASE, arg);
        return 0;
    }
    if (key >= EXTRA_KEY_BASE && key < FIELD_KEY_BASE) {
        if (!parser->on_extra_option(parser->ctx, key, arg)) {
            argp_error(state, "invalid option value '%s'", arg);
        }
        return 0;
    }
    if (key == ARGP_KEY_ARG) {
        if (parser->arg_count >= parser->max_args) {
            argp_error(state, "unexpected argument '%s'", arg);
        }
        parser->args[parser->arg_count++] = arg;
        return 0;
    }
    if (key >= KEY_HOSTS && key <= KEY_CA) {
        if (!set_common_option(parser->cli, key, arg)) {
            argp_error(state, "'%s' is not from 1 to 3600000", arg);
        }
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

/* Returns the option for a field, with '-' for '_'. The caller frees it. */
static char *
option_name(const char *field)
{
    char *name = g_strdup(field);

    g_strdelimit(name, "_", '-');
    return name;
}

static void
add_field_options(const struct cli_parser *parser, GArray *options,
                  GPtrArray *names)
{
    for (uint32_t i = 0;
         parser->schema != NULL && i < parser->schema->field_count; i++) {
        const struct fp_field *field = &parser->schema->fields[i];
        struct argp_option option = {
            .key = FIELD_KEY_BASE + (int)i, .doc = field->doc, .group = 1};

        if (field->doc == NULL || is_skipped(parser, field->name) ||
            field->kind == FP_LIST) {
            continue;
        }
        g_ptr_array_add(names, option_name(field->name));
        option.name = names->pdata[names->len - 1];
        if (field->kind == FP_BOOL) {
            option.arg = "true|false";
            option.flags = OPTION_ARG_OPTIONAL;
        }
        else {
            option.arg = field->kind == FP_STR || field->kind == FP_BLOB ||
                                 field->kind == FP_ENUM
                             ? "TEXT"
                             : "N";
        }
        g_array_append_val(options, option);
    }
}

bool
cli_parse(struct cli_parser *parser, int argc, char **argv)
{
    GArray *options = g_array_new(TRUE, FALSE, sizeof(struct argp_option));
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    struct argp argp = {NULL, parse_option, parser->usage, parser->doc,
                        NULL, NULL,         NULL};
    error_t rc;

    add_field_options(parser, options, names);
    for (const struct argp_option *option = parser->extra_options;
         option != NULL && option->name != NULL; option++) {
        g_array_append_val(options, *option);
    }
    g_array_append_vals(options, COMMON_OPTIONS, COMMON_OPTION_COUNT);
    argp.options = (struct argp_option *)options->data;
    rc = argp_parse(&argp, argc, argv, 0, NULL, parser);
    g_array_free(options, TRUE);
    g_ptr_array_free(names, TRUE);
    return rc == 0;
}

int
cli_parse_args(struct cli *cli, const char *usage, const char *doc,
               const char **args, int max_args, int argc, char **argv)
{
    struct cli_parser parser = {.cli = cli,
                                .usage = usage,
                                .doc = doc,
                                .args = args,
                                .max_args = max_args};

    cli_parse(&parser, argc, argv);
    return parser.arg_count;
}

char **
cli_split_hosts(const struct cli *cli)
{
    return g_strsplit(cli->hosts == NULL ? "127.0.0.1:7101" : cli->hosts, ",",
                      64);
}

static size_t
on_data(char *data, size_t size, size_t count, void *ctx)
{
    g_string_append_len(ctx, data, (gssize)(size * count));
    return size * count;
}

static void
parse_answer(struct cli_answer *answer, GString *text)
{
    const char *name;

    answer->body = json_loads(text->str, JSON_DECODE_ANY, NULL);
    answer->text = g_string_free(text, FALSE);
    name = json_string_value(json_object_get(answer->body, "error"));
    if (answer->status >= 200 && answer->status < 300) {
        answer->err = FP_OK;
    }
    else {
        answer->err = name == NULL ? FP_ERR_INTERNAL : fp_err_by_name(name);
    }
}

void
cli_request_host(const struct cli *cli, const char *host, const char *method,
                 const char *path, const json_t *body,
                 struct cli_answer *answer)
{
    CURL *curl = curl_easy_init();
    struct curl_slist *headers = NULL;
    GString *text = g_string_new(NULL);
    char *url =
        g_strdup_printf("%s://%s%s", cli->tls ? "https" : "http", host, path);
    char *request_body = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    long status = 0;

    memset(answer, 0, sizeof(*answer));
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)cli->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    if (cli->ca != NULL) {
        curl_easy_setopt(curl, CURLOPT_CAINFO, cli->ca);
    }
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    if (cli->key != NULL) {
        char *header = g_strdup_printf("Authorization: Bearer %s", cli->key);

        headers = curl_slist_append(headers, header);
        g_free(header);
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
                         request_body ? request_body : "");
    }
    else if (strcmp(method, "GET") != 0) {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        answer->status = (int)status;
        parse_answer(answer, text);
    }
    else {
        answer->err = FP_ERR_NETWORK;
        g_string_free(text, TRUE);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    free(request_body);
}

/* Whether the request may be sent again after this answer. */
static bool
may_retry(const struct cli_answer *answer, bool idempotent)
{
    const struct fp_err_row *row = fp_err_row(answer->err);

    if (answer->err == FP_OK) {
        return false;
    }
    if (answer->status == 0) {
        return true; /* no answer; every caller passes idempotent */
    }
    if (answer->err == FP_ERR_UNKNOWN_OUTCOME) {
        return idempotent;
    }
    return answer->status == 503 && row->retryable &&
           row->work_status == FP_NOT_RUN;
}

void
cli_request(const struct cli *cli, const char *method, const char *path,
            const json_t *body, bool idempotent, struct cli_answer *answer)
{
    char **hosts = cli_split_hosts(cli);
    uint64_t deadline_ms = clock_mono_ms() + cli->timeout_ms;
    unsigned count = g_strv_length(hosts);

    for (unsigned i = 0;; i++) {
        cli_request_host(cli, hosts[i % count], method, path, body, answer);
        if (!may_retry(answer, idempotent) || clock_mono_ms() >= deadline_ms) {
            break;
        }
        cli_answer_free(answer);
        if (i % count + 1 == count) {
            g_usleep(RETRY_DELAY_US);
        }
    }
    g_strfreev(hosts);
}

void
cli_answer_free(struct cli_answer *answer)
{
    json_decref(answer->body);
    g_free(answer->text);
    memset(answer, 0, sizeof(*answer));
}

int
cli_answer_error(const struct cli *cli, const struct cli_answer *answer)
{
    const struct fp_err_row *row = fp_err_row(answer->err);
    const char *detail =
        json_string_value(json_object_get(answer->body, "detail"));
    json_int_t version =
        json_integer_value(json_object_get(answer->body, "version"));

    if (cli->json && answer->body != NULL) {
        cli_print(cli, answer->body);
    }
    else {
        fprintf(stderr, "filbertpath: %s (%s): %s\n", row->name,
                fp_work_status_name(row->work_status),
                detail ? detail : row->text);
        if (answer->err == FP_ERR_VERSION_CONFLICT) {
            fprintf(stderr, "filbertpath: the current version is %lld\n",
                    (long long)version);
        }
    }
    return row->exit_code;
}

int
cli_error(enum fp_err err, const char *format, ...)
{
    va_list args;

    fputs("filbertpath: ", stderr);
    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
    return fp_err_row(err)->exit_code;
}

void
cli_ensure_change_id(char *change_id, size_t bytes)
{
    unsigned char random[16];

    if (change_id[0] == '\0' && bytes > 2 * sizeof(random)) {
        randombytes_buf(random, sizeof(random));
        sodium_bin2hex(change_id, bytes, random, sizeof(random));
    }
}

static void
print_value(const json_t *value)
{
    char *text;

    if (json_is_string(value)) {
        printf("%s", json_string_value(value));
        return;
    }
    text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    printf("%s", text);
    free(text);
}

static void
print_object(const json_t *object, int indent)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        printf("%*s%s:", indent, "", name);
        if (json_is_object(value) && json_object_size(value) > 0) {
            putchar('\n');
            print_object(value, indent + 2);
            continue;
        }
        putchar(' ');
        print_value(value);
        putchar('\n');
    }
}

/* Prints an object as one line, without its empty, zero and false members. */
static void
print_row(const json_t *row)
{
    const char *name;
    json_t *value;
    bool first = true;

    json_object_foreach((json_t *)row, name, value)
    {
        if ((json_is_string(value) && json_string_length(value) == 0) ||
            (json_is_integer(value) && json_integer_value(value) == 0) ||
            json_is_false(value)) {
            continue;
        }
        printf("%s%s=", first ? "" : " ", name);
        print_value(value);
        first = false;
    }
    putchar('\n');
}

void
cli_print(const struct cli *cli, const json_t *body)
{
    size_t index;
    json_t *row;

    if (cli->json) {
        json_dumpf(body, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
        putchar('\n');
        return;
    }
    if (json_is_array(body)) {
        json_array_foreach((json_t *)body, index, row)
        {
            print_row(row);
        }
        return;
    }
    print_object(body, 0);
}

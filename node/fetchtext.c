/* fetchtext.c -- HTTP/1.1 requests as text, and URLs of numeric addresses */
#include "node/fetchtext.h"

#include <string.h>
#include <uv.h>

static bool
has_line_break(const char *text)
{
    return text != NULL && strpbrk(text, "\r\n") != NULL;
}

static void
add_header(GString *head, const char *name, const char *value)
{
    g_string_append(head, name);
    g_string_append(head, ": ");
    g_string_append(head, value);
    g_string_append(head, "\r\n");
}

GString *
fetch_request_text(const struct fetch_request *request, const char *address,
                   const char *path)
{
    GString *text = g_string_sized_new(256 + request->body_bytes);
    bool is_valid = !has_line_break(request->content_type) &&
                    !has_line_break(request->request_id) &&
                    !has_line_break(request->bearer_token) &&
                    !has_line_break(path);

    g_string_append(text, request->method);
    g_string_append_c(text, ' ');
    g_string_append(text, path);
    g_string_append(text, " HTTP/1.1\r\n");
    add_header(text, "Host", address);
    add_header(text, "Accept", "*/*");
    if (request->content_type != NULL && request->content_type[0] != '\0') {
        add_header(text, "Content-Type", request->content_type);
    }
    if (request->request_id != NULL) {
        add_header(text, "X-Request-Id", request->request_id);
    }
    if (request->bearer_token != NULL) {
        g_string_append(text, "Authorization: Bearer ");
        g_string_append(text, request->bearer_token);
        g_string_append(text, "\r\n");
    }
    for (const char *const *header = request->headers;
         header != NULL && header[0] != NULL; header += 2) {
        is_valid = is_valid && !has_line_break(header[1]);
        add_header(text, header[0], header[1]);
    }
    if (request->body_bytes > 0 || (strcmp(request->method, "GET") != 0 &&
                                    strcmp(request->method, "HEAD") != 0)) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               request->body_bytes);
    }
    g_string_append(text, "\r\n");
    g_string_append_len(text, request->body, (gssize)request->body_bytes);
    if (!is_valid) {
        g_string_free(text, TRUE);
        return NULL;
    }
    return text;
}

bool
fetch_split_url(const char *url, char *address, struct sockaddr_storage *out,
                const char **path)
{
    static const char scheme[] = "http://";
    char host[FETCH_ADDRESS_BYTES];
    const char *start = url + strlen(scheme);
    size_t bytes;
    char *colon;
    guint64 port = 80;

    if (strncmp(url, scheme, strlen(scheme)) != 0) {
        return false;
    }
    bytes = strcspn(start, "/?#");
    if (bytes == 0 || bytes >= FETCH_ADDRESS_BYTES) {
        return false;
    }
    memcpy(address, start, bytes);
    address[bytes] = '\0';
    *path = start[bytes] == '/' ? start + bytes : "/";
    g_strlcpy(host, address, sizeof(host));
    colon = strrchr(host, ':');
    if (colon != NULL) {
        *colon = '\0';
        if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port,
                                        NULL)) {
            return false;
        }
    }
    return uv_ip4_addr(host, (int)port, (struct sockaddr_in *)out) == 0;
}

/* settings.h -- a host's settings, from one YAML file
 *
 * Every field is known, typed and bounded; anything else is refused with its
 * place in the file before the process opens a socket or a file.
 */
#ifndef FP_SETTINGS_H
#define FP_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/* One host of the cell, this one included. */
struct settings_host {
    char *name;        /* unique, at most 31 bytes */
    char *data_centre; /* of the host */
    char *bus;         /* ZeroMQ endpoint, IP:port */
    char *http;        /* HTTP address, IP:port */
    char *public_key;  /* CURVE key, 40 Z85 characters; optional */
};

struct settings_curve {
    char *public_key; /* 40 Z85 characters */
    char *secret_key; /* 40 Z85 characters */
};

struct settings_tls {
    char *certificate; /* PEM file */
    char *private_key; /* PEM file */
};

struct settings_times {
    uint64_t heartbeat_ms;    /* 10 to 1000 */
    uint64_t election_min_ms; /* 100 to 10000 */
    uint64_t election_max_ms; /* above election_min_ms, to 20000 */
    uint64_t fresh_ms;        /* 500 to 2500: configuration stays in force */
    uint64_t task_lease_ms;   /* 2000 to 120000 */
    uint64_t drain_ms;        /* 0 to 60000: ready is off, serving goes on */
    uint64_t drain_max_ms;    /* 1000 to 600000: bound on the whole drain */
};

struct settings_log {
    char *format; /* text or json */
    char *level;  /* debug, info, notice or warning */
};

/* What a host of a platform deployment needs besides: it is told a few seeds
 * instead of all hosts, and hosts are named by their IP number.
 */
struct settings_fleet {
    char *clients;   /* IP:port for callers; absent: none on this host */
    char *control;   /* IP:port for targets and operators; absent: none */
    char *readiness; /* IP:port that the balancer asks; absent: none */
    char *metrics;   /* IP:port of GET /metrics; absent: none */
    char *advice;    /* IP:port of the placement policy; absent: none */
    char **seeds;    /* IP:port of some hosts with a data folder */
    unsigned seeds_count;
    char *data_centre; /* of this host */
    bool first_start;  /* the cell may be founded now */
    uint32_t bus_port; /* port of the bus on every host */
    uint32_t lease_ms; /* longest lease that a target grants */
    uint32_t stop_ms;  /* a target takes this long at most to stop a run */
    double grace_s;    /* from SIGTERM to SIGKILL */
    double keep_s;     /* an ended job's state can be asked this long */
    double far_times;  /* run time away from the data, of the one near it */
    /* The same three as settings_load() leaves them: */
    uint32_t grace_ms;
    uint32_t keep_ms;
    uint32_t far_permille;
};

struct settings {
    char *host;                /* name of this host, one of hosts */
    char *data_folder;         /* absent: a host without a disk */
    char *operator_key_hash;   /* BLAKE2b-256, 64 hexadecimal digits */
    char *target_key_hash;     /* the same, for targets' announcements */
    bool faults_allowed;       /* operators may cut links, for drills */
    uint32_t snapshot_entries; /* 100 to 1000000: log length for a snapshot */
    struct settings_log log;
    struct settings_times times;
    struct settings_curve *curve; /* absent: plain, loopback only */
    struct settings_tls *tls;     /* absent: plain HTTP */
    struct settings_host *hosts;
    unsigned hosts_count;
    bool trusted_network;         /* the bus may run in clear off loopback */
    struct settings_fleet *fleet; /* absent: the hosts are listed */
};

/* Reads and checks a file. On error why names the field and its place. */
enum fp_err settings_load(const char *path, struct settings **out, char *why,
                          unsigned why_bytes);

void settings_free(struct settings *settings);

/* The entry of hosts with this name, or NULL. */
const struct settings_host *settings_find(const struct settings *settings,
                                          const char *name);

/* Splits "IP:port" as inet_pton() and a port of 1 to 65535 take it. */
bool settings_address(const char *text, char *ip, unsigned ip_bytes,
                      uint16_t *port);

#endif /* FP_SETTINGS_H */

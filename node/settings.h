/* settings.h -- the settings of a host, read from one YAML file
 *
 * Every key is known, typed and bounded. settings_load() rejects a file with
 * anything else, before the process opens a socket or any other file. Fields
 * are named like their keys unless their comment gives the key.
 */
#ifndef FP_SETTINGS_H
#define FP_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "node/entry.h"

/* One host of the cell; this host is listed too. */
struct settings_host {
    char *name;        /* unique, at most 31 bytes */
    char *data_centre; /* at most 63 bytes */
    char *bus;         /* address of its ZeroMQ endpoint, IP:port */
    char *http;        /* address of its HTTP server, IP:port */
    char *public_key;  /* CURVE key, 40 Z85 characters; NULL without CURVE */
};

/* CURVE key pair of this host. */
struct settings_curve {
    char *public_key; /* 40 Z85 characters */
    char *secret_key; /* 40 Z85 characters */
};

struct settings_tls {
    char *certificate; /* PEM file */
    char *private_key; /* PEM file */
};

/* Ranges of the values that settings_load() accepts; an absent or zero value
 * becomes the default in settings.c.
 */
struct settings_times {
    uint64_t heartbeat_ms;    /* 10 to 1000 */
    uint64_t election_min_ms; /* 100 to 10000 */
    uint64_t election_max_ms; /* above election_min_ms, to 20000 */
    uint64_t fresh_ms;        /* 500 to 2500: length of a freshness lease */
    uint64_t task_lease_ms;   /* 2000 to 120000: a target's lease */
    uint64_t drain_ms;        /* 0 to 60000: serving while not ready */
    uint64_t drain_max_ms;    /* 1000 to 600000: limit of the whole drain */
};

struct settings_log {
    char *format; /* text or json; NULL: not set */
    char *level;  /* debug, info, notice or warning; NULL: not set */
};

/* Limits of the host that a process should keep within; 0 or absent: none is
 * known. See node/entry.h. */
struct settings_limits {
    uint32_t memory_mb; /* 16 to 16777216 */
    uint32_t max_fds;   /* 64 to 16777216: open descriptors */
    uint32_t disk_mb;   /* 8 to 16777216: room for the data folder */
    double link_mbps;   /* 0.01 to 1000000 */
    uint32_t link_kbps; /* set by settings_load() from link_mbps */
};

/* Additional settings of a host in a platform deployment: it discovers the
 * other hosts from a few seeds instead of a full list, and hosts are named by
 * their IP address. Absent addresses are NULL.
 */
struct settings_fleet {
    char *clients;   /* IP:port that serves clients */
    char *control;   /* IP:port that serves targets and operators */
    char *readiness; /* IP:port that serves the load balancer's checks */
    char *metrics;   /* IP:port that serves GET /metrics */
    char *advice;    /* IP:port of the external placement policy service */
    char **seeds; /* IP:port of some hosts that have a data folder; the ports
                   * are not used */
    unsigned seeds_count;
    char *data_centre;  /* of this host */
    bool may_bootstrap; /* first_start: the seeds may create a new cell */
    uint32_t bus_port;  /* port of the bus, the same on every host */
    uint32_t lease_ms;  /* length of targets' leases, the most they take */
    uint32_t stop_ms;   /* longest time a target takes to stop a run */
    bool is_contended;  /* contended: services are full at times; see
                         * PLAN_POLICY_CONTENDED */
    uint32_t share_window_ms; /* over which a team's rate is averaged */
    double grace_s;           /* time from SIGTERM to SIGKILL */
    double job_retention_s;   /* keep_s: ended jobs can be queried this long */
    double remote_run_factor; /* far_times: run time of a task away from its
                               * data's rack, as a multiple of its run time in
                               * it */
    /* Set by settings_load() from the three values above: */
    uint32_t grace_ms;
    uint32_t job_retention_ms;
    uint32_t remote_run_permille;
};

struct settings {
    char *host;                /* name of this host, one of hosts */
    char *data_folder;         /* NULL: the host has no disk */
    char *operator_key_hash;   /* BLAKE2b-256 of the operators' key, in
                                * 64 hexadecimal digits */
    char *target_key_hash;     /* BLAKE2b-256 of the targets' key, in 64
                                * hexadecimal digits */
    bool faults_allowed;       /* operators may drop messages between
                                * hosts, for fault tests */
    uint32_t snapshot_entries; /* 100 to 1000000: log length for a snapshot */
    struct settings_log log;
    struct settings_times times;
    struct settings_limits limits;
    struct settings_curve *curve; /* NULL: the bus is not encrypted */
    struct settings_tls *tls;     /* NULL: plain HTTP */
    struct settings_host *hosts;  /* with fleet set: only this host */
    unsigned hosts_count;
    bool trusted_network;         /* no CURVE needed outside loopback */
    struct settings_fleet *fleet; /* NULL: all hosts are listed in hosts */
};

/* Reads and checks a settings file and fills in defaults; the caller frees
 * *out by settings_free(). On an error returns FP_ERR_BAD_REQUEST, sets *out
 * to NULL and describes the error in why, with the key or the place in the
 * file.
 */
enum fp_err settings_load(const char *path, struct settings **out, char *why,
                          unsigned why_bytes);

/* settings may be NULL. */
void settings_free(struct settings *settings);

/* The limits of this host that bound what it takes in. */
struct entry_limits settings_entry_limits(const struct settings *settings);

/* Returns the entry of hosts with this name, or NULL. */
const struct settings_host *settings_find_host(const struct settings *settings,
                                               const char *name);

/* Splits "IP:port" into an IPv4 address, copied to ip, and a port of 1 to
 * 65535. Returns false when text is malformed or the address does not fit in
 * ip_bytes.
 */
bool settings_parse_address(const char *text, char *ip, unsigned ip_bytes,
                            uint16_t *port);

#endif /* FP_SETTINGS_H */

#ifndef EGRET_CONFIG_RECORD_H
#define EGRET_CONFIG_RECORD_H

#include "common/clock.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	record - the operators' configuration records
 *
 * DESCRIPTION
 *	A record is a JSON object with `kind`, `name`, `schema_version` and the
 *	fields of its kind. record_parse() checks every field and reports each
 *	error with its field. A record of a newer schema version than this program
 *	supports is parsed with `schema_supported` false and only the common fields
 *	set.
 *
 * OWNERSHIP
 *	record_parse() returns a new record that record_destroy() frees.
 */

typedef enum record_kind {
	RECORD_CLIENT_ACCOUNT,
	RECORD_KEY,
	RECORD_ROUTE,
	RECORD_AVAILABILITY_ZONE,
	RECORD_SERVICE,
	RECORD_ROLLOUT,
	RECORD_KIND_COUNT,
} record_kind_t;

#define RECORD_SCHEMA_VERSION 1
#define RECORD_NAME_MAX_BYTES 64
#define RECORD_MAX_BYTES (16u << 10)
#define IMPORTANCE_LEVELS 10
#define IMPORTANCE_NONE (-1)
#define BACKENDS_MAX 8
#define KEY_DIGEST_HEX_BYTES 64

typedef struct client_account {
	double rate;	/* requests per second over all VMs together; 0 for no limit */
	double burst;	/* requests */
	int importance; /* overrides that of the route; IMPORTANCE_NONE if unset */
} client_account_t;

typedef struct key_record {
	char *digest;  /* SHA-256 of the key in lower-case hex */
	char *account; /* name of the client account */
} key_record_t;

/* One of several services that share a route's requests. */
typedef struct backend {
	char *service;
	uint32_t weight;
} backend_t;

typedef struct route {
	char *host; /* authority of the request, or NULL for any */
	char *prefix;
	GPtrArray *methods;  /* of char *; empty means all */
	char *service;	     /* NULL where there are backends */
	GArray *backends;    /* of backend_t; empty means all to `service` */
	uint32_t importance; /* 0 lowest to 9 highest */
	bool idempotent;
	bool allow_anonymous; /* `open` in JSON: a request needs no valid key */
	uint32_t timeout_ms;
	uint32_t objective_ms; /* latency objective of the route; 0 if none */
	uint32_t retries;
} route_t;

typedef struct zone_record {
	bool in_service; /* `status` in JSON is "in" */
} zone_record_t;

typedef struct service_record {
	uint32_t cold_slots;  /* concurrent calls to a target right after its start */
	uint32_t queue_slots; /* calls queued for a target; 0 for as many as its slots */
	double retry_ratio;   /* retries per call, 0 to 1 */
	double cold_rate;     /* requests per second to a cold target; 0 for no limit */
	uint32_t cold_ms;     /* time that a target is cold after its start */
	uint32_t connections; /* limit of connections to a target; 0 if unknown */
} service_record_t;

/* An order to move a service to another version; the name is that of the service. */
typedef struct rollout_record {
	char *to_version;
	uint32_t duration_ms;
} rollout_record_t;

typedef struct record {
	record_kind_t kind;
	char *name;
	uint32_t schema_version;
	bool schema_supported;
	uint64_t revision; /* of its row; 0 if it was not read from one */
	union {
		client_account_t client_account;
		key_record_t key;
		route_t route;
		zone_record_t zone;
		service_record_t service;
		rollout_record_t rollout;
	};
} record_t;

/* Receives one error of a record: the field and a description of its valid values, which
 * follows "must be" in error messages. `field` is empty if the record is not a JSON
 * object. */
typedef void (*record_error_fn)(void *ctx, const char *field, const char *allowed_text);

/* Returns NULL if the record is invalid, after calling `on_error` (may be NULL) for every
 * error. */
record_t *record_parse(const json_t *json, record_error_fn on_error, void *ctx);
void record_destroy(record_t *record);

const char *record_kind_name(record_kind_t kind);
bool record_kind_parse(const char *text, record_kind_t *out);

/* Returns whether a name consists of 1 to RECORD_NAME_MAX_BYTES characters, all of them
 * a-z A-Z 0-9 . _ or -. */
bool record_name_valid(const char *name);

/* Returns the platform's row key, record/KIND/NAME@VERSION; free with g_free(). */
char *record_row_key(record_kind_t kind, const char *name, uint32_t schema_version);

/* Splits a row key. Returns false if it is not the key of a record; free `name` with
 * g_free(). */
bool record_row_key_parse(const char *key, record_kind_t *kind, char **name,
			  uint32_t *schema_version);

#endif

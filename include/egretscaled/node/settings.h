#ifndef EGRET_EGRETSCALED_NODE_SETTINGS_H
#define EGRET_EGRETSCALED_NODE_SETTINGS_H

#include "common/clock.h"
#include "common/log.h"
#include "egretscaled/node/dialect.h"
#include "routing/router.h"
#include "wire/peer_auth.h"

#include <netinet/in.h>

/*
 * NAME
 *	settings - the daemon's flags and environment variables
 *
 * DESCRIPTION
 *	settings_parse() reads the flags, then EGRETSCALE_* variables for flags that
 *	are not given. An invalid value ends the process with one line on standard
 *	error and exit status 2. With --settings, the fields that the platform's file
 *	covers come from it (platform/settings.h), and no other flag is required.
 */

/*
 * Limits that the deployment sets; defaults in settings.c. They hold for a node whose
 * connections to the rest of the deployment have worked for contact_time.
 */
typedef struct bounds {
	usec_t contact_time; /* for which connections have worked, see above */
	usec_t leave_time;   /* from an acknowledged leave to the target's last request */
	usec_t stop_time;    /* from SIGTERM to SIGKILL */
	usec_t config_apply_time; /* from a configuration change until it is in force */
	usec_t evacuate_time; /* from taking a zone out of service to its last request */
	usec_t retry_window;  /* retries are bounded in any window of this length */
	double retry_ratio;   /* retries per request to a service */
	uint32_t retry_min;   /* retries allowed in a window in addition to the ratio */
	double resend_ratio; /* as retry_ratio, for calls that their target rejected; 0 if
				the deployment states no bound: then there are none */
	usec_t rate_window;  /* account rates are bounded in any window of this length */
	double rate_overage; /* fraction by which an account's rate may be exceeded */
	uint32_t rate_slack; /* requests allowed in a window in addition */
	double cold_overage; /* factor on the cold_rate of a service (config/record.h) */
	uint32_t cold_slack; /* requests allowed in addition */
	/* Fraction of the requests to a service that a new version gets during its
	 * roll-out; 0 if versions make no difference. */
	double canary_share;
	uint32_t canary_slack; /* requests allowed in addition; not used, see rollout.h */
	usec_t rollback_time;  /* from the 50th bad response to the last request */
} bounds_t;

typedef struct settings {
	char *settings_file; /* of the platform, or NULL */
	bool on_platform;    /* settings_file was read; the operator's rows are the
				configuration */
	const dialect_t *dialect;
	bounds_t bounds;
	char *zone;
	char **zones;  /* of the deployment, sorted; empty if unknown */
	char *service; /* of this node's target, or NULL if its report names it */
	struct sockaddr_in target_address;	/* on the platform only */
	struct sockaddr_in readiness_listen;	/* on the platform only */
	struct sockaddr_in report_listen;	/* on the platform only: target reports */
	uint8_t peer_secret[PEER_SECRET_BYTES]; /* used without peer_secret_file */
	struct sockaddr_in peer_listen;
	struct sockaddr_in caller_listen;
	struct sockaddr_in target_listen;
	struct sockaddr_in admin_listen;
	char *platform_url;
	char **seeds; /* NULL-terminated peer addresses */
	char *peer_secret_file;
	char *caller_cert;
	char *caller_key;
	uint32_t drain_timeout_sec;
	uint32_t workers;
	uint32_t pipeline_depth;    /* requests in progress on one connection */
	uint32_t pipeline_total;    /* requests read ahead on all connections */
	uint32_t descriptors_max;   /* of the process */
	uint32_t head_timeout_sec;  /* for a request's head, from its first byte */
	uint32_t head_fields;	    /* of a request's head */
	uint32_t connection_memory; /* MiB, of unfinished requests and heads */
	uint32_t address_share;	    /* percent of places; see http/places.h */
	bool completion_limit;	    /* see admission/completion_limit.h */
	router_balance_t balance;   /* without the flag: by time on the platform only */
	log_level_t log_level;
	log_format_t log_format;
} settings_t;

/* Never returns NULL. */
settings_t *settings_parse(int argc, char **argv);
void settings_destroy(settings_t *settings);

/* Moves the fields that the platform's file covers from `from`. */
void settings_move(settings_t *settings, settings_t *from);

/* Frees the fields, but not `settings`. */
void settings_clear(settings_t *settings);

#endif

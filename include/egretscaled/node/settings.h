#ifndef EGRET_EGRETSCALED_NODE_SETTINGS_H
#define EGRET_EGRETSCALED_NODE_SETTINGS_H

#include "common/clock.h"
#include "common/log.h"
#include "egretscaled/node/dialect.h"
#include "wire/peer_auth.h"

#include <netinet/in.h>

/*
 * NAME
 *	settings - the daemon's flags and environment variables
 *
 * DESCRIPTION
 *	settings_parse() reads flags, then EGRETSCALE_* variables for flags not
 *	given. A bad value ends the process with one line on standard error and
 *	exit status 2. With --settings the fields that the platform's file covers
 *	come from there (platform/settings.h), and no other flag is required.
 */

/* What the deployment promises its users; defaults in settings.c. */
typedef struct bounds {
	usec_t contact_time; /* undisturbed for so long, a node must keep the rest */
	usec_t leave_time;   /* after an acknowledged leave, until the last request */
	usec_t stop_time;    /* from SIGTERM to the end */
	usec_t config_apply_time; /* from a change to its force */
	usec_t evacuate_time;	  /* from a zone's status to its last request */
	usec_t retry_window;	  /* any span of this length bounds the retries */
	double retry_ratio;	  /* retries for each request of a service */
	uint32_t retry_min;	  /* retries that a window may hold besides */
	usec_t rate_window;	  /* any span of this length bounds an account */
	double rate_overage;
	uint32_t rate_slack;
	double cold_overage; /* on the rate that a cold target bears */
	uint32_t cold_slack;
} bounds_t;

typedef struct settings {
	char *settings_file; /* the platform's, or NULL */
	bool on_platform;    /* the operator's rows are the configuration */
	const dialect_t *dialect;
	bounds_t bounds;
	char *zone;
	char **zones;  /* of the deployment, sorted; empty if not known */
	char *service; /* of the own target, or NULL if it says so itself */
	struct sockaddr_in target_address;   /* on the platform: of the own target */
	struct sockaddr_in readiness_listen; /* on the platform */
	struct sockaddr_in report_listen;    /* on the platform: the target's reports */
	uint8_t peer_secret[PEER_SECRET_BYTES]; /* unless there is a file */
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
	log_level_t log_level;
	log_format_t log_format;
} settings_t;

settings_t *settings_parse(int argc, char **argv);
void settings_destroy(settings_t *settings);

/* Moves the fields of the platform's file from `fresh`. */
void settings_move(settings_t *settings, settings_t *fresh);

/* Frees what the fields hold. */
void settings_clear(settings_t *settings);

#endif

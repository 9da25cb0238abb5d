#ifndef EGRET_EGRETSCALED_SETTINGS_H
#define EGRET_EGRETSCALED_SETTINGS_H

#include "common/log.h"

#include <netinet/in.h>

/*
 * NAME
 *	settings - the daemon's flags and environment variables
 *
 * DESCRIPTION
 *	settings_parse() reads flags, then EGRETSCALE_* variables for flags not
 *	given. A bad value ends the process with one line on standard error and
 *	exit status 2.
 */

typedef struct settings {
	char *zone;
	struct sockaddr_in peer_listen;
	struct sockaddr_in caller_listen;
	struct sockaddr_in target_listen;
	struct sockaddr_in admin_listen;
	char *platform;
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

#endif

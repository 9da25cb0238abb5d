#include "egretscaled/node/settings.h"

#include "common/address.h"
#include "config/record.h"
#include "platform/settings.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define EXIT_USAGE 2
#define WORKERS_MAX 64
#define DRAIN_TIMEOUT_MAX_SEC 3600
#define DRAIN_TIMEOUT_DEFAULT_SEC 30
#define PIPELINE_DEPTH_MAX 64
#define PIPELINE_DEPTH_DEFAULT 8
#define PIPELINE_TOTAL_MAX 65536
#define PIPELINE_TOTAL_DEFAULT 256
/* The defaults exceed what clients within the limits of a deployment use: a head of
 * 16,384 bytes with 4,096 fields, complete within 3 s. */
#define HEAD_TIMEOUT_MAX_SEC 3600
#define HEAD_TIMEOUT_DEFAULT_SEC 10
#define HEAD_FIELDS_MIN 16
#define HEAD_FIELDS_MAX 8192
#define HEAD_FIELDS_DEFAULT 4096
/* A fifth of the smallest machine, which has 160 MB. */
#define CONNECTION_MEMORY_DEFAULT_MIB 32
#define CONNECTION_MEMORY_MAX_MIB 4096
#define ADDRESS_SHARE_DEFAULT_PERCENT 50
/* Limit used if it cannot be read, and the highest one used if it is unlimited. */
#define DESCRIPTORS_DEFAULT 1024
#define DESCRIPTORS_LIMIT_MAX 40000
#define ENVIRONMENT_PREFIX "EGRETSCALE_"

/* Values used if the settings file has none. */
static const bounds_t bounds_default = {
	.contact_time = 3 * USEC_PER_SEC,
	.leave_time = 2 * USEC_PER_SEC,
	.stop_time = 30 * USEC_PER_SEC,
	.config_apply_time = 2 * USEC_PER_SEC,
	.evacuate_time = 5 * USEC_PER_SEC,
	.retry_window = 10 * USEC_PER_SEC,
	.retry_ratio = 0.2,
	.retry_min = 100,
	.rate_window = 5 * USEC_PER_SEC,
	.rate_overage = 0.1,
	.rate_slack = 20,
	.cold_overage = 1.5,
	.cold_slack = 5,
	.canary_slack = 50,
	.rollback_time = 5 * USEC_PER_SEC,
};

enum {
	KEY_SETTINGS = 256,
	KEY_ZONE,
	KEY_PEER_LISTEN,
	KEY_CALLER_LISTEN,
	KEY_TARGET_LISTEN,
	KEY_ADMIN_LISTEN,
	KEY_PLATFORM,
	KEY_SEED,
	KEY_PEER_SECRET_FILE,
	KEY_CALLER_CERT,
	KEY_CALLER_KEY,
	KEY_DRAIN_TIMEOUT,
	KEY_WORKERS,
	KEY_PIPELINE_DEPTH,
	KEY_PIPELINE_TOTAL,
	KEY_BALANCE,
	KEY_CANARY_SHARE,
	KEY_COMPLETION_LIMIT,
	KEY_HEAD_TIMEOUT,
	KEY_HEAD_FIELDS,
	KEY_CONNECTION_MEMORY,
	KEY_ADDRESS_SHARE,
	KEY_LOG_LEVEL,
	KEY_LOG_FORMAT,
	KEY_END,
};

static const struct argp_option options[] = {
	{"settings", KEY_SETTINGS, "FILE", 0,
	 "the platform's settings file; replaces the flags that it covers", 0},
	{"zone", KEY_ZONE, "NAME", 0, "availability zone of this vm", 0},
	{"peer-listen", KEY_PEER_LISTEN, "IP:PORT", 0, "address for other nodes", 0},
	{"caller-listen", KEY_CALLER_LISTEN, "IP:PORT", 0, "address for callers", 0},
	{"target-listen", KEY_TARGET_LISTEN, "IP:PORT", 0,
	 "loopback address for this node's target", 0},
	{"admin-listen", KEY_ADMIN_LISTEN, "IP:PORT", 0,
	 "loopback address for /metrics, /status and /healthz", 0},
	{"platform", KEY_PLATFORM, "URL", 0, "URL of the platform's HTTP API", 0},
	{"seed", KEY_SEED, "IP:PORT", 0, "peer address of another node (repeatable)", 0},
	{"peer-secret-file", KEY_PEER_SECRET_FILE, "FILE", 0,
	 "one or two lines of 64 hex digits", 0},
	{"caller-cert", KEY_CALLER_CERT, "FILE", 0, "PEM certificate for callers", 0},
	{"caller-key", KEY_CALLER_KEY, "FILE", 0, "PEM key of the certificate", 0},
	{"drain-timeout", KEY_DRAIN_TIMEOUT, "SECONDS", 0,
	 "longest wait for requests in flight at a stop (default 30)", 0},
	{"workers", KEY_WORKERS, "N", 0, "worker threads (default 1)", 0},
	{"pipeline-depth", KEY_PIPELINE_DEPTH, "N", 0,
	 "requests in progress on one connection (default 8)", 0},
	{"pipeline-total", KEY_PIPELINE_TOTAL, "N", 0,
	 "requests read ahead on all connections (default 256)", 0},
	{"balance", KEY_BALANCE, "SCORE", 0,
	 "what instances are compared by: slots in use, or expected completion time "
	 "(slots or time; default slots, with --settings time)",
	 0},
	{"canary-share", KEY_CANARY_SHARE, "FRACTION", 0,
	 "part of a service's requests for a new version during a roll-out (default 0: "
	 "no roll-outs)",
	 0},
	{"completion-limit", KEY_COMPLETION_LIMIT, "SWITCH", 0,
	 "refuse requests whose calls are not likely to complete (on or off; default "
	 "off)",
	 0},
	{"head-timeout", KEY_HEAD_TIMEOUT, "SECONDS", 0,
	 "for the head of a request, from its first byte (default 10)", 0},
	{"head-fields", KEY_HEAD_FIELDS, "N", 0,
	 "header fields of a request (default 4096)", 0},
	{"connection-memory", KEY_CONNECTION_MEMORY, "MIB", 0,
	 "memory of heads and unfinished requests (default 32)", 0},
	{"address-share", KEY_ADDRESS_SHARE, "PERCENT", 0,
	 "of the connections, for one address if they are short (default 50)", 0},
	{"log-level", KEY_LOG_LEVEL, "LEVEL", 0, "error, warn, info or debug", 0},
	{"log-format", KEY_LOG_FORMAT, "FORMAT", 0, "text or json", 0},
	{NULL, 0, NULL, 0, NULL, 0},
};

static const char *flag_name(int key)
{
	for (const struct argp_option *option = options; option->name; option++) {
		if (option->key == key)
			return option->name;
	}
	return "";
}

G_GNUC_NORETURN
static void exit_invalid_value(int key, const char *value, const char *allowed_text)
{
	fprintf(stderr, "egretscaled: --%s: '%s' is not allowed: must be %s\n",
		flag_name(key), value ? value : "", allowed_text);
	exit(EXIT_USAGE);
}

static void set_address(int key, const char *value, struct sockaddr_in *out,
			bool loopback)
{
	if (!address_parse(value, out, NULL))
		exit_invalid_value(
			key, value,
			"IP:PORT with an IPv4 address and a port from 1 to 65535");
	if (loopback && !address_is_loopback(out))
		exit_invalid_value(key, value, "a loopback address (127.0.0.0/8)");
}

static double parse_fraction(int key, const char *value)
{
	char *end = NULL;
	double number = g_ascii_strtod(value, &end);

	if (end == value || *end || !(number >= 0 && number <= 1))
		exit_invalid_value(key, value, "a number from 0 to 1");
	return number;
}

static uint32_t parse_number(int key, const char *value, long low, long high)
{
	char allowed_text[64];
	char *end = NULL;
	long number = strtol(value, &end, 10);

	if (*value && !*end && number >= low && number <= high)
		return (uint32_t)number;
	g_snprintf(allowed_text, sizeof(allowed_text), "a whole number from %ld to %ld",
		   low, high);
	exit_invalid_value(key, value, allowed_text);
}

static void add_seed(settings_t *settings, const char *value)
{
	struct sockaddr_in address;
	guint count = settings->seeds ? g_strv_length(settings->seeds) : 0;

	set_address(KEY_SEED, value, &address, false);
	settings->seeds = g_renew(char *, settings->seeds, count + 2);
	settings->seeds[count] = g_strdup(value);
	settings->seeds[count + 1] = NULL;
}

static void set_text(char **out, const char *value)
{
	g_free(*out);
	*out = g_strdup(value);
}

static void set_value(settings_t *settings, int key, const char *value)
{
	switch (key) {
	case KEY_SETTINGS:
		set_text(&settings->settings_file, value);
		break;
	case KEY_ZONE:
		if (!record_name_valid(value))
			exit_invalid_value(key, value,
					   "1 to 64 characters a-z A-Z 0-9 . _ -");
		set_text(&settings->zone, value);
		break;
	case KEY_PEER_LISTEN:
		set_address(key, value, &settings->peer_listen, false);
		break;
	case KEY_CALLER_LISTEN:
		set_address(key, value, &settings->caller_listen, false);
		break;
	case KEY_TARGET_LISTEN:
		set_address(key, value, &settings->target_listen, true);
		break;
	case KEY_ADMIN_LISTEN:
		set_address(key, value, &settings->admin_listen, true);
		break;
	case KEY_PLATFORM:
		if (!g_str_has_prefix(value, "http://") &&
		    !g_str_has_prefix(value, "https://"))
			exit_invalid_value(key, value, "an http:// or https:// URL");
		set_text(&settings->platform_url, value);
		break;
	case KEY_SEED:
		add_seed(settings, value);
		break;
	case KEY_PEER_SECRET_FILE:
		set_text(&settings->peer_secret_file, value);
		break;
	case KEY_CALLER_CERT:
		set_text(&settings->caller_cert, value);
		break;
	case KEY_CALLER_KEY:
		set_text(&settings->caller_key, value);
		break;
	case KEY_DRAIN_TIMEOUT:
		settings->drain_timeout_sec =
			parse_number(key, value, 0, DRAIN_TIMEOUT_MAX_SEC);
		break;
	case KEY_WORKERS:
		settings->workers = parse_number(key, value, 1, WORKERS_MAX);
		break;
	case KEY_PIPELINE_DEPTH:
		settings->pipeline_depth =
			parse_number(key, value, 1, PIPELINE_DEPTH_MAX);
		break;
	case KEY_PIPELINE_TOTAL:
		settings->pipeline_total =
			parse_number(key, value, 0, PIPELINE_TOTAL_MAX);
		break;
	case KEY_BALANCE:
		if (strcmp(value, "slots") != 0 && strcmp(value, "time") != 0)
			exit_invalid_value(key, value, "slots or time");
		settings->balance =
			value[0] == 't' ? ROUTER_BALANCE_TIME : ROUTER_BALANCE_SLOTS;
		break;
	case KEY_CANARY_SHARE:
		settings->bounds.canary_share = parse_fraction(key, value);
		break;
	case KEY_COMPLETION_LIMIT:
		if (strcmp(value, "on") != 0 && strcmp(value, "off") != 0)
			exit_invalid_value(key, value, "on or off");
		settings->completion_limit = strcmp(value, "on") == 0;
		break;
	case KEY_HEAD_TIMEOUT:
		settings->head_timeout_sec =
			parse_number(key, value, 1, HEAD_TIMEOUT_MAX_SEC);
		break;
	case KEY_HEAD_FIELDS:
		settings->head_fields =
			parse_number(key, value, HEAD_FIELDS_MIN, HEAD_FIELDS_MAX);
		break;
	case KEY_CONNECTION_MEMORY:
		settings->connection_memory =
			parse_number(key, value, 1, CONNECTION_MEMORY_MAX_MIB);
		break;
	case KEY_ADDRESS_SHARE:
		settings->address_share = parse_number(key, value, 1, 100);
		break;
	case KEY_LOG_LEVEL:
		if (!log_level_parse(value, &settings->log_level))
			exit_invalid_value(key, value, "error, warn, info or debug");
		break;
	case KEY_LOG_FORMAT:
		if (strcmp(value, "text") != 0 && strcmp(value, "json") != 0)
			exit_invalid_value(key, value, "text or json");
		settings->log_format =
			value[0] == 'j' ? LOG_FORMAT_JSON : LOG_FORMAT_TEXT;
		break;
	}
}

typedef struct parse_state {
	settings_t *settings;
	bool given[KEY_END - KEY_SETTINGS];
} parse_state_t;

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	parse_state_t *parse = state->input;

	if (key == ARGP_KEY_ARG) {
		fprintf(stderr, "egretscaled: unexpected argument '%s'\n", arg);
		exit(EXIT_USAGE);
	}
	if (key < KEY_SETTINGS || key >= KEY_END)
		return ARGP_ERR_UNKNOWN;
	parse->given[key - KEY_SETTINGS] = true;
	set_value(parse->settings, key, arg);
	return 0;
}

static char *environment_name(const char *flag)
{
	char *upper = g_ascii_strup(flag, -1);
	char *name = g_strconcat(ENVIRONMENT_PREFIX, g_strdelimit(upper, "-", '_'), NULL);

	g_free(upper);
	return name;
}

static void read_environment(parse_state_t *parse)
{
	for (const struct argp_option *option = options; option->name; option++) {
		char *name = environment_name(option->name);
		const char *value = getenv(name);

		g_free(name);
		if (!value || parse->given[option->key - KEY_SETTINGS])
			continue;
		parse->given[option->key - KEY_SETTINGS] = true;
		if (option->key != KEY_SEED) {
			set_value(parse->settings, option->key, value);
			continue;
		}
		char **seeds = g_strsplit(value, ",", -1);
		for (char **seed = seeds; *seed; seed++)
			set_value(parse->settings, KEY_SEED, *seed);
		g_strfreev(seeds);
	}
}

static void check_required(const parse_state_t *parse)
{
	static const int required[] = {
		KEY_ZONE,	  KEY_PEER_LISTEN, KEY_CALLER_LISTEN,	KEY_TARGET_LISTEN,
		KEY_ADMIN_LISTEN, KEY_PLATFORM,	   KEY_PEER_SECRET_FILE};

	for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
		if (!parse->given[required[i] - KEY_SETTINGS])
			exit_invalid_value(required[i], "", "given");
	}
	if (!parse->settings->caller_cert != !parse->settings->caller_key)
		exit_invalid_value(KEY_CALLER_CERT, parse->settings->caller_cert,
				   "given together with --caller-key");
}

static void read_settings_file(settings_t *settings)
{
	GError *error = NULL;

	if (platform_settings_read(settings->settings_file, settings, &error))
		return;
	fprintf(stderr, "egretscaled: %s: %s\n", settings->settings_file, error->message);
	exit(EXIT_USAGE);
}

/* Raises the limit of descriptors to what the process may have, and returns it. */
static uint32_t raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return DESCRIPTORS_DEFAULT;
	struct rlimit raised = {limit.rlim_max, limit.rlim_max};
	if (setrlimit(RLIMIT_NOFILE, &raised) == 0)
		limit = raised;
	return (uint32_t)MIN(limit.rlim_cur, DESCRIPTORS_LIMIT_MAX);
}

settings_t *settings_parse(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = handle_option,
		.doc = "egretscaled - overload control between callers and back ends",
	};
	parse_state_t parse = {.settings = g_new0(settings_t, 1)};

	argp_err_exit_status = EXIT_USAGE;
	parse.settings->dialect = dialect_egret();
	parse.settings->bounds = bounds_default;
	parse.settings->zones = g_new0(char *, 1);
	parse.settings->drain_timeout_sec = DRAIN_TIMEOUT_DEFAULT_SEC;
	parse.settings->workers = 1;
	parse.settings->pipeline_depth = PIPELINE_DEPTH_DEFAULT;
	parse.settings->pipeline_total = PIPELINE_TOTAL_DEFAULT;
	parse.settings->head_timeout_sec = HEAD_TIMEOUT_DEFAULT_SEC;
	parse.settings->head_fields = HEAD_FIELDS_DEFAULT;
	parse.settings->connection_memory = CONNECTION_MEMORY_DEFAULT_MIB;
	parse.settings->address_share = ADDRESS_SHARE_DEFAULT_PERCENT;
	parse.settings->descriptors_max = raise_descriptor_limit();
	parse.settings->log_level = LOG_LEVEL_INFO;
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	read_environment(&parse);
	if (parse.settings->settings_file)
		read_settings_file(parse.settings);
	else
		check_required(&parse);
	if (parse.settings->on_platform && !parse.given[KEY_BALANCE - KEY_SETTINGS])
		parse.settings->balance = ROUTER_BALANCE_TIME;
	return parse.settings;
}

static void move_text(char **to, char **from)
{
	g_free(*to);
	*to = *from;
	*from = NULL;
}

static void move_list(char ***to, char ***from)
{
	g_strfreev(*to);
	*to = *from;
	*from = NULL;
}

void settings_move(settings_t *settings, settings_t *from)
{
	settings->on_platform = from->on_platform;
	settings->dialect = from->dialect;
	settings->bounds = from->bounds;
	settings->descriptors_max = from->descriptors_max;
	settings->peer_listen = from->peer_listen;
	settings->caller_listen = from->caller_listen;
	settings->admin_listen = from->admin_listen;
	settings->readiness_listen = from->readiness_listen;
	settings->report_listen = from->report_listen;
	settings->target_address = from->target_address;
	memcpy(settings->peer_secret, from->peer_secret, sizeof(from->peer_secret));
	move_text(&settings->zone, &from->zone);
	move_text(&settings->service, &from->service);
	move_text(&settings->platform_url, &from->platform_url);
	move_list(&settings->zones, &from->zones);
	move_list(&settings->seeds, &from->seeds);
}

void settings_clear(settings_t *settings)
{
	g_free(settings->settings_file);
	g_free(settings->zone);
	g_strfreev(settings->zones);
	g_free(settings->service);
	g_free(settings->platform_url);
	g_strfreev(settings->seeds);
	g_free(settings->peer_secret_file);
	g_free(settings->caller_cert);
	g_free(settings->caller_key);
}

void settings_destroy(settings_t *settings)
{
	if (!settings)
		return;
	settings_clear(settings);
	g_free(settings);
}

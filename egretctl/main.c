#include "common/error.h"
#include "egretctl/ctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct command {
	const char *name;
	ctl_command_fn fn;
} command_t;

/* Sorted by name, for bsearch(3). */
static const command_t commands[] = {
	{"apply", ctl_apply},	    {"diff", ctl_diff},	      {"drain", ctl_drain},
	{"get", ctl_get},	    {"key", ctl_key},	      {"list", ctl_list},
	{"retire", ctl_retire},	    {"rollout", ctl_rollout}, {"status", ctl_status},
	{"validate", ctl_validate},
};

enum {
	OPTION_PLATFORM = 256,
	OPTION_ADMIN,
	OPTION_OUTPUT,
	OPTION_DRY_RUN,
	OPTION_TO,
	OPTION_WITHIN,
};

static const struct argp_option options[] = {
	{"platform", OPTION_PLATFORM, "URL", 0,
	 "URL of the platform (default: EGRETSCALE_PLATFORM)", 0},
	{"admin", OPTION_ADMIN, "IP:PORT", 0,
	 "admin address of a node (default: EGRETSCALE_ADMIN_LISTEN)", 0},
	{"output", OPTION_OUTPUT, "FORMAT", 0, "output format: table (default) or json",
	 0},
	{"file", 'f', "FILE|DIR", 0, "JSON file or directory with records (repeatable)",
	 0},
	{"dry-run", OPTION_DRY_RUN, NULL, 0, "print the changes without writing them", 0},
	{"to", OPTION_TO, "VERSION", 0, "version that a roll-out moves a service to", 0},
	{"within", OPTION_WITHIN, "SECONDS", 0, "time that a roll-out may take", 0},
	{NULL, 0, NULL, 0, NULL, 0},
};

static int compare_command(const void *key, const void *item)
{
	return strcmp(key, ((const command_t *)item)->name);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	ctl_t *ctl = state->input;

	switch (key) {
	case OPTION_PLATFORM:
		ctl->platform = arg;
		return 0;
	case OPTION_ADMIN:
		ctl->admin = arg;
		return 0;
	case OPTION_OUTPUT:
		if (strcmp(arg, "table") != 0 && strcmp(arg, "json") != 0)
			argp_error(state,
				   "--output: '%s' is not allowed: must be table or json",
				   arg);
		ctl->json = strcmp(arg, "json") == 0;
		return 0;
	case OPTION_DRY_RUN:
		ctl->dry_run = true;
		return 0;
	case OPTION_TO:
		ctl->to = arg;
		return 0;
	case OPTION_WITHIN:
		ctl->within = arg;
		return 0;
	case 'f':
		g_ptr_array_add(ctl->paths, arg);
		return 0;
	case ARGP_KEY_ARG:
		ctl->argv = g_renew(char *, ctl->argv, ctl->argc + 1);
		ctl->argv[ctl->argc++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int ctl_fail(const char *attempted, const GError *error)
{
	fprintf(stderr, "egretctl: %s: %s (%s)\n", attempted, error->message,
		error->domain == EGRET_ERROR ? egret_error_name(error->code) : "system");
	if (error->domain != EGRET_ERROR)
		return CTL_FAILED;
	switch (error->code) {
	case EGRET_ERROR_CONFLICT:
		return CTL_CONFLICT;
	case EGRET_ERROR_UNAVAILABLE:
	case EGRET_ERROR_TIMEOUT:
	case EGRET_ERROR_UNKNOWN_RESULT:
		return CTL_UNAVAILABLE;
	default:
		return CTL_FAILED;
	}
}

int ctl_usage(const char *text)
{
	fprintf(stderr, "usage: egretctl %s\n", text);
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "COMMAND [ARGUMENT...]",
		.doc = "egretctl - manages configuration records and shows the state of "
		       "nodes"
		       "\vCommands: apply, diff, drain, get, key, list, retire, rollout, "
		       "status, validate. See egretctl(1).",
	};
	ctl_t ctl = {.platform = getenv("EGRETSCALE_PLATFORM"),
		     .admin = getenv("EGRETSCALE_ADMIN_LISTEN"),
		     .paths = g_ptr_array_new()};

	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &ctl);
	if (ctl.argc == 0)
		return ctl_usage("COMMAND [ARGUMENT...]; see egretctl --help");
	const command_t *command = bsearch(ctl.argv[0], commands, G_N_ELEMENTS(commands),
					   sizeof(commands[0]), compare_command);
	if (!command) {
		fprintf(stderr, "egretctl: '%s' is not a command; see egretctl --help\n",
			ctl.argv[0]);
		return CTL_USAGE;
	}
	if (sodium_init() < 0)
		return CTL_FAILED;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ctl.argc--;
	char **allocated_argv = ctl.argv;
	ctl.argv++;
	int status = command->fn(&ctl);
	g_free(allocated_argv);
	g_ptr_array_free(ctl.paths, TRUE);
	curl_global_cleanup();
	return status;
}

#include "egretscaled/control/admin.h"

#include "common/counters.h"
#include "egretscaled/node/worker.h"
#include "egretscaled/rates/loans_io.h"

#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ADMIN_IDLE_TIMEOUT_SEC 30

static void append_gauge(GString *out, const char *name, const char *help, double value)
{
	g_string_append_printf(out,
			       "# HELP egret_%s %s\n# TYPE egret_%s gauge\n"
			       "egret_%s %g\n",
			       name, help, name, name, value);
}

static long resident_bytes(void)
{
	long pages = 0;
	long resident = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	if (!file)
		return 0;
	if (fscanf(file, "%ld %ld", &pages, &resident) != 2)
		resident = 0;
	fclose(file);
	return resident * sysconf(_SC_PAGESIZE);
}

static void read_load(node_t *node, gate_load_t *load, target_t *target)
{
	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), load);
	*target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
}

static uint64_t read_revision(node_t *node)
{
	config_t *config = node_config(node);
	uint64_t revision = config_revision(config);

	config_unref(config);
	return revision;
}

static double read_config_age(node_t *node)
{
	usec_t age = clock_boot_usec() - node_config_as_of(node);

	return (double)age / USEC_PER_SEC;
}

static uint32_t read_live_members(node_t *node)
{
	pthread_mutex_lock(&node->gossip_lock);
	uint32_t count = directory_live_count(gossip_directory(node->gossip));
	pthread_mutex_unlock(&node->gossip_lock);
	return count;
}

static char *render_metrics(node_t *node)
{
	GString *out = g_string_new(NULL);
	gate_load_t load;
	target_t target;

	read_load(node, &load, &target);
	/* First, as collectors may truncate the text. */
	append_gauge(out, "config_revision", "revision in force",
		     (double)read_revision(node));
	append_gauge(out, "config_age_seconds",
		     "time since the configuration was known to be current",
		     read_config_age(node));
	counters_render(out);
	append_gauge(out, "gate_limit", "calls the gate lets run at once", load.limit);
	append_gauge(out, "gate_inflight", "calls that run on the target", load.inflight);
	append_gauge(out, "gate_queued", "calls that wait at the gate", load.queued);
	append_gauge(out, "gate_level", "shed level of the gate", load.level);
	append_gauge(out, "members_live", "nodes alive or suspected",
		     read_live_members(node));
	append_gauge(out, "resident_bytes", "resident memory", (double)resident_bytes());
	return g_string_free(out, FALSE);
}

static json_t *gate_status(const gate_load_t *load, const target_t *target)
{
	return json_pack("{s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:i, s:i, s:b}", "service",
			 target->last_report.service, "address",
			 target->last_report.address, "present", target->present,
			 "draining", target->draining, "slots",
			 (int)target->last_report.slots, "limit", (int)load->limit,
			 "inflight", (int)load->inflight, "queued", (int)load->queued,
			 "shed_level", (int)load->level, "cold", load->cold);
}

static json_t *keeper_status(node_t *node)
{
	json_t *list = json_array();
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->account_lock);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		const lease_t *lease = keeper_lease(node->accounts->keeper, i);
		if (lease->state != LEASE_HELD)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:i, s:I, s:i, s:b}", "partition", (int)i, "epoch",
				  (json_int_t)lease->epoch, "portion_milli",
				  (int)keeper_portion(node->accounts->keeper, i), "lends",
				  lease_may_lend(lease, now)));
	}
	pthread_mutex_unlock(&node->account_lock);
	return list;
}

static json_t *member_status(node_t *node)
{
	static const char *const states[] = {"alive", "suspect", "dead", "left"};
	static const char *const targets[] = {"none", "up", "draining"};
	json_t *list = json_array();
	const member_t *member;

	pthread_mutex_lock(&node->gossip_lock);
	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	json_array_append_new(list,
			      json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", "address",
					member->address, "zone", member->zone, "state",
					states[member->state], "service", member->service,
					"target", targets[member->target], "slots",
					(int)member->slots));
	pthread_mutex_unlock(&node->gossip_lock);
	return list;
}

static void add_instance(void *ctx, const router_instance_info_t *info)
{
	json_array_append_new(
		ctx,
		json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:I}", "address",
			  info->address, "service", info->service, "zone", info->zone,
			  "ejected", info->ejected, "zone_in", info->zone_in, "inflight",
			  (int)info->inflight, "limit", (int)info->report.limit,
			  "shed_level", (int)info->report.level, "response_time_usec",
			  (json_int_t)info->report.response_time_usec));
}

static json_t *instance_status(node_t *node)
{
	json_t *list = json_array();

	pthread_mutex_lock(&node->router_lock);
	router_foreach(node->router, clock_boot_usec(), add_instance, list);
	pthread_mutex_unlock(&node->router_lock);
	return list;
}

static void add_rollout(void *ctx, const rollout_status_t *status)
{
	json_array_append_new(
		ctx,
		json_pack("{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:i}", "service",
			  status->order.service, "to", status->order.to, "state",
			  rollout_state_name(status->state), "recorded", status->recorded,
			  "elapsed_ms", (json_int_t)(status->elapsed / USEC_PER_MSEC),
			  "duration_ms",
			  (json_int_t)(status->order.duration / USEC_PER_MSEC),
			  "responses_new", (json_int_t)status->responses_new,
			  "responses_old", (json_int_t)status->responses_old, "bad",
			  (json_int_t)status->bad, "nodes", (int)status->nodes));
}

static json_t *rollouts_status(node_t *node)
{
	json_t *list = json_array();

	pthread_mutex_lock(&node->router_lock);
	if (node->rollout)
		rollout_foreach(node->rollout, clock_boot_usec(), add_rollout, list);
	pthread_mutex_unlock(&node->router_lock);
	return list;
}

static char *render_status(node_t *node)
{
	gate_load_t load;
	target_t target;
	char id[17];

	read_load(node, &load, &target);
	g_snprintf(id, sizeof(id), "%016" PRIx64, node->node_id);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:b, s:b, s:i, s:I, s:o, s:o, s:o, s:o}", "address",
		node->address, "node", id, "zone", node->settings->zone, "ready",
		(int)atomic_load(&node->ready), "draining",
		(int)atomic_load(&node->draining), "requests",
		(int)atomic_load(&node->requests), "config_revision",
		(json_int_t)read_revision(node), "target", gate_status(&load, &target),
		"keeps", keeper_status(node), "members", member_status(node), "instances",
		instance_status(node));
	if (node->rollout)
		json_object_set_new(json, "rollouts", rollouts_status(node));
	char *text = json_dumps(json, JSON_INDENT(2));
	json_decref(json);
	return text;
}

/* Responds with `text` and frees it. */
static enum MHD_Result respond_owned(struct MHD_Connection *connection,
				     unsigned int status, const char *type, char *text)
{
	enum MHD_Result result = mhd_respond_text(connection, status, type, text);

	free(text);
	return result;
}

static enum MHD_Result respond_readiness(node_t *node, struct MHD_Connection *connection)
{
	bool ok = atomic_load(&node->ready) && !atomic_load(&node->draining);

	return mhd_respond_text(connection, ok ? 200 : 503, "text/plain",
				ok ? "ok\n" : "not ready\n");
}

static enum MHD_Result handle_readiness(void *ctx, struct MHD_Connection *connection,
					const char *url, const char *method,
					const char *version, const char *data,
					size_t *data_len, void **state)
{
	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)state;
	*data_len = 0;
	return respond_readiness(ctx, connection);
}

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_len, void **state)
{
	(void)version;
	(void)data;
	(void)state;
	node_t *node = ctx;
	bool get = strcmp(method, "GET") == 0;

	if (*data_len > 0) {
		*data_len = 0;
		return MHD_YES;
	}
	if (get && strcmp(url, "/metrics") == 0)
		return respond_owned(connection, 200, "text/plain; version=0.0.4",
				     render_metrics(node));
	if (get && strcmp(url, "/status") == 0)
		return respond_owned(connection, 200, "application/json",
				     render_status(node));
	if (get && strcmp(url, "/healthz") == 0)
		return respond_readiness(node, connection);
	if (strcmp(method, "POST") == 0 && strcmp(url, "/drain") == 0 &&
	    address_is_loopback(&node->settings->admin_listen)) {
		kill(getpid(), SIGTERM);
		return mhd_respond_text(connection, 200, "application/json", "{}\n");
	}
	return mhd_respond_text(connection, 404, "text/plain", "not found\n");
}

static void handle_completed(void *ctx, struct MHD_Connection *connection, void **state,
			     enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)connection;
	(void)state;
	(void)code;
}

mhd_loop_t *admin_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			 GError **error)
{
	mhd_loop_options_t options = {
		.address = node->settings->admin_listen,
		.idle_timeout_sec = ADMIN_IDLE_TIMEOUT_SEC,
		.connections_max = OPERATORS_MAX(node->settings->descriptors_max),
		.address_share_percent = node->settings->address_share,
		.name = "admin",
	};

	return mhd_loop_create(parent, ev, &options, handle_request, handle_completed,
			       node, error);
}

mhd_loop_t *readiness_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			     GError **error)
{
	mhd_loop_options_t options = {
		.address = node->settings->readiness_listen,
		.idle_timeout_sec = ADMIN_IDLE_TIMEOUT_SEC,
		.connections_max = OPERATORS_MAX(node->settings->descriptors_max),
		.address_share_percent = node->settings->address_share,
		.name = "readiness",
	};

	return mhd_loop_create(parent, ev, &options, handle_readiness, handle_completed,
			       node, error);
}
